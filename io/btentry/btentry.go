// Package btentry is the entry process of the guarded path. For each request of a caller
// it identifies the client account, applies its limits, picks a target, sends the
// request to the target's agent, retries it and relays the answer.
package btentry

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"bilberrytide/core/btassert"
	"bilberrytide/core/btid"
	"bilberrytide/core/btmember"
	"bilberrytide/io/btfront"
	"bilberrytide/io/btloop"
	"bilberrytide/io/btmetric"
	"bilberrytide/io/btpeer"
	"bilberrytide/io/btplatform"
	"bilberrytide/io/btprocess"
)

// Options are the dependencies of an entry.
type Options struct {
	Name       btid.Entry
	DataCentre btid.DataCentre
	// Listener accepts the connections of callers.
	Listener net.Listener
	// Memory is what the process may take, in bytes, and Descriptors how many it may open;
	// zero if they aren't limited.
	Memory      int64
	Descriptors int
	// BalancerLag is how long the external load balancer may send new connections after
	// the readiness check has failed.
	BalancerLag time.Duration
	// HostListInterval is the minimum interval at which the platform's host list is
	// read; zero means 5 s.
	HostListInterval time.Duration
	Node             *btpeer.Node
	Bundles          *btprocess.Bundles
	Platform         *btplatform.Client
	Meter            *btmetric.Meter
	Decisions        *btmetric.Decisions
	Log              *slog.Logger
	Clock            btloop.Clock
	// Elapsed measures elapsed time, including time in which the host is suspended. Its
	// times are only valid in this process and must not be compared with those of
	// another host.
	Elapsed btloop.Clock
	Assert  *btassert.Asserter
	Random  *rand.Rand
}

// Entry accepts the requests of callers.
type Entry struct {
	options       Options
	incarnation   btid.Incarnation
	numbers       atomic.Uint64
	fleet         *fleet
	summaries     *summaries
	limiter       *limiter
	reserve       *reserve
	isolation     *btprocess.Isolation
	handleRequest handler
	server        *http.Server
	front         *btfront.Front
	stop          *btprocess.Stop
}

const (
	// stopGrace is how long after a request's deadline a planned stop still waits for
	// it.
	stopGrace = time.Second
	// readHeaderTimeout limits the time to read a request's header, maxHeaderBytes its
	// size.
	readHeaderTimeout = 10 * time.Second
	maxHeaderBytes    = 64 << 10
	// idleTimeout is how long an idle connection of a caller is kept.
	idleTimeout = 2 * time.Minute
	// defaultHostListInterval is the default of Options.HostListInterval.
	// hostListReadRate is the rate per second at which all entries together read the
	// list; it lengthens the interval in a large fleet. It is enough that one entry
	// reads it, since the agent that it notifies notifies all others.
	defaultHostListInterval = 5 * time.Second
	hostListReadRate        = 20
)

// New returns an entry and sets the handlers of the node. It must be called before the
// bundles run.
func New(o Options) *Entry {
	location := btmember.EntryLocation{Entry: o.Name, DataCentre: o.DataCentre}
	incarnation := btid.Incarnation(o.Clock().UnixNano())
	e := &Entry{
		options:     o,
		incarnation: incarnation,
		fleet:       newFleet(o, location, incarnation),
	}
	e.summaries = newSummaries(o, e.fleet)
	e.stop = btprocess.NewStop(btmember.DrainSettings{ReadinessLag: o.BalancerLag, DeadlineGrace: stopGrace}, o.Elapsed, o.Assert, o.Log)
	dispatcher := &dispatch{entry: e, sender: sender{entry: e}}
	e.limiter = newLimiter(e)
	e.reserve = newReserve(o.Clock, o.Meter)
	e.isolation = btprocess.NewIsolation(o.Bundles)
	e.handleRequest = chain(dispatcher.handle, &identify{self: o.Name, current: o.Bundles.Current, timerTime: e.timerTime}, quarantine{e.isolation}, e.limiter, e.reserve)
	e.server = &http.Server{
		Handler:           http.HandlerFunc(e.serveHTTP),
		ReadHeaderTimeout: readHeaderTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		IdleTimeout:       idleTimeout,
		ErrorLog:          slog.NewLogLogger(o.Log.Handler(), slog.LevelWarn),
	}
	e.front = newFront(o)
	e.front.Configure(e.server)
	o.Node.Handle(btprocess.KindHeartbeat, e.handleHeartbeats)
	o.Node.Handle(btprocess.KindCache, e.handleCacheEvents)
	o.Bundles.OnChange(e.fleet.configure)
	o.Bundles.OnChange(e.limiter.configure)
	return e
}

// Stop returns the planned stop of the entry.
func (e *Entry) Stop() *btprocess.Stop { return e.stop }

// Ready reports whether the entry accepts requests: the bundle in force lists it and it
// is not stopping.
func (e *Entry) Ready() bool {
	current := e.options.Bundles.Current()
	if current == nil || e.stop.Stopping() {
		return false
	}
	_, listed := current.Index.Entry(e.options.Name)
	return listed
}

// Run runs the entry until the context ends or a planned stop is complete.
func (e *Entry) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return e.options.Bundles.Run(ctx) })
	group.Go(func() error { return e.options.Node.Serve(ctx) })
	group.Go(func() error { e.fleet.run(ctx); return nil })
	group.Go(func() error { e.summaries.run(ctx); return nil })
	group.Go(func() error { e.limiter.run(ctx); return nil })
	group.Go(func() error { e.isolation.Run(ctx); return nil })
	group.Go(func() error { e.isolation.RunExchanges(ctx); return nil })
	group.Go(func() error { e.pollHostList(ctx); return nil })
	group.Go(e.serve)
	group.Go(func() error { e.runStop(ctx, cancel); return nil })
	group.Go(func() error {
		<-ctx.Done()
		return e.server.Close()
	})
	return group.Wait()
}

func (e *Entry) serve() error {
	err := e.front.Serve(e.server, e.options.Listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// runStop runs a planned stop.
func (e *Entry) runStop(ctx context.Context, exit context.CancelFunc) {
	e.stop.Run(ctx, btprocess.StopSteps{
		CloseListener: func() {
			go func() { _ = e.server.Shutdown(ctx) }()
		},
		Exit: func() { e.shutDown(ctx, exit) },
	})
}

// shutDown waits until the last answers are written and then ends the process.
func (e *Entry) shutDown(ctx context.Context, exit context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, stopGrace)
	defer cancel()
	_ = e.server.Shutdown(ctx)
	exit()
}

// pollHostList reads the platform's host list until the context ends.
func (e *Entry) pollHostList(ctx context.Context) {
	for ctx.Err() == nil {
		hosts, err := e.options.Platform.Hosts(ctx)
		if err == nil {
			hostStatuses := make([]btmember.HostStatus, 0, len(hosts))
			for _, h := range hosts {
				hostStatuses = append(hostStatuses, btmember.HostStatus{Host: h.Name, Leaving: h.State == btplatform.Leaving})
			}
			e.fleet.stepMember(btmember.HostList{Hosts: hostStatuses})
		}
		sleep(ctx, e.hostListInterval())
	}
}

// hostListInterval returns the interval between two reads of the host list.
func (e *Entry) hostListInterval() time.Duration {
	shortest := e.options.HostListInterval
	if shortest == 0 {
		shortest = defaultHostListInterval
	}
	current := e.options.Bundles.Current()
	if current == nil {
		return shortest
	}
	return max(shortest, time.Duration(len(current.Bundle.Entries))*time.Second/hostListReadRate)
}

func (e *Entry) nextID() btid.Request {
	return btid.Request{Entry: e.options.Name, Incarnation: e.incarnation, Number: e.numbers.Add(1)}
}

// forkRandom returns a random source seeded from r, for use by one component.
func forkRandom(r *rand.Rand) *rand.Rand { return rand.New(rand.NewPCG(r.Uint64(), r.Uint64())) }

// sleep waits for d. It returns false if the context ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
