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
	"bilberrytide/io/btlog"
	"bilberrytide/io/btmetric"
	btadapter "bilberrytide/platform"
)

// ErrStart is wrapped by the error of a process that can't start.
var ErrStart = errors.New("cannot start")

const (
	// logFlush bounds the writing of the last lines at the end of a process.
	logFlush = 200 * time.Millisecond
	// heapShare is the part of the process's memory limit that the heap may take
	// before collection works harder: stacks and buffers need the rest.
	heapShare = 0.7
	// settingsEvery is how often the settings file is looked at, as it may change
	// without a signal.
	settingsEvery = 2 * time.Second
	// metricsPort is where metrics are served, as the deploy file says.
	metricsPort = 9190
	// metricsHeaderWait bounds the reading of a request for metrics.
	metricsHeaderWait = 5 * time.Second
)

// runtime is what an entry and an agent have in common.
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

// newRuntime reads the settings and makes what every process needs.
func newRuntime(logs io.Writer) (*runtime, error) {
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

func (r *runtime) close() { r.sink.Close(logFlush) }

// serveMetrics serves the metrics as text until the context ends. A process
// without its metrics works on.
func (r *runtime) serveMetrics(ctx context.Context) {
	address := netip.AddrPortFrom(r.settings.Agent.Addr(), metricsPort)
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		r.log.Warn("metrics not served", "address", address, "error", err)
		return
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", r.meter.TextHandler())
	server := &http.Server{Handler: mux, ReadHeaderTimeout: metricsHeaderWait}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			r.log.Warn("metrics not served", "address", address, "error", err)
		}
	}()
}

// follow stops the process at SIGTERM, and puts changed settings in force at
// SIGHUP and whenever the file has changed. Neither ends the process.
func (r *runtime) follow(ctx context.Context, stop func(), apply func(btdirect.Settings)) {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		ticker := time.NewTicker(settingsEvery)
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

// reload reads the settings again. Without force it does so only where the file
// has changed. Settings that can't be used leave the earlier ones in force.
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
