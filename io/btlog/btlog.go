// Package btlog writes structured logs without ever holding up the program.
//
// Lines go through a bounded queue to a writer of their own, so that an output
// that nobody reads stalls no request. Each kind of line has a rate; what is
// left out is counted, and the next line of the kind says how many.
package btlog

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// linesPerSecond and burst bound each kind of line: enough for every failed
	// request of an entry in trouble, at some 300 bytes a line.
	linesPerSecond = 40
	burst          = 200
	// queued is how many lines wait for the output at most.
	queued = 1024
)

// Sink queues lines for an output.
type Sink struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	closing sync.Once
}

// NewSink returns a sink and starts its writer, which ends with Close.
func NewSink(out io.Writer) *Sink {
	s := &Sink{lines: make(chan []byte, queued), done: make(chan struct{})}
	go func() {
		defer close(s.done)
		for line := range s.lines {
			// There is nowhere left to report an output that fails.
			_, _ = out.Write(line)
		}
	}()
	return s
}

// Write queues one line, or counts it as dropped. It never blocks.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines found the queue full.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Close writes out what is queued, for at most the time. Nothing may be
// written after it.
func (s *Sink) Close(within time.Duration) {
	s.closing.Do(func() { close(s.lines) })
	select {
	case <-s.done:
	case <-time.After(within):
	}
}

// Handler limits the rate of each kind of line, by its message.
type Handler struct {
	next  slog.Handler
	sink  *Sink
	kinds *kinds
}

// kinds holds the limits by message; handlers with attributes share them.
type kinds struct {
	mu       sync.Mutex
	limiters map[string]*kind
}

type kind struct {
	limiter *rate.Limiter
	leftOut int64
}

// maxKinds bounds the memory for messages, which are constants of the program.
const maxKinds = 256

// New returns a logger of JSON lines to the sink.
func New(s *Sink, level slog.Level) *slog.Logger {
	next := slog.NewJSONHandler(s, &slog.HandlerOptions{Level: level})
	return slog.New(&Handler{next: next, sink: s, kinds: &kinds{limiters: make(map[string]*kind)}})
}

// Enabled tells whether lines of the level are written.
func (h *Handler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.next.Enabled(ctx, level)
}

// Handle writes a line unless its kind is over its rate.
func (h *Handler) Handle(ctx context.Context, r slog.Record) error {
	leftOut, allowed := h.kinds.allow(r.Message)
	if !allowed {
		return nil
	}
	if leftOut > 0 {
		r.AddAttrs(slog.Int64("left_out", leftOut))
	}
	if n := h.sink.dropped.Swap(0); n > 0 {
		r.AddAttrs(slog.Int64("queue_dropped", n))
	}
	return h.next.Handle(ctx, r)
}

// allow tells whether a line of the kind may be written now, and how many were
// left out since the last.
func (k *kinds) allow(message string) (int64, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	entry, found := k.limiters[message]
	if !found {
		if len(k.limiters) >= maxKinds {
			return 0, false
		}
		entry = &kind{limiter: rate.NewLimiter(linesPerSecond, burst)}
		k.limiters[message] = entry
	}
	if !entry.limiter.Allow() {
		entry.leftOut++
		return 0, false
	}
	leftOut := entry.leftOut
	entry.leftOut = 0
	return leftOut, true
}

// WithAttrs returns a handler whose lines have the attributes too.
func (h *Handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Handler{next: h.next.WithAttrs(attrs), sink: h.sink, kinds: h.kinds}
}

// WithGroup returns a handler whose further attributes are in the group.
func (h *Handler) WithGroup(name string) slog.Handler {
	return &Handler{next: h.next.WithGroup(name), sink: h.sink, kinds: h.kinds}
}
