package btentry_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/io/bthttp"
)

// suspension is longer than any request here may last.
const suspension = time.Hour

// The steady clock stands still while a host is suspended. An entry that went by it sent a
// request again whose caller had long gone, with time that nobody had.
func TestARequestWhoseDeadlinePassedInASuspensionIsNotSentAgain(t *testing.T) {
	t.Parallel()
	arrived, cut := make(chan struct{}, 8), make(chan struct{})
	cuts := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		arrived <- struct{}{}
		<-cut
		panic(http.ErrAbortHandler)
	})
	w := newWorld(t, []place{{name: "p1", service: plain, handler: cuts}, {name: "p2", service: plain, handler: cuts}}, generous)
	answer := make(chan reply, 1)
	go func() { answer <- w.do(http.MethodGet, "/services/pages/x", "") }()
	<-arrived
	w.Suspended.Add(int64(suspension))
	close(cut)
	assert.Assert(t, (<-answer).StatusCode >= http.StatusInternalServerError)
	assert.Equal(t, len(arrived), 0, "it is sent again")
}

// An agent began what had waited in its queue while its host was suspended, for callers
// that had given up.
func TestWhatWaitedThroughASuspensionIsNotBegun(t *testing.T) {
	t.Parallel()
	g := newGate()
	w := newWorld(t, []place{{name: "p1", service: plain, handler: g, queue: 4}}, nil)
	first, second := make(chan reply, 1), make(chan reply, 1)
	w.background(first, "/services/pages/x")
	<-g.arrived
	w.background(second, "/services/pages/x")
	w.await(func() bool { return w.entry.Status().Targets[0].Waiting == 1 })
	w.Suspended.Add(int64(suspension))
	r := <-second
	assert.Equal(t, r.outcome(), "not_run", "%s", r.body)
	assert.Equal(t, r.reason(), "deadline_passed")
	close(g.release)
	assert.Equal(t, (<-first).body, "done")
	assert.Equal(t, len(g.arrived), 0)
}

// Timers go by the steady clock, also those of requests that come after a suspension.
func TestDeadlinesHoldAfterASuspension(t *testing.T) {
	t.Parallel()
	g := newGate()
	w := newWorld(t, []place{{name: "p1", service: plain, handler: g}}, nil)
	w.Suspended.Add(int64(suspension))
	r := w.do(http.MethodPost, "/services/pages/x", "", bthttp.HeaderTimeout, "300ms")
	w.checkRefusal(r, http.StatusGatewayTimeout, r.reason(), "unknown")
	<-g.gone
}
