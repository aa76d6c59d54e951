// Package btdirectcmd adds the commands "direct entry" and "direct agent", which
// run a process on the users' platform.
package btdirectcmd

import (
	"context"
	"io"
	"net/netip"

	"github.com/alecthomas/kingpin/v2"

	"bilberrytide/io/btcall"
	"bilberrytide/io/btdirect"
	"bilberrytide/io/btrank"
	btadapter "bilberrytide/platform"
)

const entryHelp = `Run an entry whose targets are reached directly, on the users' platform.

The settings file is named by the environment. SIGTERM stops the process without
cutting off a request; SIGHUP reads the settings again, as does a change of the
file. Metrics are served as text on port 9190 at /metrics.

Exit codes: 0 stopped as planned, 1 could not start or failed, 2 wrong usage.`

const agentHelp = `Run the agent beside a model engine that is a rank of a group, on the users'
platform.

The settings file is named by the environment. SIGTERM stops the process after the
round that it leads, if any; SIGHUP reads the settings again, as does a change of the
file. Metrics are served as text on port 9190 at /metrics.

Exit codes: 0 stopped as planned, 1 could not start or failed, 2 wrong usage.`

// Register adds the commands to the application. The processes write their log to
// logs.
func Register(app *kingpin.Application, logs io.Writer) {
	direct := app.Command("direct", "Run a process on the users' platform.")
	direct.Command("entry", entryHelp).Action(func(*kingpin.ParseContext) error { return runEntry(logs) })
	direct.Command("agent", agentHelp).Action(func(*kingpin.ParseContext) error { return runAgent(logs) })
}

func runEntry(logs io.Writer) error {
	r, err := newRuntime(logs)
	if err != nil {
		return err
	}
	defer r.close()
	s := r.settings
	entry := btdirect.New(btdirect.Options{
		Settings:  s,
		Source:    btadapter.NewStore(s.Store),
		Headers:   btadapter.Headers{},
		Decode:    btadapter.DecodeCatalog,
		ReadyPath: btadapter.PathReady,
		Meter:     r.meter,
		Log:       r.log,
		Clock:     r.clock.Now,
		Listen:    btcall.Listen,
	})
	r.log.Info("started", "role", "entry", "front", s.Front, "store", s.Store, "data_centre", s.DataCentre)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r.serveMetrics(ctx)
	r.watch(ctx, entry.Stop, entry.Reload)
	if err := entry.Run(ctx); err != nil {
		r.log.Error("ended", "error", err)
		return err
	}
	return nil
}

func runAgent(logs io.Writer) error {
	r, err := newRuntime(logs)
	if err != nil {
		return err
	}
	defer r.close()
	s := r.settings
	agent := btrank.New(btrank.Options{
		Settings: s,
		Engine:   btadapter.NewEngine(s.Engine),
		Remote:   func(a netip.AddrPort) btrank.Engine { return btadapter.NewEngine(a) },
		Meter:    r.meter,
		Log:      r.log,
		Clock:    r.clock.Now,
		Assert:   r.assert,
		Address:  s.Agent,
		Listen:   btcall.Listen,
	})
	r.log.Info("started", "role", "agent", "address", s.Agent, "engine", s.Engine, "service", s.Service)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r.serveMetrics(ctx)
	r.watch(ctx, agent.Stop, agent.Reload)
	if err := agent.Run(ctx); err != nil {
		r.log.Error("ended", "error", err)
		return err
	}
	r.log.Info("stopped")
	return nil
}
