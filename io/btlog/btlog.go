// Package btlog writes structured logs without blocking the program.
//
// Lines go through a bounded queue to a goroutine that writes them, so an output that
// nobody reads blocks no request. The rate of lines is limited per message. Suppressed
// lines are counted, and the next line with the message has their number.
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
	// linesPerSecond and burst limit the lines of each message. They allow one for
	// every failed request of an entry in trouble, at some 300 B a line.
	linesPerSecond = 40
	burst          = 200
	// maxQueued limits the lines that wait for the output.
	maxQueued = 1024
)

// Sink is a bounded queue of lines for an output.
type Sink struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	closing sync.Once
}

// NewSink returns a sink and starts its writer, which runs until Close.
func NewSink(out io.Writer) *Sink {
	s := &Sink{lines: make(chan []byte, maxQueued), done: make(chan struct{})}
	go func() {
		defer close(s.done)
		for line := range s.lines {
			// An output that fails leaves nowhere to report the error.
			_, _ = out.Write(line)
		}
	}()
	return s
}

// Write queues one line, or counts it as dropped if the queue is full. It never blocks.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines that no line has reported yet.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Close writes the queued lines, for at most the given time. Write must not be called
// after it.
func (s *Sink) Close(within time.Duration) {
	s.closing.Do(func() { close(s.lines) })
	select {
	case <-s.done:
	case <-time.After(within):
	}
}

// Handler is a slog.Handler that limits the rate of lines per message.
type Handler struct {
	next   slog.Handler
	sink   *Sink
	limits *messageLimits
}

// messageLimits holds the limits by message. Handlers derived from one another share
// them.
type messageLimits struct {
	mu        sync.Mutex
	byMessage map[string]*messageLimit
}

type messageLimit struct {
	limiter    *rate.Limiter
	suppressed int64
}

// maxMessages limits the memory for messages, which are constants of the program.
const maxMessages = 256

// New returns a logger that writes JSON lines of at least the level to the sink.
func New(s *Sink, level slog.Level) *slog.Logger {
	next := slog.NewJSONHandler(s, &slog.HandlerOptions{Level: level})
	return slog.New(&Handler{next: next, sink: s, limits: &messageLimits{byMessage: make(map[string]*messageLimit)}})
}

// Enabled reports whether lines of the level are written.
func (h *Handler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.next.Enabled(ctx, level)
}

// Handle writes a line unless its message is over its rate.
func (h *Handler) Handle(ctx context.Context, r slog.Record) error {
	suppressed, allowed := h.limits.allow(r.Message)
	if !allowed {
		return nil
	}
	if suppressed > 0 {
		r.AddAttrs(slog.Int64("left_out", suppressed))
	}
	if n := h.sink.dropped.Swap(0); n > 0 {
		r.AddAttrs(slog.Int64("queue_dropped", n))
	}
	return h.next.Handle(ctx, r)
}

// allow reports whether a line with the message may be written now, and returns how
// many were suppressed since the last one.
func (m *messageLimits) allow(message string) (int64, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	limit, found := m.byMessage[message]
	if !found {
		if len(m.byMessage) >= maxMessages {
			return 0, false
		}
		limit = &messageLimit{limiter: rate.NewLimiter(linesPerSecond, burst)}
		m.byMessage[message] = limit
	}
	if !limit.limiter.Allow() {
		limit.suppressed++
		return 0, false
	}
	suppressed := limit.suppressed
	limit.suppressed = 0
	return suppressed, true
}

// WithAttrs returns a handler that adds the attributes to its lines.
func (h *Handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Handler{next: h.next.WithAttrs(attrs), sink: h.sink, limits: h.limits}
}

// WithGroup returns a handler that puts further attributes into the group.
func (h *Handler) WithGroup(name string) slog.Handler {
	return &Handler{next: h.next.WithGroup(name), sink: h.sink, limits: h.limits}
}
