package btcall_test

import (
	"io"
	"testing"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btwire"
	"bilberrytide/io/btbound"
	"bilberrytide/io/btbound/btendless"
	"bilberrytide/io/btcall"
)

// TestBrokenAnswersAreErrors guards against a message that is read from an answer of a
// faulty process.
func TestBrokenAnswersAreErrors(t *testing.T) {
	message, err := btwire.Encode(note{Text: "a"})
	assert.NilError(t, err)
	for head, proper := range map[string]bool{
		okHead:                                     true,
		okHead + "X : 1\r\n":                       false,
		okHead + "X\x01: 1\r\n":                    false,
		"HTTP/1.1 000 x\r\n":                       false,
		"HTTP/1.1 600 x\r\n":                       false,
		"HTTP/1.1 200 \x01\r\n":                    false,
		"HTTP/1.1 103 x\r\nX : 1\r\n\r\n" + okHead: false,
	} {
		s := btendless.New(t, loopback, func(w io.Writer) error {
			_, _ = io.WriteString(w, head+"\r\n"+string(message))
			return io.EOF
		})
		_, err := btcall.Call[note](t.Context(), btcall.NewClient(), s.Address, "/x", note{Text: "a"})
		if proper {
			assert.NilError(t, err)
			continue
		}
		assert.ErrorIs(t, err, btcall.ErrCall)
		assert.Assert(t, btbound.Refused(err), "%q: %v", head, err)
	}
}
