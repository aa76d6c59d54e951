// Package btentry is the process that takes callers' requests: it identifies
// the client account, limits, picks a target, sends, retries, and relays the
// answer.
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
	"bilberrytide/io/bthttp"
	"bilberrytide/io/btloop"
	"bilberrytide/io/btmetric"
	"bilberrytide/io/btpeer"
	"bilberrytide/io/btplatform"
	"bilberrytide/io/btprocess"
)

// Options are an entry's dependencies.
type Options struct {
	Name       btid.Entry
	DataCentre btid.DataCentre
	// Listener takes callers' connections.
	Listener net.Listener
	// BalancerLag is how long the balancer in front may send new connections
	// after the readiness check failed.
	BalancerLag time.Duration
	// HostListInterval is the shortest interval at which the platform's host list is
	// read; zero means the default of 5 s.
	HostListInterval time.Duration
	Node             *btpeer.Node
	Bundles          *btprocess.Bundles
	Platform         *btplatform.Client
	Meter            *btmetric.Meter
	Decisions        *btmetric.Decisions
	Log              *slog.Logger
	Clock            btloop.Clock
	// Elapsed tells the time that passes, also while the host is suspended. Its times are
	// this process's own: none is compared with one of another host.
	Elapsed btloop.Clock
	Assert  *btassert.Asserter
	Random  *rand.Rand
}

// Entry takes callers' requests.
type Entry struct {
	options     Options
	incarnation btid.Incarnation
	numbers     atomic.Uint64
	fleet       *fleet
	summaries   *summaries
	limit       *limit
	reserve     *reserve
	isolation   *btprocess.Isolation
	path        handler
	server      *http.Server
	stop        *btprocess.Stop
}

const (
	// stopGrace is how long a request may be past its deadline before a planned
	// stop waits for it no longer.
	stopGrace = time.Second
	// headerWait bounds the reading of a request's header, headerBytes its size.
	headerWait  = 10 * time.Second
	headerBytes = 64 << 10
	// idleWait is how long a caller's connection is kept without a request.
	idleWait = 2 * time.Minute
	// hostsEvery is the default of Options.HostListInterval. hostsCalls is how many
	// reads a second all entries make together, which lengthens the interval in a
	// large fleet. One entry's reading is enough: the agent that it tells tells
	// all others.
	hostsEvery = 5 * time.Second
	hostsCalls = 20
)

// New returns an entry and sets the node's handlers. The bundles must not run
// yet.
func New(o Options) *Entry {
	place := btmember.EntryLocation{Entry: o.Name, DataCentre: o.DataCentre}
	incarnation := btid.Incarnation(o.Clock().UnixNano())
	e := &Entry{
		options:     o,
		incarnation: incarnation,
		fleet:       newFleet(o, place, incarnation),
	}
	e.summaries = newSummaries(o, e.fleet)
	e.stop = btprocess.NewStop(btmember.DrainSettings{ReadinessLag: o.BalancerLag, DeadlineGrace: stopGrace}, o.Elapsed, o.Assert, o.Log)
	end := &dispatch{entry: e, sender: sender{entry: e}}
	e.limit = newLimit(e)
	e.reserve = newReserve(o.Clock, o.Meter)
	e.isolation = btprocess.NewIsolation(o.Bundles)
	e.path = chain(end.handle, &identify{self: o.Name, current: o.Bundles.Current, timer: e.timer, bodies: bthttp.NewBodyBudget(bthttp.DefaultBodyBudgetBytes)}, quarantine{e.isolation}, e.limit, e.reserve)
	e.server = &http.Server{
		Handler:           http.HandlerFunc(e.serveHTTP),
		ReadHeaderTimeout: headerWait,
		MaxHeaderBytes:    headerBytes,
		IdleTimeout:       idleWait,
		ErrorLog:          slog.NewLogLogger(o.Log.Handler(), slog.LevelWarn),
	}
	o.Node.Handle(btprocess.KindHeartbeat, e.hear)
	o.Node.Handle(btprocess.KindCache, e.hearCache)
	o.Bundles.OnChange(e.fleet.configure)
	o.Bundles.OnChange(e.limit.configure)
	return e
}

// Stop returns the entry's planned stop.
func (e *Entry) Stop() *btprocess.Stop { return e.stop }

// Ready tells whether the entry takes requests: the bundle in force lists it.
func (e *Entry) Ready() bool {
	current := e.options.Bundles.Current()
	if current == nil || e.stop.Stopping() {
		return false
	}
	_, listed := current.Index.Entry(e.options.Name)
	return listed
}

// Run works until the context ends or a planned stop is complete.
func (e *Entry) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return e.options.Bundles.Run(ctx) })
	group.Go(func() error { return e.options.Node.Serve(ctx) })
	group.Go(func() error { e.fleet.run(ctx); return nil })
	group.Go(func() error { e.summaries.run(ctx); return nil })
	group.Go(func() error { e.limit.run(ctx); return nil })
	group.Go(func() error { e.isolation.Run(ctx); return nil })
	group.Go(func() error { e.isolation.Rounds(ctx); return nil })
	group.Go(func() error { e.readHosts(ctx); return nil })
	group.Go(e.serve)
	group.Go(func() error { e.runStop(ctx, cancel); return nil })
	group.Go(func() error {
		<-ctx.Done()
		return e.server.Close()
	})
	return group.Wait()
}

func (e *Entry) serve() error {
	err := e.server.Serve(e.options.Listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// runStop follows a planned stop to its end.
func (e *Entry) runStop(ctx context.Context, exit context.CancelFunc) {
	e.stop.Run(ctx, btprocess.StopSteps{
		CloseListener: func() {
			go func() { _ = e.server.Shutdown(ctx) }()
		},
		Exit: func() { e.finish(ctx, exit) },
	})
}

// finish ends the process once the last answers have left the server.
func (e *Entry) finish(ctx context.Context, exit context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, stopGrace)
	defer cancel()
	_ = e.server.Shutdown(ctx)
	exit()
}

// readHosts follows the platform's list of hosts.
func (e *Entry) readHosts(ctx context.Context) {
	for ctx.Err() == nil {
		hosts, err := e.options.Platform.Hosts(ctx)
		if err == nil {
			words := make([]btmember.HostStatus, 0, len(hosts))
			for _, h := range hosts {
				words = append(words, btmember.HostStatus{Host: h.Name, Leaving: h.State == btplatform.Leaving})
			}
			e.fleet.tell(btmember.HostList{Hosts: words})
		}
		wait(ctx, e.hostsInterval())
	}
}

// hostsInterval returns the wait between two readings of the host list.
func (e *Entry) hostsInterval() time.Duration {
	shortest := e.options.HostListInterval
	if shortest == 0 {
		shortest = hostsEvery
	}
	current := e.options.Bundles.Current()
	if current == nil {
		return shortest
	}
	return max(shortest, time.Duration(len(current.Bundle.Entries))*time.Second/hostsCalls)
}

func (e *Entry) nextID() btid.Request {
	return btid.Request{Entry: e.options.Name, Incarnation: e.incarnation, Number: e.numbers.Add(1)}
}

// fork returns a source of random numbers for one part's own use.
func fork(r *rand.Rand) *rand.Rand { return rand.New(rand.NewPCG(r.Uint64(), r.Uint64())) }

// wait sleeps and tells whether the context is still good.
func wait(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
