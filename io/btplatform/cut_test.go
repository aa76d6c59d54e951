package btplatform_test

import (
	"fmt"
	"io"
	"testing"

	"gotest.tools/v3/assert"

	"bilberrytide/io/btbound/btendless"
	"bilberrytide/io/btplatform"
)

// TestCutAnswersAreNotRead guards against a value or a list of hosts that is read from an answer that
// breaks off anywhere.
func TestCutAnswersAreNotRead(t *testing.T) {
	const body = `{"hosts":[]}`
	answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nRevision: 3\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	for n := range len(answer) {
		s := btendless.New(t, "127.0.0.1", func(w io.Writer) error {
			_, _ = io.WriteString(w, answer[:n])
			return io.EOF
		})
		c := btplatform.New(btplatform.Options{Address: s.Address})
		_, _, err := c.Config(t.Context(), "bundle", 0, 0)
		assert.ErrorIs(t, err, btplatform.ErrUnavailable, "%q", answer[:n])
		_, err = c.Hosts(t.Context())
		assert.ErrorIs(t, err, btplatform.ErrUnavailable, "%q", answer[:n])
	}
}
