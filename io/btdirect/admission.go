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
	// leastShare is the part of a group's places that is always admitted.
	leastShare = 0.25
	// queuePerSlot is how many requests beyond its slots a plain target is sent:
	// its own short queue keeps it busy.
	queuePerSlot = 1.0
	// maxRoutes bounds the routes whose callers' deadlines are remembered: routes come
	// and go with catalogs, and a deadline is learned anew from the next caller.
	maxRoutes = 4096
)

// admission bounds the requests at work by service.
type admission struct {
	clock btloop.Clock
	fleet *fleet
	// entries estimates how many entries share the targets.
	entries func() int

	mu sync.Mutex
	// refused is when a caller was last turned away who may come back; at first it is
	// the process's start, as callers come back whom the one before has left.
	refused time.Time
	gates   map[btid.Service]*serviceGate
	// usual is the deadline of callers' first tries by route.
	usual map[string]*btgate.DeadlineEstimator
}

// serviceGate is a gate with what callers of its service see.
type serviceGate struct {
	gate *btgate.Gate[chan struct{}]
	// pauses and firsts measure the pauses and the first events of streams.
	pauses, firsts btgate.LatencyRatio
}

func newAdmission(o Options, f *fleet, entries func() int) *admission {
	return &admission{refused: o.Clock(), clock: o.Clock, fleet: f, entries: entries, gates: make(map[btid.Service]*serviceGate), usual: make(map[string]*btgate.DeadlineEstimator)}
}

// of returns the service's gate with its bounds brought up to date. The lock is
// held.
func (a *admission) of(s *btcatalog.Service) *serviceGate {
	slots, targets := a.fleet.slots(s.Name)
	most := max(float64(slots), 1)
	config := btgate.Config{MinLimit: max(most*leastShare, 1), MaxLimit: most, InitialLimit: most, Entries: a.entries()}
	if s.Engine == nil || s.Engine.Group == nil {
		// Plain targets bound themselves: the gate only keeps a burst from
		// filling their queues beyond what they answer in time.
		most = float64(slots) * (1 + queuePerSlot)
		config = btgate.Config{MinLimit: most, MaxLimit: most, InitialLimit: most, Entries: 1}
	}
	g, found := a.gates[s.Name]
	if !found {
		g = &serviceGate{gate: btgate.New[chan struct{}](config)}
		a.gates[s.Name] = g
	}
	if targets > 0 {
		g.gate.Configure(config)
	}
	return g
}

// request returns how a request waits.
func (a *admission) request(x *exchange) btgate.Request {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock()
	usual := a.usualOf(x.route.Name)
	caller := btgate.Caller{
		Remaining:    x.call.Deadline,
		FirstAttempt: usual.Add(now, x.call.Deadline, a.refused),
		Objective:    x.route.Objective,
		Timeout:      x.route.Timeout,
	}
	return caller.Request(now, x.priority, a.of(x.service).gate.StartLatency())
}

// turnedAway notes that a caller was refused or cut off.
func (a *admission) turnedAway() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refused = a.clock()
}

// usualOf returns what is known of the deadlines of a route's callers. The lock is
// held.
func (a *admission) usualOf(route string) *btgate.DeadlineEstimator {
	usual, found := a.usual[route]
	if found {
		return usual
	}
	if len(a.usual) >= maxRoutes {
		clear(a.usual)
	}
	usual = &btgate.DeadlineEstimator{}
	a.usual[route] = usual
	return usual
}

// enter admits a request, after a wait where that promises to help. It returns
// false where the request is refused.
func (a *admission) enter(ctx context.Context, s *btcatalog.Service, r btgate.Request) bool {
	a.mu.Lock()
	g := a.of(s)
	now := a.clock()
	if g.gate.TryAcquire(now) {
		a.mu.Unlock()
		return true
	}
	admitted := make(chan struct{})
	ticket := g.gate.Enqueue(now, r, admitted)
	a.mu.Unlock()
	if ticket == nil {
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
	return !g.gate.Cancel(ticket)
}

// comeBack is when a caller should come back that finds no place, at the most the
// given time.
func (a *admission) comeBack(s *btcatalog.Service, most time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.of(s).gate.RetryAfter(a.clock(), most)
}

// leave gives back a request's place.
func (a *admission) leave(x *exchange) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock()
	held := time.Duration(0)
	if x.whole {
		held = now.Sub(x.admitted)
	}
	wake(a.of(x.service).gate.Release(now, held))
}

// hear takes in how many requests of all entries the service's targets have.
func (a *admission) hear(name btid.Service, total int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if g, found := a.gates[name]; found {
		wake(g.gate.ObserveTotal(a.clock(), total))
	}
}

// wake lets admitted requests go on.
func wake(admitted []*btgate.Waiter[chan struct{}]) {
	for _, t := range admitted {
		close(t.Value)
	}
}

// pause takes a pause between two events of a stream in.
func (a *admission) pause(s *btcatalog.Service, pause, allowed time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if g, found := a.gates[s.Name]; found {
		g.gate.ObservePause(a.clock(), pause, allowed)
		g.pauses.Add(pause, allowed)
	}
}

// first takes in how long after its admission a stream's first event came, and the
// time that is aimed at.
func (a *admission) first(s *btcatalog.Service, took, objective time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if g, found := a.gates[s.Name]; found {
		g.firsts.Add(took, objective)
		g.gate.ObserveStartLatency(took)
	}
}

// strain tells how near a service's answers come to what callers are promised.
func (a *admission) strain(name btid.Service) Strain {
	a.mu.Lock()
	defer a.mu.Unlock()
	g, found := a.gates[name]
	if !found {
		return Strain{}
	}
	return Strain{Value: max(g.pauses.Value(), g.firsts.Value()), Streams: g.gate.Running()}
}

// gateLoad describes a service's gate for logs.
type gateLoad struct {
	// running and waiting are this entry's requests, places how many it may have at
	// work, limit how many all entries may.
	running, waiting, places, limit int
	// pause is the mean pause between events as a share of the allowed one.
	pause float64
}

// load returns what a service's gate has.
func (a *admission) load(name btid.Service) gateLoad {
	a.mu.Lock()
	defer a.mu.Unlock()
	g, found := a.gates[name]
	if !found {
		return gateLoad{}
	}
	return gateLoad{
		running: g.gate.Running(),
		waiting: g.gate.Waiting(),
		places:  g.gate.EntryLimit(a.clock()),
		limit:   g.gate.Limit(),
		pause:   g.gate.PauseRatio(),
	}
}
