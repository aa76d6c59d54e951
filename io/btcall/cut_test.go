package btcall_test

import (
	"fmt"
	"io"
	"testing"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btwire"
	"bilberrytide/io/btbound/btendless"
	"bilberrytide/io/btcall"
)

// TestCutAnswersAreErrors guards against a message that is read from an answer of a process that
// stopped inside it.
func TestCutAnswersAreErrors(t *testing.T) {
	message, err := btwire.Encode(note{Text: "a"})
	assert.NilError(t, err)
	answer := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", okHead, len(message), message)
	for n := range len(answer) {
		s := btendless.New(t, loopback, func(w io.Writer) error {
			_, _ = io.WriteString(w, answer[:n])
			return io.EOF
		})
		_, err := btcall.Call[note](t.Context(), btcall.NewClient(), s.Address, "/x", note{Text: "a"})
		assert.ErrorIs(t, err, btcall.ErrCall, "%q", answer[:n])
	}
}
