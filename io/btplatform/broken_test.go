package btplatform_test

import (
	"io"
	"testing"

	"gotest.tools/v3/assert"

	"bilberrytide/io/btbound"
	"bilberrytide/io/btbound/btendless"
	"bilberrytide/io/btplatform"
)

// TestBrokenAnswersAreErrors guards against a bundle that is read from an answer of a
// faulty platform.
func TestBrokenAnswersAreErrors(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for head, proper := range map[string]bool{
		ok:                                     true,
		ok + "X : 1\r\n":                       false,
		ok + "X\x01: 1\r\n":                    false,
		"HTTP/1.1 000 x\r\n":                   false,
		"HTTP/1.1 600 x\r\n":                   false,
		"HTTP/1.1 103 x\r\nX : 1\r\n\r\n" + ok: false,
	} {
		s := btendless.New(t, "127.0.0.1", func(w io.Writer) error {
			_, _ = io.WriteString(w, head+"Revision: 1\r\n\r\nvalue")
			return io.EOF
		})
		c := btplatform.New(btplatform.Options{Address: s.Address})
		_, _, err := c.Config(t.Context(), "bundle", 0, 0)
		if proper {
			assert.NilError(t, err)
			continue
		}
		assert.Assert(t, btbound.Refused(err), "%q: %v", head, err)
	}
}
