// Package btagent is the process beside each target: the only path by which the
// system gives that target work or orders.
//
// It admits requests to the target's slots, runs what may run only once at most
// once, keeps its share of the idempotency keys, reports the target's state to
// entries, and stops without cutting off a request.
package btagent

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"bilberrytide/core/btassert"
	"bilberrytide/core/btid"
	"bilberrytide/core/btmember"
	"bilberrytide/core/btqueue"
	"bilberrytide/core/btrequest"
	"bilberrytide/io/btgroup"
	"bilberrytide/io/btloop"
	"bilberrytide/io/btmetric"
	"bilberrytide/io/btpeer"
	"bilberrytide/io/btplatform"
	"bilberrytide/io/btprocess"
	"bilberrytide/io/bttarget"
)

// Options are an agent's dependencies.
type Options struct {
	Target     btid.Target
	DataCentre btid.DataCentre
	Node       *btpeer.Node
	Bundles    *btprocess.Bundles
	// Platform is asked whether its weight store answers; it may be nil.
	Platform  *btplatform.Client
	Meter     *btmetric.Meter
	Decisions *btmetric.Decisions
	Log       *slog.Logger
	Clock     btloop.Clock
	// Elapsed tells the time that passes, also while the host is suspended. Its times are
	// this process's own: none is compared with one of another host.
	Elapsed btloop.Clock
	Assert  *btassert.Asserter
	Random  *rand.Rand
}

// Agent stands beside one target.
type Agent struct {
	options   Options
	self      btid.Executor
	home      *keyHome
	heartbeat *heartbeat
	group     *btgroup.Group
	engine    *engine
	isolation *btprocess.Isolation
	// rate is what the target says of how many requests it takes.
	rate targetRate
	stop *btprocess.Stop

	mu         sync.Mutex
	service    btid.Service
	firstToken time.Duration
	endpoint   string
	client     *bttarget.Client
	admission  *admission
	ledger     *ledger
	ready      atomic.Bool
	reports    atomic.Uint64
	// starting runs what begins with the first bundle.
	starting chan func(context.Context)
}

// startQueue is how many parts may begin with the first bundle.
const startQueue = 8

// New returns an agent and sets the node's handlers. The bundles must not run
// yet.
func New(o Options) *Agent {
	a := &Agent{
		options:  o,
		self:     btid.Executor{Target: o.Target, Incarnation: btid.Incarnation(o.Clock().UnixNano())},
		starting: make(chan func(context.Context), startQueue),
	}
	a.stop = btprocess.NewStop(btmember.DrainSettings{DeadlineGrace: stopGrace}, o.Elapsed, o.Assert, o.Log)
	a.home = newKeyHome(o, a.self, o.Bundles)
	a.isolation = btprocess.NewIsolation(o.Bundles)
	a.heartbeat = newHeartbeat(o, a.self, a.report, a.remind)
	a.group = newGroup(o, a.self)
	a.engine = newEngine(o, a.self, a.modelClient, a.heartbeat.publish, a.engineChanged)
	o.Node.Handle(btprocess.KindServe, a.serve)
	o.Bundles.OnChange(a.configure)
	return a
}

// stopGrace is how long a request may be past its deadline before a planned
// stop waits for it no longer.
const stopGrace = time.Second

// Stop returns the agent's planned stop.
func (a *Agent) Stop() *btprocess.Stop { return a.stop }

// Executor returns this life of the agent.
func (a *Agent) Executor() btid.Executor { return a.self }

// Ready tells whether the agent has a bundle that lists its target.
func (a *Agent) Ready() bool { return a.ready.Load() && !a.stop.Stopping() }

// Run works until the context ends or a planned stop is complete.
func (a *Agent) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return a.options.Bundles.Run(ctx) })
	group.Go(func() error { return a.options.Node.Serve(ctx) })
	group.Go(func() error { return a.runStarted(ctx, group) })
	group.Go(func() error { a.home.run(ctx); return nil })
	group.Go(func() error { a.heartbeat.run(ctx); return nil })
	group.Go(func() error { return a.group.Run(ctx) })
	group.Go(func() error { a.engine.run(ctx); return nil })
	group.Go(func() error { a.isolation.Run(ctx); return nil })
	group.Go(func() error { a.runStop(ctx, cancel); return nil })
	return group.Wait()
}

// runStarted runs the parts that wait for the first bundle.
func (a *Agent) runStarted(ctx context.Context, group *errgroup.Group) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case part := <-a.starting:
			group.Go(func() error { part(ctx); return nil })
		}
	}
}

// runStop follows a planned stop to its end.
func (a *Agent) runStop(ctx context.Context, exit context.CancelFunc) {
	a.stop.Run(ctx, btprocess.StopSteps{
		Unready: func() {
			a.heartbeat.set(btmember.Draining)
			if queue := a.queue(); queue != nil {
				queue.loop.Post(btqueue.Drain{})
			}
		},
		Goodbye: func() { a.heartbeat.sayGoodbye() },
		Exit: func() {
			a.settleGroup(ctx)
			a.deliver(ctx)
			exit()
		},
	})
}

// deliver closes the node once entries have received all that was sent to them: a
// request has ended for the agent when its last bytes are handed to the connection,
// and to end the process then would cut them off.
func (a *Agent) deliver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, stopGrace)
	defer cancel()
	if err := a.options.Node.Close(ctx); err != nil {
		a.options.Log.Warn("planned stop: node closed before all was delivered", "error", err)
	}
}

// engineChanged takes in that the engine has gone or come back.
func (a *Agent) engineChanged() {
	a.forgetRate()
	a.heartbeat.hurry()
}

func (a *Agent) queue() *admission {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.admission
}

// place is what serving one request needs of the bundle in force.
type place struct {
	service btid.Service
	// firstToken is the service's goal, zero for none.
	firstToken time.Duration
	client     *bttarget.Client
	admission  *admission
	ledger     *ledger
}

func (a *Agent) place() (place, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := place{service: a.service, firstToken: a.firstToken, client: a.client, admission: a.admission, ledger: a.ledger}
	return p, a.admission != nil
}

func (a *Agent) refused(reason btrequest.Reason) { a.options.Meter.Refused(reason) }
