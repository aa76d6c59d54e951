package btstandin_test

import (
	"bufio"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"bilberrytide/io/btstandin"
)

// chunkedBody hides the length of a body, so that the client sends it in chunks.
type chunkedBody struct {
	io.Reader
}

// An engine with one slot must release it when the client of a streamed answer
// disconnects, or the next request waits forever. net/http notices a
// disconnect only after the request body was read to its end; the test sends a body
// with a length and a chunked one.
func TestClosedConnectionFreesTheSlot(t *testing.T) {
	e := newEngine(t, btstandin.EngineOptions{Slots: 1, DecodeRate: 100})
	server := httptest.NewServer(e)
	defer server.Close()
	post := func(body io.Reader) *http.Response {
		r, err := server.Client().Post(server.URL+chatPath, "application/json", body)
		assert.NilError(t, err)
		return r
	}
	for i := range 2 {
		var body io.Reader = strings.NewReader(chatBody("x", 60000, true))
		if i == 1 {
			body = chunkedBody{Reader: body}
		}
		first := post(body)
		_, err := bufio.NewReader(first.Body).ReadString('\n')
		assert.NilError(t, err)
		assert.NilError(t, first.Body.Close())
		second := post(strings.NewReader(chatBody("y", 1, false)))
		assert.Equal(t, second.StatusCode, http.StatusOK)
		assert.NilError(t, second.Body.Close())
		assert.Equal(t, e.Executions().Cancelled, i+1)
	}
}
