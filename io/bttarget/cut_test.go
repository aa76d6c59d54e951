package bttarget_test

import (
	"fmt"
	"io"
	"testing"

	"gotest.tools/v3/assert"

	"bilberrytide/io/btbound/btendless"
	"bilberrytide/io/bttarget"
)

// cutAnswer answers with the status and a part of a body.
func cutAnswer(status int) btendless.Answer {
	return func(w io.Writer) error {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 %d x\r\nContent-Length: 100\r\n\r\n{", status)
		return io.EOF
	}
}

// TestCutAnswerToAnOrderIsUnknown guards against an order that counts as accepted, or as refused
// for good, because of an answer that breaks off after its head.
func TestCutAnswerToAnOrderIsUnknown(t *testing.T) {
	for _, status := range []int{200, 400, 409, 422, 500} {
		s := btendless.New(t, "127.0.0.1", cutAnswer(status))
		c := bttarget.New(bttarget.Options{Endpoint: s.Address})
		err := c.Order(t.Context(), bttarget.Order{Fencing: 1, Op: bttarget.Pause})
		assert.ErrorIs(t, err, bttarget.ErrLost, "%d", status)
	}
}

// TestCutAnswerIsNoMissingMap guards against an engine that counts as having no map because of an
// answer that breaks off after its head.
func TestCutAnswerIsNoMissingMap(t *testing.T) {
	s := btendless.New(t, "127.0.0.1", cutAnswer(404))
	_, err := bttarget.New(bttarget.Options{Endpoint: s.Address}).GroupMap(t.Context())
	assert.ErrorIs(t, err, bttarget.ErrLost)
}
