package btdirect

import (
	"context"
	"sync"
	"time"

	"bilberrytide/core/btcatalog"
	"bilberrytide/core/btgate"
	"bilberrytide/core/btid"
	"bilberrytide/io/btloop"
)

const (
	// minLimitFraction is the lowest limit, as a fraction of a group's slots.
	minLimitFraction = 0.25
	// queuePerSlot is how many requests per slot a plain target is sent beyond its
	// slots: a short queue of its own keeps it busy.
	queuePerSlot = 1.0
	// maxRoutes limits the routes for which callers' deadlines are kept. Routes come
	// and go with catalogs, and a deadline is learned again from the next callers.
	maxRoutes = 4096
)

// admission limits the concurrent requests of each service.
type admission struct {
	clock btloop.Clock
	fleet *fleet
	// estimatedEntries returns the estimated number of entries that share the targets.
	estimatedEntries func() int

	mu sync.Mutex
	// lastRefusal is when a caller that may retry was last refused or cut off. It
	// starts as the start of the process, as callers of the previous process retry.
	lastRefusal time.Time
	gates       map[btid.Service]*serviceGate
	// deadlines estimates the deadlines of first attempts, by route.
	deadlines map[string]*btgate.DeadlineEstimator
}

// serviceGate is a service's gate and the latencies that its callers see.
type serviceGate struct {
	gate *btgate.Gate[chan struct{}]
	// pauseRatio and firstEventRatio measure the pauses between the events of streams
	// and the time to the first event, as fractions of the promised times.
	pauseRatio, firstEventRatio btgate.LatencyRatio
	// none reports that no target takes requests.
	none bool
	// resume admits queued requests at the end of a pause; nil without one.
	resume *time.Timer
	// resumeTime is when it does so.
	resumeTime time.Time
}

func newAdmission(o Options, f *fleet, estimatedEntries func() int) *admission {
	return &admission{lastRefusal: o.Clock(), clock: o.Clock, fleet: f, estimatedEntries: estimatedEntries, gates: make(map[btid.Service]*serviceGate), deadlines: make(map[string]*btgate.DeadlineEstimator)}
}

// gateOf returns the service's gate with its limits updated. a.mu must be held.
func (a *admission) gateOf(s *btcatalog.Service) *serviceGate {
	capacity := a.fleet.capacity(s.Name)
	slots := capacity.slots
	maxLimit := max(float64(slots), 1)
	config := btgate.Config{MinLimit: max(maxLimit*minLimitFraction, 1), MaxLimit: maxLimit, InitialLimit: maxLimit, Entries: a.estimatedEntries()}
	if s.Engine == nil || s.Engine.Group == nil {
		// Plain targets limit themselves. The gate only keeps a burst from filling
		// their queues with more than they can answer in time.
		maxLimit = max(float64(slots)*(1+queuePerSlot), 1)
		config = btgate.Config{MinLimit: maxLimit, MaxLimit: maxLimit, InitialLimit: maxLimit, Entries: 1}
	}
	g, found := a.gates[s.Name]
	if !found {
		g = &serviceGate{gate: btgate.New[chan struct{}](config)}
		a.gates[s.Name] = g
	}
	if capacity.targets > 0 {
		g.gate.Configure(config)
	}
	g.none = capacity.none()
	g.gate.PauseUntil(capacity.restEnd)
	a.resumeAt(s, g, capacity.restEnd)
	return g
}

// resumeAt admits queued requests at the end of a pause of the gate; the zero time means
// that there is none. a.mu must be held.
func (a *admission) resumeAt(s *btcatalog.Service, g *serviceGate, end time.Time) {
	if end.IsZero() || end.Equal(g.resumeTime) {
		return
	}
	if g.resume != nil {
		g.resume.Stop()
	}
	g.resumeTime = end
	g.resume = time.AfterFunc(end.Sub(a.clock()), func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		g.resumeTime = time.Time{}
		admitWaiters(a.gateOf(s).gate.Resume(a.clock()))
	})
}

// queueParams returns the queueing parameters of a request.
func (a *admission) queueParams(x *exchange) btgate.Request {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock()
	estimator := a.deadlinesOf(x.route.Name)
	caller := btgate.Caller{
		Remaining:    x.info.Deadline,
		FirstAttempt: estimator.Add(now, x.info.Deadline, a.lastRefusal),
		Objective:    x.route.Objective,
		Timeout:      x.route.Timeout,
	}
	return caller.Request(now, x.priority, a.gateOf(x.service).gate.StartLatency())
}

// recordRefusal records that a caller was refused or cut off.
func (a *admission) recordRefusal() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastRefusal = a.clock()
}

// deadlinesOf returns the deadline estimator of a route. a.mu must be held.
func (a *admission) deadlinesOf(route string) *btgate.DeadlineEstimator {
	estimator, found := a.deadlines[route]
	if found {
		return estimator
	}
	if len(a.deadlines) >= maxRoutes {
		clear(a.deadlines)
	}
	estimator = &btgate.DeadlineEstimator{}
	a.deadlines[route] = estimator
	return estimator
}

// acquire takes a slot for a request. If none is free the request is queued, provided
// that it is likely to get one in time. It returns false if the request is refused.
func (a *admission) acquire(ctx context.Context, s *btcatalog.Service, r btgate.Request) bool {
	a.mu.Lock()
	g := a.gateOf(s)
	now := a.clock()
	if g.none {
		a.mu.Unlock()
		return false
	}
	if g.gate.TryAcquire(now) {
		a.mu.Unlock()
		return true
	}
	admitted := make(chan struct{})
	waiter := g.gate.Enqueue(now, r, admitted)
	a.mu.Unlock()
	if waiter == nil {
		return false
	}
	timer := time.NewTimer(r.WaitUntil.Sub(now))
	defer timer.Stop()
	select {
	case <-admitted:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return !g.gate.Cancel(waiter)
}

// retryAfter returns the time after which a caller that got no slot should retry, at
// most the given one.
func (a *admission) retryAfter(s *btcatalog.Service, longest time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.gateOf(s).gate.RetryAfter(a.clock(), longest)
}

// release returns a request's slot.
func (a *admission) release(x *exchange) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock()
	held := time.Duration(0)
	if x.answered {
		held = now.Sub(x.admittedAt)
	}
	admitWaiters(a.gateOf(x.service).gate.Release(now, held))
}

// observeTotal records the number of requests that all entries have at the service's
// targets.
func (a *admission) observeTotal(name btid.Service, total int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if g, found := a.gates[name]; found {
		admitWaiters(g.gate.ObserveTotal(a.clock(), total))
	}
}

// admitWaiters wakes the queued requests that were admitted.
func admitWaiters(admitted []*btgate.Waiter[chan struct{}]) {
	for _, w := range admitted {
		close(w.Value)
	}
}

// observePause records a pause between two events of a stream, and the longest allowed
// pause.
func (a *admission) observePause(s *btcatalog.Service, pause, allowed time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if g, found := a.gates[s.Name]; found {
		g.gate.ObservePause(a.clock(), pause, allowed)
		g.pauseRatio.Add(pause, allowed)
	}
}

// observeFirstEvent records the time from admission to a stream's first event, and the
// objective for it.
func (a *admission) observeFirstEvent(s *btcatalog.Service, took, objective time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if g, found := a.gates[s.Name]; found {
		g.firstEventRatio.Add(took, objective)
		g.gate.ObserveStartLatency(took)
	}
}

// latencyRatio returns how close a service's latencies come to the promised ones.
func (a *admission) latencyRatio(name btid.Service) LatencyRatio {
	a.mu.Lock()
	defer a.mu.Unlock()
	g, found := a.gates[name]
	if !found {
		return LatencyRatio{}
	}
	return LatencyRatio{Value: max(g.pauseRatio.Value(), g.firstEventRatio.Value()), Streams: g.gate.Running()}
}

// gateLoad is the state of a service's gate, for logs.
type gateLoad struct {
	// running and waiting count this entry's requests. entryLimit is the number that
	// this entry may have in flight, limit the number for all entries together.
	running, waiting, entryLimit, limit int
	// pauseRatio is the mean pause between events as a fraction of the allowed one.
	pauseRatio float64
}

// load returns the state of a service's gate.
func (a *admission) load(name btid.Service) gateLoad {
	a.mu.Lock()
	defer a.mu.Unlock()
	g, found := a.gates[name]
	if !found {
		return gateLoad{}
	}
	return gateLoad{
		running:    g.gate.Running(),
		waiting:    g.gate.Waiting(),
		entryLimit: g.gate.EntryLimit(a.clock()),
		limit:      g.gate.Limit(),
		pauseRatio: g.gate.PauseRatio(),
	}
}
