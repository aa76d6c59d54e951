package btdirect

import (
	"sync"
	"time"

	"bilberrytide/core/btcatalog"
	"bilberrytide/core/btstop"
)

// acceptance decides which requests a stopping entry accepts.
type acceptance struct {
	mu        sync.Mutex
	durations *btstop.Durations
	// plan is the plan of the stop that began at began; nil before.
	plan  *btstop.Plan
	began time.Time
}

func newAcceptance() *acceptance {
	return &acceptance{durations: btstop.NewDurations(maxRoutes)}
}

// begin records that a stop begins.
func (a *acceptance) begin(now time.Time, plan btstop.Plan) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.plan, a.began = &plan, now
}

// record adds the duration of an answered request.
func (a *acceptance) record(route string, took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.durations.Record(route, took)
}

// expected returns how long a request is expected to last at most.
func (a *acceptance) expected(r btstop.Request) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.durations.Expected(r)
}

// finishes reports whether a request is expected to be answered before the end of the stop;
// true without a stop.
func (a *acceptance) finishes(now time.Time, r btstop.Request) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.plan == nil || a.plan.Accepts(now.Sub(a.began), a.durations, r)
}

// refuseStopping refuses a request that the entry doesn't accept because it is stopping, and
// reports whether it did.
func (x *exchange) refuseStopping() bool {
	switch x.entry.currentPhase() {
	case btstop.Serving:
		return x.refuseUnfinished()
	case btstop.NoStreams, btstop.Closing:
		if !x.streams() {
			return x.refuseUnfinished()
		}
	}
	x.endUnserved(ReasonStopping, x.otherEntryRetryAfter())
	return true
}

// refuseUnfinished refuses a request that no target has received if its answer is not
// expected before the end of the stop, and reports whether it did.
func (x *exchange) refuseUnfinished() bool {
	now := x.entry.options.Clock()
	if x.mayHaveRun || x.entry.acceptance.finishes(now, x.stopRequest(x.deadline.Sub(now))) {
		return false
	}
	x.endUnserved(ReasonStopping, x.otherEntryRetryAfter())
	return true
}

// stopRequest describes the request to the estimates of durations.
func (x *exchange) stopRequest(left time.Duration) btstop.Request {
	return btstop.Request{Route: x.route.Name, Stream: x.streams(), Repeatable: x.route.Repeatable(), Left: left}
}

// streams reports whether the route's answers are streams.
func (x *exchange) streams() bool { return x.route.Kind == btcatalog.Stream }
