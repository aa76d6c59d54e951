// Package btdirectcmd adds the commands that run a process on the users'
// platform: "direct entry" and "direct agent".
package btdirectcmd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"bilberrytide/core/btassert"
	"bilberrytide/io/btdirect"
	"bilberrytide/io/btlog"
	"bilberrytide/io/btmetric"
	"bilberrytide/io/btrank"
	btadapter "bilberrytide/platform"
)

// ErrStart is wrapped by the error of a process that can't start.
var ErrStart = errors.New("cannot start")

const entryHelp = `Run an entry whose targets are reached directly, on the users' platform.

The settings file is named by the environment. SIGTERM stops the process without
cutting off a request; SIGHUP reads the settings again.`

const agentHelp = `Run the agent beside a model engine that is a rank of a group, on the users'
platform.

The settings file is named by the environment. SIGTERM ends the process; SIGHUP
reads the settings again.`

// logFlush bounds the writing of the last lines at the end of a process.
const logFlush = 200 * time.Millisecond

// Register adds the commands to the application; log lines go to logs.
func Register(app *kingpin.Application, logs io.Writer) {
	direct := app.Command("direct", "Run a process on the users' platform.")
	direct.Command("entry", entryHelp).Action(func(*kingpin.ParseContext) error { return runEntry(logs) })
	direct.Command("agent", agentHelp).Action(func(*kingpin.ParseContext) error { return runAgent(logs) })
}

// heapShare is the part of the process's memory limit that the heap may take
// before collection works harder: stacks and buffers need the rest.
const heapShare = 0.7

// load reads the settings and sets the memory limit.
func load() (btdirect.Settings, error) {
	path := os.Getenv(btadapter.SettingsVariable)
	if path == "" {
		return btdirect.Settings{}, fmt.Errorf("%w: %s is not set", ErrStart, btadapter.SettingsVariable)
	}
	s, err := btadapter.LoadSettings(path)
	if err != nil {
		return btdirect.Settings{}, fmt.Errorf("%w: %w", ErrStart, err)
	}
	if s.Memory > 0 {
		debug.SetMemoryLimit(int64(float64(s.Memory) * heapShare))
	}
	return s, nil
}

func runEntry(logs io.Writer) error {
	s, err := load()
	if err != nil {
		return err
	}
	sink := btlog.NewSink(logs)
	defer sink.Close(logFlush)
	log := btlog.New(sink, slog.LevelInfo).With("process", s.Name)
	entry := btdirect.New(btdirect.Options{
		Settings:  s,
		Source:    btadapter.NewStore(s.Store),
		Headers:   btadapter.Headers{},
		Decode:    btadapter.DecodeCatalog,
		ReadyPath: btadapter.PathReady,
		Meter:     btmetric.New(nil),
		Log:       log,
		Clock:     time.Now,
	})
	log.Info("started", "role", "entry", "front", s.Front, "store", s.Store, "data_centre", s.DataCentre)
	handleSignals(log, entry.Stop)
	if err := entry.Run(context.Background()); err != nil {
		log.Error("ended", "error", err)
		return err
	}
	return nil
}

func runAgent(logs io.Writer) error {
	s, err := load()
	if err != nil {
		return err
	}
	sink := btlog.NewSink(logs)
	defer sink.Close(logFlush)
	log := btlog.New(sink, slog.LevelInfo).With("process", s.Name)
	meter := btmetric.New(nil)
	agent := btrank.New(btrank.Options{
		Settings: s,
		Engine:   btadapter.NewEngine(s.Engine),
		Remote:   func(a netip.AddrPort) btrank.Engine { return btadapter.NewEngine(a) },
		Meter:    meter,
		Log:      log,
		Clock:    time.Now,
		Assert: btassert.New(btassert.SinkFunc(func(v btassert.Violation) {
			meter.Counter(btmetric.PrefixViolated + string(v.Name)).Inc(1)
			log.Error("invariant violated", "invariant", v.Name, "detail", v.Detail)
		})),
		Address: s.Agent,
	})
	log.Info("started", "role", "agent", "address", s.Agent, "engine", s.Engine, "service", s.Service)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	handleSignals(log, cancel)
	if err := agent.Run(ctx); err != nil {
		log.Error("ended", "error", err)
		return err
	}
	log.Info("stopped")
	return nil
}

// handleSignals stops the process at SIGTERM and never ends it at SIGHUP.
func handleSignals(log *slog.Logger, stop func()) {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		for s := range signals {
			if s != syscall.SIGHUP {
				stop()
				continue
			}
			_, err := load()
			log.Info("settings read again", "error", err)
		}
	}()
}
