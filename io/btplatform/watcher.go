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
	// DefaultWait is how long one call waits at the service.
	DefaultWait = 20 * time.Second
	// DefaultRefresh is how often the value is read without a revision: a
	// service that was put back to lower revisions would answer no watch.
	DefaultRefresh = 10 * time.Minute
	// DefaultBackoffFirst is the wait after the first failure.
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
	// Deliver is called with each new value, one at a time.
	Deliver func(ctx context.Context, value Value)
	// Registry may be nil.
	Registry metrics.Registry
	// Log may be nil.
	Log     *slog.Logger
	Wait    time.Duration
	Refresh time.Duration
	Backoff btbackoff.Policy
}

// WatcherState is what a watcher knows about its service.
type WatcherState struct {
	// Revision is the last one delivered.
	Revision Revision `json:"revision"`
	// Contact is when the service last answered usefully; zero means never.
	Contact time.Time `json:"contact"`
	// Failures counts failures in a row.
	Failures int `json:"failures"`
	// Error is the last failure of the row.
	Error string `json:"error,omitempty"`
}

// Watcher follows one configuration value. Whether a value replaces the one in
// force is for its receiver to decide: the service may be stale.
type Watcher struct {
	options   WatcherOptions
	delivered metrics.Counter
	unchanged metrics.Counter
	failed    metrics.Counter
	revision  metrics.Gauge

	mu    sync.Mutex
	state WatcherState
	last  []byte
	// plain is when the value was last read without a revision.
	plain time.Time
}

// NewWatcher returns a watcher that has not started.
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

// State returns what the watcher knows now.
func (w *Watcher) State() WatcherState {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state
}

// Run watches until the context ends, then returns nil. It outlives any failure
// of the service.
func (w *Watcher) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		value, changed, err := w.read(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			pause(ctx, w.failure(err))
			continue
		}
		if w.success(value, changed) {
			w.options.Deliver(ctx, value)
		}
	}
	return nil
}

func (w *Watcher) read(ctx context.Context) (Value, bool, error) {
	after := w.State().Revision
	now := time.Now()
	if now.Sub(w.plain) >= w.options.Refresh {
		after = 0
	}
	value, changed, err := w.options.Client.Config(ctx, w.options.Key, after, w.options.Wait)
	if err == nil && after == 0 {
		w.plain = now
	}
	return value, changed, err
}

// success tells whether the value is to be delivered.
func (w *Watcher) success(value Value, changed bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.state.Contact = time.Now()
	w.state.Failures = 0
	w.state.Error = ""
	if !changed || value.Revision == w.state.Revision && bytes.Equal(value.Data, w.last) {
		w.unchanged.Inc(1)
		return false
	}
	if value.Revision < w.state.Revision {
		w.options.Log.Warn("the platform went back to an earlier revision", "key", w.options.Key,
			"revision", uint64(value.Revision), "earlier", uint64(w.state.Revision))
	}
	w.state.Revision = value.Revision
	w.last = value.Data
	w.delivered.Inc(1)
	w.revision.Update(int64(value.Revision))
	return true
}

// failure returns how long to wait. A time that the platform names is a lower
// bound; the jitter goes on top, so that readers don't come back together.
func (w *Watcher) failure(err error) time.Duration {
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

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
