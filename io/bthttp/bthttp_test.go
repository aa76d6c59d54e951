package bthttp_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btrequest"
	"bilberrytide/io/bthttp"
)

// TestBodyBudgetIsRespected: all bodies together use no more than the budget, whatever
// lengths they declare, and return it.
func TestBodyBudgetIsRespected(t *testing.T) {
	const room = 64 << 10
	budget := bthttp.NewBodyBudget(room)
	var calls []*bthttp.Call
	read := func(size int, stated int64) *btrequest.Refusal {
		request := httptest.NewRequest("PUT", "/services/pages/x", io.LimitReader(zeros{}, int64(size)))
		request.ContentLength = stated
		call, refusal := bthttp.ReadHead(request)
		assert.Assert(t, refusal == nil)
		calls = append(calls, call)
		return call.ReadBody(request, budget, 1<<20)
	}
	assert.Assert(t, read(100, 100) == nil)
	assert.Equal(t, budget.InUse(), int64(101))
	assert.Assert(t, read(0, 1<<20) == nil)
	assert.Assert(t, budget.InUse() < room)
	refused := 0
	for range 20 {
		if f := read(9000, -1); f != nil {
			assert.Equal(t, f.Reason, bthttp.ReasonBodyRoom)
			assert.Equal(t, f.Outcome, btrequest.NotRun)
			assert.Assert(t, f.RetryAfter > 0)
			refused++
		}
		assert.Assert(t, budget.InUse() <= room)
	}
	assert.Assert(t, refused > 0 && refused < 20, "%d refused", refused)
	for _, c := range calls {
		c.Release()
		c.Release()
	}
	assert.Equal(t, budget.InUse(), int64(0))
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// TestNewAttemptReplacesBufferedAnswer: nothing of a failed attempt's answer remains in
// the next one's.
func TestNewAttemptReplacesBufferedAnswer(t *testing.T) {
	w := httptest.NewRecorder()
	a := bthttp.NewAnswer(w, "GET", nil)
	a.Begin(http.StatusOK, http.Header{"X-First": {"1"}, "Content-Type": {"text/plain"}})
	assert.NilError(t, a.Add([]byte("half")))
	a.Begin(http.StatusCreated, http.Header{"X-Second": {"2"}})
	assert.NilError(t, a.Add([]byte("whole")))
	assert.NilError(t, a.Finish())
	assert.Equal(t, w.Code, http.StatusCreated)
	assert.Equal(t, w.Body.String(), "whole")
	assert.Equal(t, w.Header().Get("X-First")+w.Header().Get("Content-Type"), "")
	assert.Equal(t, w.Header().Get("X-Second"), "2")
}

// TestOnlyCompleteEventsAreSent: only complete events are sent, whatever their line
// endings and however the data is split, and they are counted.
func TestOnlyCompleteEventsAreSent(t *testing.T) {
	for _, c := range []struct {
		name, in, out string
		count         uint64
		ended         bool
	}{
		{"incomplete", "data: 1\n\ndata: 2\n", "data: 1\n\n", 1, false},
		{"carriage returns", "data: 1\r\n\r\ndata: 2\r\n", "data: 1\r\n\r\n", 1, false},
		{"comments", ": ping\n\nid: 7\ndata: 1\n\n", ": ping\n\nid: 7\ndata: 1\n\n", 1, false},
		{"end", "data: 1\n\ndata:[DONE]\n\n", "data: 1\n\ndata:[DONE]\n\n", 2, true},
		{"end without its blank line", "data: 1\n\ndata: [DONE]\n", "data: 1\n\n", 1, true},
		{"too long to hold", "data: " + strings.Repeat("x", 1<<20), "data: " + strings.Repeat("x", 1<<20-3), 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := httptest.NewRecorder()
			a := bthttp.NewAnswer(w, "GET", nil)
			a.Begin(http.StatusOK, http.Header{"Content-Type": {"text/event-stream"}})
			for i := range len(c.in) / 7 {
				assert.NilError(t, a.Add([]byte(c.in[7*i:7*i+7])))
			}
			assert.NilError(t, a.Add([]byte(c.in[len(c.in)/7*7:])))
			assert.Assert(t, w.Body.String() == c.out)
			assert.Equal(t, a.Events(), c.count)
			assert.Equal(t, a.StreamEnded(), c.ended)
			assert.Equal(t, a.Resumable(), c.count > 0)
		})
	}
}

// TestPartsOfEventsTakeMemory guards against an event without end that takes memory which no
// account has: without room it is passed on as it arrives.
func TestPartsOfEventsTakeMemory(t *testing.T) {
	const limit = 64 << 10
	budget := bthttp.NewBodyBudget(limit)
	w := httptest.NewRecorder()
	a := bthttp.NewAnswer(w, "GET", nil)
	a.LimitMemory(budget)
	a.Begin(http.StatusOK, http.Header{"Content-Type": {"text/event-stream"}})
	sent := "data: "
	assert.NilError(t, a.Add([]byte(sent)))
	for range 64 {
		piece := strings.Repeat("x", 4<<10)
		sent += piece
		assert.NilError(t, a.Add([]byte(piece)))
		assert.Assert(t, len(sent)-w.Body.Len() <= limit, "%d bytes buffered", len(sent)-w.Body.Len())
	}
	assert.Assert(t, !a.Resumable())
	assert.Assert(t, !budget.Acquire(limit), "the buffer takes no memory")
	a.Release()
	assert.Assert(t, budget.Acquire(limit))
}
