// Package btfront serves callers that a process doesn't control within its limits of memory
// and descriptors.
package btfront

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"

	"bilberrytide/core/btpool"
	"bilberrytide/io/btcall"
	"bilberrytide/io/btloop"
	"bilberrytide/io/btmetric"
)

// ErrMemory means that a request holds more than is left of the callers' memory.
var ErrMemory = errors.New("out of memory for callers")

// ErrEvicted means that a connection has lost its memory or its place to another one.
var ErrEvicted = errors.New("connection evicted")

// ErrTooLarge means that a body exceeds its limit.
var ErrTooLarge = errors.New("body too large")

// Limits bound the requests of a caller. Zero values set no limit.
type Limits struct {
	// HeaderBytes bounds the fields of a header, without its first line.
	HeaderBytes int
	// HeaderTime is how long a header may take from its first byte, IdleTime how long a
	// connection may be idle.
	HeaderTime, IdleTime time.Duration
}

// Options are the limits and dependencies of a front.
type Options struct {
	// Name is the prefix of the metrics, and names the front in the log.
	Name string
	// Bytes is the memory that connections and their requests may hold, Connections how many
	// may be open. Zero sets no limit.
	Bytes       int64
	Connections int
	// Grace is how long a connection may be without a request before it loses its place to
	// a new one.
	Grace time.Duration
	// Closing is how many evicted connections may be there beyond Connections until the server
	// has closed them.
	Closing int
	// EvictServed permits closing a connection while its request is answered. It is for
	// requests that have no effect.
	EvictServed bool
	// Limits returns the limits in force; nil if only those of the server apply.
	Limits func() Limits
	Clock  btloop.Clock
	Meter  *btmetric.Meter
	Log    *slog.Logger
}

const (
	// requestMemoryShare is the share of a process's memory that callers' requests and
	// buffered answers may take. connectionMemoryShare is that of their connections, each of
	// which takes connectionBytes without its request. The rest is for lists and garbage.
	requestMemoryShare    = 0.25
	connectionMemoryShare = 0.25
	connectionBytes       = 32 << 10
	// callerDescriptorShare is the share of the descriptors that callers' connections may
	// use; the rest is for targets and other processes.
	callerDescriptorShare = 0.75
	// callerGrace is how long a caller's connection may be without a request before it loses
	// its place to a new one. Callers send a request as soon as they are connected.
	callerGrace = 100 * time.Millisecond
)

// CallerOptions returns the options of a front for callers of a process that may take so
// many bytes of memory and so many descriptors. Zero means that the limit isn't known.
func CallerOptions(memory int64, descriptors int) Options {
	o := Options{Bytes: int64(requestMemoryShare * float64(memory)), Grace: callerGrace}
	if memory > 0 {
		o.Connections = max(int(connectionMemoryShare*float64(memory))/connectionBytes, 1)
	}
	if byDescriptors := max(int(callerDescriptorShare*float64(descriptors)), 1); descriptors > 0 && (o.Connections == 0 || byDescriptors < o.Connections) {
		o.Connections = byDescriptors
	}
	return o
}

// Metrics, after the front's name.
const (
	metricRefused       = "connections_refused"
	metricEvicted       = "connections_evicted"
	metricHeaderRefused = "headers_refused"
)

const (
	// crowdedShare is the share of the connections from which on they are closed after an
	// answer, so that idle ones leave room for new ones.
	crowdedShare = 0.75
	// unreadBytes is the size of a connection's receive buffer: what a caller can send that
	// the process hasn't read.
	unreadBytes = 16 << 10
)

// Front limits the connections of one server. It is safe for concurrent use.
type Front struct {
	options                          Options
	refused, evicted, headersRefused metrics.Counter

	mu   sync.Mutex
	pool *btpool.Pool[*Conn]
}

// New returns a front without connections.
func New(o Options) *Front {
	prefix := ""
	if o.Name != "" {
		prefix = o.Name + "_"
	}
	return &Front{
		options:        o,
		pool:           btpool.New[*Conn](btpool.Config{Bytes: o.Bytes, Connections: o.Connections, Grace: o.Grace, Closing: o.Closing, EvictServed: o.EvictServed}),
		refused:        o.Meter.Counter(prefix + metricRefused),
		evicted:        o.Meter.Counter(prefix + metricEvicted),
		headersRefused: o.Meter.Counter(prefix + metricHeaderRefused),
	}
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// Of returns the connection of a request that a front serves; nil for another one.
func Of(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// Configure makes the server follow its connections for the front. It must be called before
// Serve and keeps a ConnState hook that is set.
func (f *Front) Configure(server *http.Server) {
	next, handler := server.ConnState, server.Handler
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	server.ConnState = func(nc net.Conn, s http.ConnState) {
		if c, found := nc.(*Conn); found {
			switch s {
			case http.StateIdle:
				c.finish()
			case http.StateClosed, http.StateHijacked:
				f.remove(c)
			}
		}
		if next != nil {
			next(nc, s)
		}
	}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := Of(r.Context())
		switch {
		case c != nil && !c.begin(r):
			f.refuseHeader(c, "memory")
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
		case c != nil && !r.ProtoAtLeast(1, 1):
			c.serveHTTP10(w, r, handler)
		default:
			handler.ServeHTTP(w, r)
		}
	})
}

// Serve serves the listener's connections within the limits.
func (f *Front) Serve(server *http.Server, listener net.Listener) error {
	f.limitUnread(listener)
	return server.Serve(limitedListener{btcall.RetryAccept(listener), f})
}

// refuseHeader records that a request is refused because of its header.
func (f *Front) refuseHeader(c *Conn, reason string) {
	f.headersRefused.Inc(1)
	f.options.Log.Info("header refused", "front", f.options.Name, "reason", reason, "caller", c.RemoteAddr())
}

// limitUnread bounds the receive buffers of the connections that the listener accepts.
func (f *Front) limitUnread(listener net.Listener) {
	raw, ok := listener.(syscall.Conn)
	if !ok {
		return
	}
	control, err := raw.SyscallConn()
	if err == nil {
		err = control.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, unreadBytes)
		})
	}
	if err != nil {
		f.options.Log.Warn("receive buffers not limited", "front", f.options.Name, "error", err)
	}
}

// Crowded reports whether connections are to be closed after their answers.
func (f *Front) Crowded() bool {
	if f.options.Connections <= 0 {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return float64(f.pool.Connections()) >= crowdedShare*float64(f.options.Connections)
}

// Bytes returns the memory that the connections and their requests hold.
func (f *Front) Bytes() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pool.Bytes()
}

// limitedListener closes connections beyond the limit.
type limitedListener struct {
	net.Listener
	front *Front
}

// Accept returns the next connection within the limits.
func (l limitedListener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.front.open(raw); c != nil {
			return c, nil
		}
		l.front.refused.Inc(1)
		l.front.options.Log.Info("connection refused", "front", l.front.options.Name, "reason", "connections", "caller", raw.RemoteAddr())
		// Nothing was written that closing could lose.
		_ = raw.Close()
	}
}

// open adds a connection; it returns nil if there is no place for it.
func (f *Front) open(raw net.Conn) *Conn {
	c := &Conn{Conn: raw, front: f}
	f.mu.Lock()
	opened, evicted := f.pool.Open(f.options.Clock(), c)
	c.member = opened
	f.mu.Unlock()
	if evicted != nil {
		f.evict("connections", []*btpool.Member[*Conn]{evicted})
	}
	if opened == nil {
		return nil
	}
	return c
}

func (f *Front) remove(c *Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pool.Close(c.member)
}

// evict closes connections for want of a resource.
func (f *Front) evict(want string, members []*btpool.Member[*Conn]) {
	for _, m := range members {
		f.evicted.Inc(1)
		f.options.Log.Info("connection evicted", "front", f.options.Name, "for_want_of", want, "caller", m.Owner.RemoteAddr())
		m.Owner.evict()
	}
}

// reserve adds to what a connection holds.
func (f *Front) reserve(c *Conn, n int64) bool {
	f.mu.Lock()
	evicted, reserved := f.pool.Reserve(f.options.Clock(), c.member, n)
	f.mu.Unlock()
	f.evict("memory", evicted)
	return reserved
}
