package btentry_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/io/btstandin/btinprocess"
)

// readTime is longer than any answer of these tests takes.
const readTime = 30 * time.Second

// doHTTP10 sends a request of HTTP/1.0 and returns the answer's status and body. The error is nil
// if the connection ended in order, which such a caller takes for the end of the answer.
func (w *system) doHTTP10(path, body string) (status int, answer string, err error) {
	w.TB.Helper()
	received, err := io.ReadAll(w.sendHTTP10(path, body))
	head, rest, _ := bytes.Cut(received, []byte("\r\n\r\n"))
	_, _ = fmt.Sscanf(string(head), "HTTP/1.0 %d", &status)
	return status, string(rest), err
}

// sendHTTP10 sends a request of HTTP/1.0 and returns its connection.
func (w *system) sendHTTP10(path, body string) net.Conn {
	w.TB.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(w.entry.URL, "http://"))
	assert.NilError(w.TB, err)
	w.TB.Cleanup(func() { _ = c.Close() })
	assert.NilError(w.TB, c.SetDeadline(time.Now().Add(readTime)))
	_, err = fmt.Fprintf(c, "POST %s HTTP/1.0\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", path, btinprocess.CallerKey, len(body), body)
	assert.NilError(w.TB, err)
	return c
}

// cutting answers with the type and the body, and closes the connection within the answer if the
// path says so.
func cutting(contentType, body string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			http.Error(w, `{"error":"no such stream"}`, http.StatusNotFound)
			return
		}
		w.Header().Set("Content-Type", contentType)
		_, _ = io.WriteString(w, body)
		if strings.HasSuffix(r.URL.Path, "whole") {
			return
		}
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
}

// TestCutAnswersToHTTP10 guards against a cut answer that a caller of HTTP/1.0 takes for whole, and
// against a whole one that it takes for cut.
func TestCutAnswersToHTTP10(t *testing.T) {
	large := strings.Repeat("0123456789abcdef", 3<<16)
	w := newSystem(t, []testTarget{
		{name: "p1", service: plain, handler: cutting("text/plain", large)},
		{name: "m1", service: model, handler: cutting("text/event-stream", "data: {\"n\":1}\n\ndata: {\"n\"")},
	}, nil)
	status, body, err := w.doHTTP10("/services/pages/whole", "x")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Assert(t, body == large)
	_, body, err = w.doHTTP10("/services/pages/cut", "x")
	assert.Assert(t, err != nil, "%d bytes", len(body))
	_, body, err = w.doHTTP10(completions, prompt(true, 2))
	assert.Assert(t, err != nil, "%q", body)
}

// TestEndOfTheEntryCutsAnswersToHTTP10 guards against an answer that the end of its entry cuts, and a
// caller of HTTP/1.0 takes for whole.
func TestEndOfTheEntryCutsAnswersToHTTP10(t *testing.T) {
	w := newSystem(t, []testTarget{{name: "m1", service: model, handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "data: {\"n\":1}\n\n")
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	})}}, nil)
	c := w.sendHTTP10(completions, prompt(true, 2))
	_, err := c.Read(make([]byte, 1))
	assert.NilError(t, err)
	w.entry.Kill()
	rest, err := io.ReadAll(c)
	assert.Assert(t, err != nil, "%q", rest)
}
