package btstandin_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// call sends one request to the handler directly, without a socket.
func call(h http.Handler, method, path, body string, headers ...string) *httptest.ResponseRecorder {
	return callContext(context.Background(), h, method, path, body, headers...)
}

func callContext(ctx context.Context, h http.Handler, method, path, body string, headers ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequestWithContext(ctx, method, path, strings.NewReader(body))
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

// closes reports whether the handler closes the connection instead of answering.
func closes(h http.Handler, method, path, body string) (closed bool) {
	defer func() { closed = recover() == http.ErrAbortHandler }()
	call(h, method, path, body)
	return false
}

func decode[T any](t *testing.T, w *httptest.ResponseRecorder) T {
	t.Helper()
	var value T
	assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &value), "body %s", w.Body)
	return value
}

func control(t *testing.T, h http.Handler, path, body string) {
	t.Helper()
	w := call(h, http.MethodPut, path, body)
	assert.Equal(t, w.Code, http.StatusNoContent, "%s: %s", path, w.Body)
}
