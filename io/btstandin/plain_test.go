package btstandin_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/io/btstandin"
)

func newPlain(t *testing.T) *btstandin.Plain {
	t.Helper()
	p, err := btstandin.NewPlain(btstandin.PlainOptions{Name: "p1", Clock: btstandin.SystemClock{}, Seed: 1})
	assert.NilError(t, err)
	return p
}

// An answer must echo the request, and executions must be counted by idempotency key
// and by request id.
func TestPlainEchoesAndCounts(t *testing.T) {
	p := newPlain(t)
	for range 2 {
		w := call(p, http.MethodPost, "/seats/7?row=b", "hello", btstandin.IdempotencyKeyHeader, "k1", "X-Other", "no")
		echo := decode[btstandin.Echo](t, w)
		assert.Equal(t, echo.Method+" "+echo.Path+"?"+echo.Query+" "+echo.Body, "POST /seats/7?row=b hello")
		assert.DeepEqual(t, echo.Headers, map[string]string{btstandin.IdempotencyKeyHeader: "k1"})
	}
	call(p, http.MethodGet, "/", "", btstandin.RequestIDHeader, "r1")
	got := decode[btstandin.Executions](t, call(p, http.MethodGet, "/control/executions", ""))
	assert.Equal(t, got.Total, 3)
	assert.DeepEqual(t, got.Keys, map[string]int{"k1": 2})
	assert.DeepEqual(t, got.Requests, map[string]int{"r1": 1})
}

// A refused request must not count as executed, but a failed one must, and the share
// of failures must match the fault.
func TestOnlyRefusedRequestsAreNotExecuted(t *testing.T) {
	p := newPlain(t)
	control(t, p, "/control/fault", `{"refuse":true,"times":1}`)
	assert.Equal(t, call(p, http.MethodPost, "/", "").Code, http.StatusServiceUnavailable)
	assert.Equal(t, p.Executions().Total, 0)
	assert.Equal(t, call(p, http.MethodPost, "/", "").Code, http.StatusOK)

	const requests = 1000
	control(t, p, "/control/fault", `{"fail_share":0.25}`)
	failed := 0
	for range requests {
		if call(p, http.MethodPost, "/", "").Code == http.StatusInternalServerError {
			failed++
		}
	}
	assert.Assert(t, failed > requests/5 && failed < requests*3/10, "failed %d", failed)
	assert.Equal(t, p.Executions().Total, requests+1)
	assert.Equal(t, call(p, http.MethodPut, "/control/fault", `{"fail_share":2}`).Code, http.StatusBadRequest)
}

// A hanging request must end when its client disconnects, and count as cancelled.
func TestHangEndsOnClientDisconnect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlain(t)
		control(t, p, "/control/fault", `{"hang":true}`)
		ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
		defer cancel()
		callContext(ctx, p, http.MethodGet, "/", "")
		assert.Equal(t, p.Executions().Cancelled, 1)
	})
}

// A client must be able to detect a truncated body by its Content-Length.
func TestTruncatedBodyIsDetectable(t *testing.T) {
	p := newPlain(t)
	control(t, p, "/control/fault", `{"cut_body":true}`)
	server := httptest.NewServer(p)
	defer server.Close()
	r, err := server.Client().Post(server.URL, "text/plain", strings.NewReader("hello"))
	assert.NilError(t, err)
	_, err = io.ReadAll(r.Body)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	assert.NilError(t, r.Body.Close())
}
