package btplatform

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"bilberrytide/io/btpeer/btbackoff"
)

// Defaults of WatcherOptions.
const (
	// DefaultWait is how long the service may delay the answer to one call.
	DefaultWait = 20 * time.Second
	// DefaultRefresh is the interval at which the value is read without a revision. A
	// service that was restored to lower revisions would never answer a watch with a
	// value.
	DefaultRefresh = 10 * time.Minute
	// DefaultBackoffFirst is the longest wait after the first failure.
	DefaultBackoffFirst = 500 * time.Millisecond
	// DefaultBackoffLast is the longest wait between failures.
	DefaultBackoffLast = 15 * time.Second
)

// Names of the metrics.
const (
	MetricDelivered = "platform.watch_delivered"
	MetricUnchanged = "platform.watch_unchanged"
	MetricFailed    = "platform.watch_failed"
	MetricRevision  = "platform.watch_revision"
)

// WatcherOptions are a Watcher's dependencies and settings. Zero values mean
// the defaults.
type WatcherOptions struct {
	Client *Client
	// Key is the configuration key.
	Key string
	// Deliver is called with each new value, one call at a time.
	Deliver func(ctx context.Context, value Value)
	// Registry may be nil.
	Registry metrics.Registry
	// Log may be nil.
	Log     *slog.Logger
	Wait    time.Duration
	Refresh time.Duration
	Backoff btbackoff.Policy
}

// WatcherState is the state of a watcher.
type WatcherState struct {
	// Revision is the revision of the last value delivered.
	Revision Revision `json:"revision"`
	// Contact is when the service last answered without an error; zero means never.
	Contact time.Time `json:"contact"`
	// Failures is the number of consecutive failures.
	Failures int `json:"failures"`
	// Error is the error of the latest failure; empty after a success.
	Error string `json:"error,omitempty"`
}

// Watcher watches one configuration value. The service may be stale, so that the receiver
// has to decide whether a value replaces the one in force.
type Watcher struct {
	options   WatcherOptions
	delivered metrics.Counter
	unchanged metrics.Counter
	failed    metrics.Counter
	revision  metrics.Gauge

	mu       sync.Mutex
	state    WatcherState
	lastData []byte
	// lastFullRead is when the value was last read without a revision.
	lastFullRead time.Time
}

// NewWatcher returns a watcher; Run starts it.
func NewWatcher(o WatcherOptions) *Watcher {
	if o.Registry == nil {
		o.Registry = metrics.NewRegistry()
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	setDefault(&o.Wait, DefaultWait)
	setDefault(&o.Refresh, DefaultRefresh)
	setDefault(&o.Backoff.First, DefaultBackoffFirst)
	setDefault(&o.Backoff.Last, DefaultBackoffLast)
	return &Watcher{
		options:   o,
		delivered: metrics.GetOrRegisterCounter(MetricDelivered, o.Registry),
		unchanged: metrics.GetOrRegisterCounter(MetricUnchanged, o.Registry),
		failed:    metrics.GetOrRegisterCounter(MetricFailed, o.Registry),
		revision:  metrics.GetOrRegisterGauge(MetricRevision, o.Registry),
	}
}

// State returns the watcher's current state.
func (w *Watcher) State() WatcherState {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state
}

// Run watches until the context ends, and then returns nil. It continues after any
// failure of the service.
func (w *Watcher) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		value, changed, err := w.read(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			sleep(ctx, w.recordFailure(err))
			continue
		}
		if w.recordSuccess(value, changed) {
			w.options.Deliver(ctx, value)
		}
	}
	return nil
}

// read reads the value. After a failure it doesn't wait for a change: a service that cuts calls
// while they wait still answers.
func (w *Watcher) read(ctx context.Context) (Value, bool, error) {
	state := w.State()
	after, wait := state.Revision, w.options.Wait
	if state.Failures > 0 {
		wait = 0
	}
	now := time.Now()
	if now.Sub(w.lastFullRead) >= w.options.Refresh {
		after = 0
	}
	value, changed, err := w.options.Client.Config(ctx, w.options.Key, after, wait)
	if err == nil && after == 0 {
		w.lastFullRead = now
	}
	return value, changed, err
}

// recordSuccess records an answer and reports whether its value must be delivered.
func (w *Watcher) recordSuccess(value Value, changed bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.state.Contact = time.Now()
	w.state.Failures = 0
	w.state.Error = ""
	if !changed || value.Revision == w.state.Revision && bytes.Equal(value.Data, w.lastData) {
		w.unchanged.Inc(1)
		return false
	}
	if value.Revision < w.state.Revision {
		w.options.Log.Warn("the platform went back to an earlier revision", "key", w.options.Key,
			"revision", uint64(value.Revision), "earlier", uint64(w.state.Revision))
	}
	w.state.Revision = value.Revision
	w.lastData = value.Data
	w.delivered.Inc(1)
	w.revision.Update(int64(value.Revision))
	return true
}

// recordFailure records a failure and returns how long to wait. The wait that the platform
// asks for is a lower bound. The backoff is added to it, so that its jitter spreads the
// readers' next calls.
func (w *Watcher) recordFailure(err error) time.Duration {
	w.failed.Inc(1)
	w.mu.Lock()
	w.state.Failures++
	w.state.Error = err.Error()
	failures := w.state.Failures
	w.mu.Unlock()
	wait := w.options.Backoff.Wait(failures, nil)
	var limited *LimitedError
	if errors.As(err, &limited) {
		wait += limited.RetryAfter
	}
	w.options.Log.Info("reading the platform failed", "key", w.options.Key, "error", err,
		"failures", failures, "wait", wait.String())
	return wait
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
