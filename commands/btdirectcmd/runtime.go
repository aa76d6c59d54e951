package btdirectcmd

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"bilberrytide/core/btassert"
	"bilberrytide/io/btclock"
	"bilberrytide/io/btdirect"
	"bilberrytide/io/btfront"
	"bilberrytide/io/btlog"
	"bilberrytide/io/btmetric"
	btadapter "bilberrytide/platform"
)

// ErrStart is wrapped by the error of a process that can't start because of its
// settings or its clock.
var ErrStart = errors.New("cannot start")

const (
	// logFlushTimeout limits how long a process writes buffered log lines at its end.
	logFlushTimeout = 200 * time.Millisecond
	// heapShare is the share of the process's memory limit that is set as the Go
	// runtime's soft limit, above which garbage is collected more often. The rest
	// is left for stacks and buffers.
	heapShare = 0.7
	// settingsPollInterval is the time between two reads of the settings file,
	// which may change without a signal.
	settingsPollInterval = 2 * time.Second
	// metricsPort is the port that the deploy file names for metrics.
	metricsPort = 9190
)

// runtime holds the settings and services that entries and agents share.
type runtime struct {
	path     string
	contents []byte
	settings btdirect.Settings
	sink     *btlog.Sink
	log      *slog.Logger
	meter    *btmetric.Meter
	assert   *btassert.Asserter
	clock    *btclock.Clock
}

// newRuntime loads the settings from the file that the environment names and
// creates the log, the metrics and the clock.
func newRuntime(logs io.Writer) (*runtime, error) {
	// Without it, a write to a log that nobody reads any more would end the process.
	signal.Ignore(syscall.SIGPIPE)
	path := os.Getenv(btadapter.SettingsVariable)
	if path == "" {
		return nil, fmt.Errorf("%w: %s is not set", ErrStart, btadapter.SettingsVariable)
	}
	s, err := btadapter.LoadSettings(path)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrStart, err)
	}
	if s.Memory > 0 {
		debug.SetMemoryLimit(int64(float64(s.Memory) * heapShare))
	}
	r := &runtime{path: path, settings: s, sink: btlog.NewSink(logs), meter: btmetric.New(nil)}
	r.contents, _ = os.ReadFile(path)
	r.log = btlog.New(r.sink, slog.LevelInfo).With("process", s.Name)
	r.assert = btassert.New(btassert.SinkFunc(func(v btassert.Violation) {
		r.meter.Counter(btmetric.PrefixViolated + string(v.Name)).Inc(1)
		r.log.Error("invariant violated", "invariant", v.Name, "detail", v.Detail)
	}))
	r.clock, err = btclock.New(btclock.NewSystem(), time.Now(), func(slept time.Duration) {
		r.log.Warn("host was suspended", "for_ms", slept.Milliseconds())
	})
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrStart, err)
	}
	return r, nil
}

func (r *runtime) close() { r.sink.Close(logFlushTimeout) }

// serveMetrics serves the metrics as text until the context ends. If they can't be
// served, a warning is logged and the process keeps running.
func (r *runtime) serveMetrics(ctx context.Context) {
	address := netip.AddrPortFrom(r.settings.Agent.Addr(), metricsPort)
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		r.log.Warn("metrics not served", "address", address, "error", err)
		return
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", r.meter.TextHandler())
	front, server := btfront.NewOperatorServer("metrics", mux, r.clock.Now, r.meter, r.log)
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() {
		if err := btfront.ServeOperator(front, server, listener); err != nil {
			r.log.Warn("metrics not served", "address", address, "error", err)
		}
	}()
}

// watch calls stop at SIGTERM or SIGINT. At SIGHUP, and when the settings file has
// changed, it calls apply with the new settings; the process keeps running.
func (r *runtime) watch(ctx context.Context, stop func(), apply func(btdirect.Settings)) {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		ticker := time.NewTicker(settingsPollInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				r.reload("file changed", false, apply)
			case s := <-signals:
				if s == syscall.SIGHUP {
					r.reload("signal", true, apply)
					continue
				}
				stop()
			}
		}
	}()
}

// reload loads the settings and applies them. Without force it does so only if the
// file has changed. Invalid settings are logged and the earlier ones stay in force.
func (r *runtime) reload(cause string, force bool, apply func(btdirect.Settings)) {
	contents, err := os.ReadFile(r.path)
	if err != nil {
		r.log.Warn("settings not read", "cause", cause, "error", err, "outcome", "earlier settings stay")
		return
	}
	if !force && bytes.Equal(contents, r.contents) {
		return
	}
	r.contents = contents
	s, err := btadapter.LoadSettings(r.path)
	if err != nil {
		r.log.Warn("settings refused", "cause", cause, "error", err, "outcome", "earlier settings stay")
		return
	}
	r.log.Info("settings reloaded", "cause", cause, "seeds", s.Seeds)
	apply(s)
}
