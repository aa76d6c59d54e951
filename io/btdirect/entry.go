package btdirect

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"bilberrytide/core/btcatalog"
	"bilberrytide/core/btid"
	"bilberrytide/core/btretry"
	"bilberrytide/core/btstop"
	"bilberrytide/io/btcall"
	"bilberrytide/io/btfront"
	"bilberrytide/io/btloop"
	"bilberrytide/io/btmetric"
)

// Options holds the dependencies of an entry.
type Options struct {
	Settings Settings
	Source   Source
	Headers  Headers
	// Decode decodes a catalog from its published form.
	Decode func([]byte) (*btcatalog.Catalog, error)
	// ReadyPath is the path of the load balancer's readiness check.
	ReadyPath string
	Meter     *btmetric.Meter
	Log       *slog.Logger
	Clock     btloop.Clock
	// Listen opens a listener at an address of this host.
	Listen func(netip.AddrPort) (net.Listener, error)
}

// Entry accepts callers' requests and sends them directly to targets.
type Entry struct {
	options   Options
	log       *slog.Logger
	meter     *btmetric.Meter
	cache     *sourceCache
	fleet     *fleet
	admission *admission
	peers     *peers
	crashes   *crashDetector
	// quarantine keeps requests that crash targets away from targets.
	quarantine *quarantine

	// startedAt is when the entry was created.
	startedAt time.Time
	served    atomic.Uint64
	stopping  atomic.Bool
	open      *openRequests
	// front has the connections of callers.
	front *btfront.Front
	// shutdownPhase is nil until the entry shuts down. openStreams counts the open
	// streams.
	shutdownPhase atomic.Pointer[btstop.Phase]
	openStreams   atomic.Int64
	// acceptance decides what is accepted during the shutdown.
	acceptance    *acceptance
	stopRequested chan struct{}
	stopOnce      sync.Once
	// stopGrace is the grace period in force, in nanoseconds.
	stopGrace atomic.Int64

	mu      sync.Mutex
	budgets map[btid.Service]*budget
	// allotment is this entry's part of the limits on retries.
	allotment *btretry.Allotment
}

// New returns an entry without a catalog or targets. Run reads them.
func New(o Options) *Entry {
	e := &Entry{
		options:       o,
		log:           o.Log,
		startedAt:     o.Clock(),
		open:          newOpenRequests(o.Clock),
		meter:         o.Meter,
		fleet:         newFleet(o),
		crashes:       newCrashDetector(o.Clock),
		acceptance:    newAcceptance(),
		stopRequested: make(chan struct{}),
		budgets:       make(map[btid.Service]*budget),
		allotment:     btretry.NewAllotment(o.Clock(), o.Settings.Retry.windowConfig(), o.Settings.FirstStart),
	}
	e.stopGrace.Store(int64(o.Settings.StopGrace))
	e.cache = newSourceCache(o, e.configure)
	e.front = newFront(o, e.callerLimits)
	e.peers = newPeers(e)
	e.quarantine = newQuarantine(o, e.peers)
	e.cache.reading = e.peers.reading
	e.admission = newAdmission(o, e.fleet, e.estimatedEntries)
	return e
}

func (e *Entry) configure(l listing) {
	for _, group := range e.fleet.configure(l) {
		e.log.Warn("group broken", "service", group.Service, "group", group.Name, "evidence", "list")
	}
}

// estimatedEntries returns the estimated number of entries that share the targets, this
// one included: the known ones, and at least as many as there are seeds.
func (e *Entry) estimatedEntries() int { return max(len(e.options.Settings.Seeds), e.peers.count()+1) }

// Reload applies changed settings. Only the seeds and the grace period of a stop that has
// not begun can change; new addresses need a restart of the process.
func (e *Entry) Reload(s Settings) {
	e.peers.setSeeds(s.Seeds)
	e.stopGrace.Store(int64(s.StopGrace))
}

// Ready reports whether the entry accepts requests.
func (e *Entry) Ready() bool {
	return !e.stopping.Load() && e.cache.index.Load() != nil && e.fleet.ready()
}

const (
	// headerTimeout limits the time to read a request's header, and maxHeaderBytes its
	// size. Both are above what any known catalog allows.
	headerTimeout  = 10 * time.Second
	maxHeaderBytes = 64 << 10
	// callerIdleTimeout is how long an idle connection of a caller is kept. It is
	// longer than callers reuse one, so that no request is sent on a connection that is
	// just being closed.
	callerIdleTimeout = 75 * time.Second
)

// openRequest adds a request to the open ones until its connection is idle or closed.
func (e *Entry) openRequest(x *exchange) *openRequest {
	return e.open.add(x.connection, x.info.ID, x.receivedAt)
}

// listeners are those of an entry.
type listeners struct{ front, ready, peer net.Listener }

// openListeners opens all listeners. It waits a moment for ports that are in use.
func (e *Entry) openListeners(ctx context.Context) (l listeners, err error) {
	s := e.options.Settings
	for _, open := range []struct {
		to *net.Listener
		at netip.AddrPort
	}{{&l.ready, s.Ready}, {&l.peer, s.Peer}, {&l.front, s.Front}} {
		if *open.to, err = btcall.AwaitListen(ctx, e.options.Listen, open.at); err != nil {
			return l, err
		}
	}
	return l, nil
}

// Run serves until a graceful shutdown is complete or the context ends. If a part of the
// entry fails, it shuts down gracefully and returns the error.
func (e *Entry) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l, err := e.openListeners(ctx)
	if err != nil {
		return err
	}
	server := &http.Server{
		Handler:           http.HandlerFunc(e.handle),
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		IdleTimeout:       callerIdleTimeout,
		ErrorLog:          slog.NewLogLogger(e.log.Handler(), slog.LevelDebug),
		ConnState: func(c net.Conn, s http.ConnState) {
			if s == http.StateIdle || s == http.StateClosed {
				e.open.connectionDone(c)
			}
		},
	}
	e.front.Configure(server)
	ready := e.serveReady(l.ready)
	// The group doesn't cancel the context: that would cut all answers.
	group := &errgroup.Group{}
	group.Go(func() error { e.cache.run(ctx); return nil })
	group.Go(func() error { return e.stopOnError("front", e.serveFront(server, l.front)) })
	group.Go(func() error { return e.stopOnError("peer", e.peers.serve(ctx, l.peer)) })
	group.Go(func() error { e.peers.run(ctx); return nil })
	group.Go(func() error { e.quarantine.Run(ctx, e.peers.sendQuarantine); return nil })
	group.Go(func() error { e.quarantine.parts.Run(ctx, e.peers.sendParts); return nil })
	group.Go(func() error {
		defer cancel()
		defer ready.Close()
		e.shutDown(ctx, server, l.front)
		return nil
	})
	return group.Wait()
}

// stopOnError begins the graceful shutdown if a part of the entry has failed, and returns
// the error.
func (e *Entry) stopOnError(part string, err error) error {
	if err != nil {
		e.log.Error("part failed", "part", part, "error", err)
		e.Stop()
	}
	return err
}

// handle handles a caller's request and logs a panic, which cuts only that request.
func (e *Entry) handle(w http.ResponseWriter, r *http.Request) {
	c := btfront.Of(r.Context())
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		if cause != http.ErrAbortHandler {
			e.log.Error("request panicked", "request", e.open.fail(c, ReasonPanic), "panic", fmt.Sprint(cause), "stack", string(debug.Stack()))
		}
		panic(http.ErrAbortHandler)
	}()
	e.serveHTTP(w, r)
	if !e.open.decided(c) {
		// The caller has disconnected, or closed its half of the connection only. Without
		// this the server would answer 200.
		panic(http.ErrAbortHandler)
	}
}

// serveFront serves callers until the shutdown closes the listener.
func (e *Entry) serveFront(server *http.Server, listener net.Listener) error {
	err := e.front.Serve(server, listener)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) && e.stopping.Load() {
		return nil
	}
	return err
}

// serveReady answers the load balancer's readiness check.
func (e *Entry) serveReady(listener net.Listener) *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc(e.options.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !e.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	front, server := btfront.NewOperatorServer("ready", mux, e.options.Clock, e.meter, e.log)
	go func() {
		if err := btfront.ServeOperator(front, server, listener); err != nil {
			e.log.Error("readiness check ended", "error", err)
		}
	}()
	return server
}
