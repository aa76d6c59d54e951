package btbound_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/io/btbound"
)

// limitedMemory has so many bytes. The pointer keeps it from being allocated together with
// others, so that its finalizer runs.
type limitedMemory struct {
	left  int64
	owner *int
}

func (m *limitedMemory) Reserve(n int64) bool {
	if n > m.left {
		return false
	}
	m.left -= n
	return true
}

func fetchWithMemory(tb testing.TB, t *btbound.Transport, m btbound.Memory) error {
	tb.Helper()
	r, err := http.NewRequestWithContext(btbound.WithMemory(tb.Context(), m), http.MethodGet, "http://target/", nil)
	assert.NilError(tb, err)
	answer, err := t.RoundTrip(r)
	if err != nil {
		return err
	}
	_, err = io.ReadAll(answer.Body)
	return errors.Join(err, answer.Body.Close())
}

// TestHeadsTakeMemory guards against heads, each within its size, that fill a process's
// memory together; and against ordinary heads that are refused because memory is short.
func TestHeadsTakeMemory(t *testing.T) {
	large := ok + "X: " + strings.Repeat("x", 40<<10) + "\r\n" + sized
	fields := ok + strings.Repeat("X:\r\n", btbound.MaxFields-1) + sized
	ordinary := ok + strings.Repeat("X: 1\r\n", 10) + sized
	hints := strings.Repeat("HTTP/1.1 103 x\r\nX: "+strings.Repeat("x", 10<<10)+"\r\n\r\n", 3) + ok + sized
	for _, piece := range pieces[1:] {
		for answer, least := range map[string]int64{large: 32 << 10, fields: 100 << 10, hints: 20 << 10} {
			c, _ := client(piece, answer, answer)
			m := &limitedMemory{left: 1 << 20}
			assert.NilError(t, fetchWithMemory(t, c, m))
			taken := 1<<20 - m.left
			assert.Assert(t, taken >= least, "%d bytes taken", taken)
			assert.ErrorIs(t, fetchWithMemory(t, c, &limitedMemory{left: least / 2}), btbound.ErrMemory)
		}
		c, _ := client(piece, ordinary)
		assert.NilError(t, fetchWithMemory(t, c, &limitedMemory{}))
	}
}

// TestTooManyFieldsAreRefused guards against a head of very many short fields, which take far
// more memory than their bytes once they are parsed.
func TestTooManyFieldsAreRefused(t *testing.T) {
	for _, answer := range []string{
		ok + strings.Repeat("X:\r\n", btbound.MaxFields) + sized,
		"HTTP/1.1 103 x\r\n" + strings.Repeat("X:\r\n", btbound.MaxFields) + "\r\n" + ok + sized,
		ok + coded + "5\r\nwhole\r\n0\r\n" + strings.Repeat("X:\r\n", btbound.MaxFields) + "\r\n",
	} {
		c, _ := client(4096, answer)
		_, _, err := fetch(t, c, http.MethodGet)
		assert.ErrorIs(t, err, btbound.ErrFields)
		assert.Assert(t, btbound.Refused(err))
	}
}

// TestIdleConnectionsKeepNoRequest guards against idle connections that keep the requests which
// used them last, with their bodies.
func TestIdleConnectionsKeepNoRequest(t *testing.T) {
	c, connections := client(4096, ok+sized, ok+sized)
	released := make(chan struct{})
	func() {
		m := &limitedMemory{left: 1, owner: new(int)}
		runtime.SetFinalizer(m, func(*limitedMemory) { close(released) })
		assert.NilError(t, fetchWithMemory(t, c, m))
	}()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	for kept := true; kept; {
		runtime.GC()
		select {
		case <-released:
			kept = false
		case <-ctx.Done():
			t.Fatal("the idle connection keeps the request's memory")
		case <-time.After(10 * time.Millisecond):
		}
	}
	assert.NilError(t, fetchWithMemory(t, c, &limitedMemory{}))
	assert.Equal(t, *connections, 1)
}
