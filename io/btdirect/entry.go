package btdirect

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"bilberrytide/core/btcatalog"
	"bilberrytide/core/btid"
	"bilberrytide/core/btretry"
	"bilberrytide/core/btstop"
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
	bodies    *bodyMemory
	// quarantine keeps requests that crash targets away from targets.
	quarantine *quarantine

	// startedAt is when the entry was created.
	startedAt time.Time
	served    atomic.Uint64
	stopping  atomic.Bool
	open      *openRequests
	// shutdownPhase is nil until the entry shuts down. openStreams counts the open
	// streams.
	shutdownPhase atomic.Pointer[btstop.Phase]
	openStreams   atomic.Int64
	stopRequested chan struct{}
	stopOnce      sync.Once

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
		bodies:        newBodyMemory(o.Settings.Memory),
		quarantine:    newQuarantine(o),
		stopRequested: make(chan struct{}),
		budgets:       make(map[btid.Service]*budget),
		allotment:     btretry.NewAllotment(o.Clock(), o.Settings.Retry.windowConfig(), o.Settings.FirstStart),
	}
	e.cache = newSourceCache(o, e.configure)
	e.peers = newPeers(e)
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

// Reload applies changed settings. Only the seeds can change; new addresses need a
// restart of the process.
func (e *Entry) Reload(s Settings) { e.peers.setSeeds(s.Seeds) }

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

// connectionKey is the key of a caller's connection in the contexts of its requests.
type connectionKey struct{}

// openRequest adds a request to the open ones until its connection is idle or closed.
func (e *Entry) openRequest(x *exchange) *openRequest {
	c, _ := x.request.Context().Value(connectionKey{}).(net.Conn)
	return e.open.add(c, x.info.ID, x.receivedAt)
}

// Run serves until a graceful shutdown is complete or the context ends.
func (e *Entry) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	front, err := e.options.Listen(e.options.Settings.Front)
	if err != nil {
		return err
	}
	server := &http.Server{
		Handler:           http.HandlerFunc(e.serveHTTP),
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		IdleTimeout:       callerIdleTimeout,
		ErrorLog:          slog.NewLogLogger(e.log.Handler(), slog.LevelDebug),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connectionKey{}, c)
		},
		ConnState: func(c net.Conn, s http.ConnState) {
			if s == http.StateIdle || s == http.StateClosed {
				e.open.connectionDone(c)
			}
		},
	}
	ready, err := e.serveReady()
	if err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { e.cache.run(ctx); return nil })
	group.Go(func() error { return serve(server, front) })
	group.Go(func() error { return e.peers.serve(ctx) })
	group.Go(func() error { e.peers.run(ctx); return nil })
	group.Go(func() error { e.quarantine.Run(ctx, e.peers.sendQuarantine); return nil })
	group.Go(func() error {
		defer cancel()
		defer ready.Close()
		e.shutDown(ctx, server, front)
		return nil
	})
	return group.Wait()
}

// serve runs a server until its listener is closed.
func serve(server *http.Server, listener net.Listener) error {
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// serveReady answers the load balancer's readiness check.
func (e *Entry) serveReady() (*http.Server, error) {
	listener, err := e.options.Listen(e.options.Settings.Ready)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc(e.options.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !e.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	go func() {
		if err := serve(server, listener); err != nil {
			e.log.Error("readiness check ended", "error", err)
		}
	}()
	return server, nil
}
