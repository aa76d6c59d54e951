package btentry_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btrequest"
	"bilberrytide/io/bthttp"
)

// suspension is longer than any request in these tests may take.
const suspension = time.Hour

// TestNoRetryAfterDeadlineInSuspension: the monotonic clock stops while a host is
// suspended. An entry that used it retried a request whose caller had long since
// disconnected, with a timeout that had passed.
func TestNoRetryAfterDeadlineInSuspension(t *testing.T) {
	t.Parallel()
	arrived, interrupt := make(chan struct{}, 8), make(chan struct{})
	interrupting := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		arrived <- struct{}{}
		<-interrupt
		panic(http.ErrAbortHandler)
	})
	w := newSystem(t, []testTarget{{name: "p1", service: plain, handler: interrupting}, {name: "p2", service: plain, handler: interrupting}}, unlimitedRetries)
	answer := make(chan reply, 1)
	go func() { answer <- w.do(http.MethodGet, "/services/pages/x", "") }()
	<-arrived
	w.Suspended.Add(int64(suspension))
	close(interrupt)
	assert.Assert(t, (<-answer).StatusCode >= http.StatusInternalServerError)
	assert.Equal(t, len(arrived), 0, "the request is retried")
}

// TestQueuedRequestExpiresInSuspension: an agent started requests that had been queued
// while its host was suspended, for callers that had given up.
func TestQueuedRequestExpiresInSuspension(t *testing.T) {
	t.Parallel()
	g := newBlockingTarget()
	w := newSystem(t, []testTarget{{name: "p1", service: plain, handler: g, queue: 4}}, nil)
	first, second := make(chan reply, 1), make(chan reply, 1)
	w.sendInBackground(first, "/services/pages/x")
	<-g.arrived
	w.sendInBackground(second, "/services/pages/x")
	w.await(func() bool { return w.entry.Status().Targets[0].Waiting == 1 })
	w.Suspended.Add(int64(suspension))
	r := <-second
	assert.Equal(t, r.outcome(), "not_run", "%s", r.body)
	assert.Equal(t, r.reason(), "deadline_passed")
	close(g.release)
	assert.Equal(t, (<-first).body, "done")
	assert.Equal(t, len(g.arrived), 0)
}

// TestDeadlineAfterSuspension: timers use the monotonic clock, so deadlines must also
// hold for requests that arrive after a suspension.
func TestDeadlineAfterSuspension(t *testing.T) {
	t.Parallel()
	g := newBlockingTarget()
	w := newSystem(t, []testTarget{{name: "p1", service: plain, handler: g}}, nil)
	w.Suspended.Add(int64(suspension))
	// On a busy host the deadline may pass before the request is sent; it has not run then.
	unsent := 0
	for len(g.arrived) == 0 {
		r := w.do(http.MethodPost, "/services/pages/x", "", bthttp.HeaderTimeout, "300ms")
		outcome := string(btrequest.Unknown)
		if r.outcome() == string(btrequest.NotRun) {
			outcome = string(btrequest.NotRun)
			unsent++
			assert.Assert(t, unsent < 100, "no request reaches the target")
		}
		w.checkRefusal(r, http.StatusGatewayTimeout, r.reason(), outcome)
		assert.Assert(t, outcome == string(btrequest.Unknown) || len(g.arrived) == 0, "a request that has reached the target was said not to have run")
	}
	<-g.cancelled
}
