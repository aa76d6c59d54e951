// Package btagent runs the agent, the process beside each target. The target gets
// requests and orders only through its agent.
//
// The agent admits requests to the target's slots, runs requests that may run only
// once at most once, stores its share of the idempotency keys, reports the target's
// state to entries, and stops without cutting off a request.
package btagent

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/netip"
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
	// Platform is used to probe the weight store; it may be nil.
	Platform  *btplatform.Client
	Meter     *btmetric.Meter
	Decisions *btmetric.Decisions
	Log       *slog.Logger
	Clock     btloop.Clock
	// Elapsed is a clock that also counts the time for which the host is suspended. Its
	// times are valid only in this process and are never compared with those of another
	// host.
	Elapsed btloop.Clock
	Assert  *btassert.Asserter
	Random  *rand.Rand
}

// Agent is the agent of one target.
type Agent struct {
	options   Options
	self      btid.Executor
	home      *keyHome
	heartbeat *heartbeat
	group     *btgroup.Group
	engine    *engineMonitor
	isolation *btprocess.Isolation
	// rate is the request rate that the target advertises.
	rate targetRate
	// recordings is the memory of answers that are being recorded for repeats.
	recordings recordings
	// notices is what the target announces about itself.
	notices *targetNotices
	stop    *btprocess.Stop

	mu         sync.Mutex
	service    btid.Service
	firstToken time.Duration
	endpoint   string
	// clientEndpoint is the endpoint of the client.
	clientEndpoint netip.AddrPort
	client         *bttarget.Client
	admission      *admission
	ledger         *ledger
	ready          atomic.Bool
	reportNumber   atomic.Uint64
	// startup passes on the loops that start with the first bundle.
	startup chan func(context.Context)
}

// startupCapacity limits the loops that start with the first bundle.
const startupCapacity = 8

// New returns an agent and sets the node's handlers. It must be called before the
// bundles run.
func New(o Options) *Agent {
	a := &Agent{
		options: o,
		self:    btid.Executor{Target: o.Target, Incarnation: btid.Incarnation(o.Clock().UnixNano())},
		startup: make(chan func(context.Context), startupCapacity),
	}
	a.stop = btprocess.NewStop(btmember.DrainSettings{DeadlineGrace: stopGrace}, o.Elapsed, o.Assert, o.Log)
	a.notices = newTargetNotices(o)
	a.home = newKeyHome(o, a.self, o.Bundles)
	a.isolation = btprocess.NewIsolation(o.Bundles)
	a.heartbeat = newHeartbeat(o, a.self, a.report, a.sendCrashRecords)
	a.group = newGroup(o, a.self, a.observeNotice)
	a.engine = newEngineMonitor(o, a.self, a.modelClient, a.heartbeat.publish, a.handleEngineChange)
	o.Node.Handle(btprocess.KindServe, a.serve)
	o.Bundles.OnChange(a.configure)
	return a
}

// stopGrace is how long after its deadline a planned stop still waits for a request,
// and how long it waits for entries to receive the last bytes.
const stopGrace = time.Second

// Stop returns the agent's planned stop.
func (a *Agent) Stop() *btprocess.Stop { return a.stop }

// Executor returns the agent's target and incarnation.
func (a *Agent) Executor() btid.Executor { return a.self }

// Ready reports whether the bundle in force lists the agent's target and no planned
// stop has begun.
func (a *Agent) Ready() bool { return a.ready.Load() && !a.stop.Stopping() }

// Run runs the agent until the context ends or a planned stop is complete.
func (a *Agent) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return a.options.Bundles.Run(ctx) })
	group.Go(func() error { return a.options.Node.Serve(ctx) })
	group.Go(func() error { return a.runStartup(ctx, group) })
	group.Go(func() error { a.home.run(ctx); return nil })
	group.Go(func() error { a.heartbeat.run(ctx); return nil })
	group.Go(func() error { return a.group.Run(ctx) })
	group.Go(func() error { a.engine.run(ctx); return nil })
	group.Go(func() error { a.watchRestart(ctx); return nil })
	group.Go(func() error { a.isolation.Run(ctx); return nil })
	group.Go(func() error { a.runStop(ctx, cancel); return nil })
	return group.Wait()
}

// runStartup runs the loops that wait for the first bundle.
func (a *Agent) runStartup(ctx context.Context, group *errgroup.Group) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case part := <-a.startup:
			group.Go(func() error { part(ctx); return nil })
		}
	}
}

// runStop carries out the steps of a planned stop.
func (a *Agent) runStop(ctx context.Context, exit context.CancelFunc) {
	a.stop.Run(ctx, btprocess.StopSteps{
		Unready: func() {
			a.heartbeat.setState(btmember.Draining)
			if queue := a.currentAdmission(); queue != nil {
				queue.loop.Post(btqueue.Drain{})
			}
		},
		Goodbye: func() { a.heartbeat.sendFinal() },
		Exit: func() {
			a.awaitGroupRelease(ctx)
			a.closeNode(ctx)
			exit()
		},
	})
}

// closeNode closes the node once entries have received everything sent to them. For
// the agent, a request ends when its last bytes are handed to the connection; if the
// process exited then, these bytes would be lost.
func (a *Agent) closeNode(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, stopGrace)
	defer cancel()
	if err := a.options.Node.Close(ctx); err != nil {
		a.options.Log.Warn("planned stop: node closed before all was delivered", "error", err)
	}
}

// handleEngineChange handles an engine that has gone or come back.
func (a *Agent) handleEngineChange() {
	a.resetRate()
	a.resetNotices("the engine has gone or come back")
	a.heartbeat.trigger()
}

func (a *Agent) currentAdmission() *admission {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.admission
}

// serveDeps is what serving one request needs from the bundle in force.
type serveDeps struct {
	service btid.Service
	// firstToken is the service's goal for the time to the first token, zero for none.
	firstToken time.Duration
	client     *bttarget.Client
	admission  *admission
	ledger     *ledger
}

func (a *Agent) serveDeps() (serveDeps, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := serveDeps{service: a.service, firstToken: a.firstToken, client: a.client, admission: a.admission, ledger: a.ledger}
	return p, a.admission != nil
}

func (a *Agent) countRefusal(reason btrequest.Reason) { a.options.Meter.Refused(reason) }
