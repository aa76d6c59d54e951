package bttarget_test

import (
	"bytes"
	"io"
	"log/slog"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"bilberrytide/io/btbound"
	"bilberrytide/io/btbound/btendless"
	"bilberrytide/io/bttarget"
)

// TestRefusedAnswersAreLoggedWithTheLine guards against an operator who sees lost answers
// and not what is wrong with them: in a request's head or body, or in a call.
func TestRefusedAnswersAreLoggedWithTheLine(t *testing.T) {
	for answer, want := range map[string]string{
		okHead + "X : 1\r\n\r\n": `invalid name of a field: \"X \"`,
		"HTTP/1.1 000 x\r\n\r\n": `\"HTTP/1.1 000`,
		okHead + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nY : 1\r\n\r\n": `invalid name of a field: \"Y \"`,
	} {
		s := btendless.New(t, loopback, func(w io.Writer) error {
			_, _ = io.WriteString(w, answer)
			return io.EOF
		})
		var log bytes.Buffer
		c := bttarget.New(bttarget.Options{Endpoint: s.Address, Log: slog.New(slog.NewTextHandler(&log, nil))})
		response, err := c.Do(t.Context(), bttarget.Request{Method: http.MethodPost, URI: "/u", Body: []byte("x")})
		if err == nil {
			_, err = io.ReadAll(response.Body)
		}
		assert.ErrorIs(t, err, bttarget.ErrLost)
		assert.Assert(t, btbound.Refused(err), "%v", err)
		assert.Assert(t, !bttarget.ClosedByTarget(err), "taken for a crash: %v", err)
		assert.Assert(t, bytes.Contains(log.Bytes(), []byte(want)) && bytes.Contains(log.Bytes(), []byte("uri=/u")), "%s", log.String())
		log.Reset()
		_, err = c.Load(t.Context())
		assert.ErrorIs(t, err, bttarget.ErrLost)
		assert.Assert(t, bytes.Contains(log.Bytes(), []byte(want)), "%s", log.String())
	}
}
