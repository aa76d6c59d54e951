// Package btruncmd adds the commands "entry" and "agent", which run a process of
// the load balancer until its planned stop.
package btruncmd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"golang.org/x/sync/errgroup"

	"bilberrytide/io/btagent"
	"bilberrytide/io/btentry"
	"bilberrytide/io/btkeys"
	"bilberrytide/io/btprocess"
	"bilberrytide/io/btsettings"
)

// ErrStart is wrapped by the error for settings with which a process can't start.
// The program then exits with code 1.
var ErrStart = errors.New("cannot start")

const entryHelp = `Run an entry: the process that takes callers' requests.

  bilberrytide entry --settings entry.toml

SIGTERM stops it without cutting off a request: /readyz fails first, the
listener closes after balancer_lag, and the process ends when the last answer is
out. A second SIGTERM changes nothing.

Exit codes: 0 stopped as planned, 1 could not start or failed, 2 wrong usage.`

const agentHelp = `Run an agent: the process beside one target.

  bilberrytide agent --settings agent.toml

SIGTERM stops it without cutting off a request: it refuses new work at once,
what runs is finished, and the process ends. A second SIGTERM changes nothing.

Exit codes: 0 stopped as planned, 1 could not start or failed, 2 wrong usage.`

// Register adds the commands to the application. The processes write their log to
// logs.
func Register(app *kingpin.Application, logs io.Writer) {
	entry := &runCommand{logs: logs}
	entry.register(app.Command("entry", entryHelp), entry.runEntry)
	agent := &runCommand{logs: logs}
	agent.register(app.Command("agent", agentHelp), agent.runAgent)
}

type runCommand struct {
	logs     io.Writer
	settings string
}

func (c *runCommand) register(command *kingpin.CmdClause, run kingpin.Action) {
	command.Flag("settings", "The process's settings file, in TOML.").Required().StringVar(&c.settings)
	command.Action(run)
}

func (c *runCommand) runEntry(*kingpin.ParseContext) error {
	s, err := btsettings.LoadEntry(c.settings)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrStart, err)
	}
	common := btprocess.CommonSettings{Host: s.Host, DataCentre: s.DataCentre, PeerListen: s.PeerListen, Tables: s.Tables}
	runtime, err := btprocess.NewRuntime(btkeys.Entry, common, c.logs)
	if err != nil {
		return fmt.Errorf("%w: %s: %w", ErrStart, c.settings, err)
	}
	defer runtime.Close()
	listener, err := net.Listen("tcp", s.Listen.String())
	if err != nil {
		return fmt.Errorf("%w: %s: listen: %w", ErrStart, c.settings, err)
	}
	entry := btentry.New(btentry.Options{
		Name:        s.Name,
		DataCentre:  s.DataCentre,
		Listener:    listener,
		Memory:      s.Limits.MemoryMB << 20,
		Descriptors: s.Limits.Descriptors,
		BalancerLag: s.BalancerLag.Duration,
		Node:        runtime.Node,
		Bundles:     runtime.Bundles,
		Platform:    runtime.Platform,
		Meter:       runtime.Meter,
		Decisions:   runtime.Decisions,
		Log:         runtime.Log,
		Clock:       runtime.Clock,
		Elapsed:     runtime.Elapsed,
		Assert:      runtime.Assert,
		Random:      runtime.Random,
	})
	runtime.Log.Info("entry started", "listen", listener.Addr(), "peer_listen", runtime.Node.Address(), "status", runtime.StatusListener.Addr())
	return run(runtime, entry)
}

func (c *runCommand) runAgent(*kingpin.ParseContext) error {
	s, err := btsettings.LoadAgent(c.settings)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrStart, err)
	}
	common := btprocess.CommonSettings{Host: s.Host, DataCentre: s.DataCentre, PeerListen: s.PeerListen, Tables: s.Tables}
	runtime, err := btprocess.NewRuntime(btkeys.Agent, common, c.logs)
	if err != nil {
		return fmt.Errorf("%w: %s: %w", ErrStart, c.settings, err)
	}
	defer runtime.Close()
	agent := btagent.New(btagent.Options{
		Target:     s.Target,
		DataCentre: s.DataCentre,
		Node:       runtime.Node,
		Bundles:    runtime.Bundles,
		Platform:   runtime.Platform,
		Meter:      runtime.Meter,
		Decisions:  runtime.Decisions,
		Log:        runtime.Log,
		Clock:      runtime.Clock,
		Elapsed:    runtime.Elapsed,
		Assert:     runtime.Assert,
		Random:     runtime.Random,
	})
	runtime.Log.Info("agent started", "peer_listen", runtime.Node.Address(), "status", runtime.StatusListener.Addr())
	return run(runtime, agent)
}

// process is the common interface of entries and agents.
type process interface {
	Run(ctx context.Context) error
	Stop() *btprocess.Stop
	Ready() bool
	Status() btprocess.Status
}

var (
	_ process = (*btentry.Entry)(nil)
	_ process = (*btagent.Agent)(nil)
)

// run runs the process until the planned stop that SIGTERM or SIGINT begins is
// complete.
func run(runtime *btprocess.Runtime, p process) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	var group errgroup.Group
	group.Go(func() error {
		defer cancel()
		return p.Run(ctx)
	})
	group.Go(func() error {
		pages := btprocess.StatusHandler(runtime.Meter, p.Ready, p.Status)
		return runtime.ServeStatus(ctx, pages)
	})
	group.Go(func() error { return runtime.Keys.Run(ctx, 0) })
	group.Go(func() error {
		terminateOnSignal(ctx, signals, p.Stop())
		return nil
	})
	return group.Wait()
}

// terminateOnSignal begins the planned stop at the first signal. Later signals have
// no effect.
func terminateOnSignal(ctx context.Context, signals <-chan os.Signal, stop *btprocess.Stop) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			stop.Terminate()
		}
	}
}
