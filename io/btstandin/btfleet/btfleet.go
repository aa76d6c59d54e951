// Package btfleet runs a small fleet of real processes on loopback for tests:
// built binaries of the product, and stand-ins for the platform and the targets.
//
// It writes keys, settings and a signed bundle, starts the processes, sends calls
// and checks their outcomes. It kills, freezes and stops processes by their process
// id, and Close kills every one that it started. It doesn't build the binaries. It
// is for tests only: in the product no process starts another.
package btfleet

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"bilberrytide/core/btbundle"
	"bilberrytide/core/btid"
	"bilberrytide/io/btsettings"
)

// Names that are the same in every fleet.
const (
	// Plain is the plain service, whose targets are plain-1, plain-2 and so on.
	Plain btid.Service = "plain"
	// Model is the model service, whose targets are model-1, model-2 and so on.
	Model btid.Service = "model"
	// Platform is the name of the process that stands in for the platform.
	Platform = "platform"
)

// Programs holds the paths of the built binaries.
type Programs struct {
	// Product is cmd/bilberrytide.
	Product string
	// Standin is cmd/bilberrytide-standin.
	Standin string
}

// Options configures a Fleet.
type Options struct {
	Programs Programs
	// Folder is an existing folder for keys, settings and logs.
	Folder string
	// Entries, Plains and Models are the numbers of entries, plain targets and
	// model targets.
	Entries int
	Plains  int
	Models  int
	// Slots and Queue are the bundle's limits of every target.
	Slots int
	Queue int
	// Delay is the processing time of a request at a plain target.
	Delay time.Duration
	// DecodeRate is the tokens per second that a model target generates for each
	// answer.
	DecodeRate float64
	// Threads is GOMAXPROCS of each process; zero keeps the default.
	Threads int
	// Limits are the limits in the settings of entries; zero keeps the defaults.
	Limits btsettings.Limits
}

// Fleet is a set of running processes.
type Fleet struct {
	options   Options
	client    *http.Client
	trust     *trust
	draft     btbundle.Bundle
	processes map[string]*Process
	started   []*Process
	// platform is the address of the platform's stand-in.
	platform netip.AddrPort
	// callers holds the addresses at which entries accept calls, and status those
	// of each process's operator pages.
	callers map[string]netip.AddrPort
	status  map[string]netip.AddrPort
	// targets holds the addresses of the targets' stand-ins.
	targets map[string]netip.AddrPort
}

// controlTimeout bounds each control or status request, so that a frozen process
// doesn't block the test.
const controlTimeout = 2 * time.Second

// Start writes all files, starts all processes and publishes the first bundle. It
// returns once every process is ready. The caller must Close the fleet, also after
// an error.
func Start(ctx context.Context, o Options) (*Fleet, error) {
	f := &Fleet{
		options:   o,
		client:    &http.Client{Timeout: controlTimeout},
		processes: map[string]*Process{},
		callers:   map[string]netip.AddrPort{},
		status:    map[string]netip.AddrPort{},
		targets:   map[string]netip.AddrPort{},
	}
	steps := []func(context.Context) error{f.makeKeys, f.startStandins, f.writeDraft, f.publishFirst, f.startProduct, f.awaitReady}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return f, err
		}
	}
	return f, nil
}

// Close kills every process that the fleet started, and waits for them to end.
func (f *Fleet) Close() {
	for _, p := range f.started {
		_ = p.Kill()
		_, _ = p.Wait(context.Background())
	}
}

// Entries returns the names of the entries.
func (f *Fleet) Entries() []string { return names("entry", f.options.Entries) }

// Agents returns the names of the agents: "agent-" and the target's name.
func (f *Fleet) Agents() []string {
	var list []string
	for _, t := range f.Targets() {
		list = append(list, Agent(t))
	}
	return list
}

// Targets returns the names of all targets.
func (f *Fleet) Targets() []string {
	return append(names(string(Plain), f.options.Plains), names(string(Model), f.options.Models)...)
}

// Agent returns the name of a target's agent.
func Agent(target string) string { return "agent-" + target }

// ProductProcesses returns the names of all entries and agents.
func (f *Fleet) ProductProcesses() []string { return append(f.Entries(), f.Agents()...) }

func names(prefix string, count int) []string {
	list := make([]string, count)
	for i := range list {
		list[i] = fmt.Sprintf("%s-%d", prefix, i+1)
	}
	return list
}

// hostOf returns the host of an entry or a target.
func hostOf(name string) btid.Host { return btid.Host("host-" + name) }

// HostOf returns the host of a target.
func HostOf(target string) btid.Host { return hostOf(target) }

// Process returns a process by name: "platform", an entry's or agent's name, or
// "target-" and a target's name. It panics for any other name.
func (f *Fleet) Process(name string) *Process {
	p := f.processes[name]
	if p == nil {
		panic("btfleet: no process " + name)
	}
	return p
}

// Restart starts a process again after it has ended, with the same command line
// and none of its former state.
func (f *Fleet) Restart(name string) error {
	old := f.Process(name)
	if old.Running() {
		return fmt.Errorf("%s still runs", name)
	}
	return f.start(name, old.arguments...)
}

func (f *Fleet) start(name string, arguments ...string) error {
	p, err := startProcess(name, f.path(name+".log"), f.options.Threads, arguments)
	if err != nil {
		return err
	}
	f.processes[name] = p
	f.started = append(f.started, p)
	return nil
}

func (f *Fleet) path(name string) string { return filepath.Join(f.options.Folder, name) }

// pollInterval is how often WaitUntil checks its condition.
const pollInterval = 25 * time.Millisecond

// WaitUntil polls until the condition returns nil. The error names what was waited
// for and wraps the condition's last error and the context's.
func WaitUntil(ctx context.Context, what string, condition func() error) error {
	for {
		err := condition()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s: %w", what, errors.Join(ctx.Err(), err))
		case <-time.After(pollInterval):
		}
	}
}

// awaitReady waits until every process of the product reports that it is ready and
// every entry has every target in rotation.
func (f *Fleet) awaitReady(ctx context.Context) error {
	for _, name := range f.ProductProcesses() {
		if err := WaitUntil(ctx, name+" ready", func() error { return f.Ready(name) }); err != nil {
			return errors.Join(err, f.logTail(name))
		}
	}
	for _, name := range f.Entries() {
		if err := WaitUntil(ctx, "targets in rotation at "+name, func() error { return f.inRotation(name) }); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) inRotation(entry string) error {
	status, err := f.Status(entry)
	if err != nil {
		return err
	}
	for _, t := range status.Targets {
		if !t.Eligible {
			return fmt.Errorf("%s: %s", t.Target, t.Cause)
		}
	}
	return nil
}

// LogTails returns the last lines of every log of the product, without those of
// single requests, to help explain a failure.
func (f *Fleet) LogTails() string {
	var all strings.Builder
	for _, name := range f.ProductProcesses() {
		fmt.Fprintf(&all, "%s:\n%v\n", name, f.logTail(name))
	}
	return all.String()
}

// logTail returns the last lines of a process's log, without those of single
// requests, as an error.
func (f *Fleet) logTail(name string) error {
	const shown = 12
	data, err := os.ReadFile(f.path(name + ".log"))
	if err != nil {
		return err
	}
	lines := slices.DeleteFunc(strings.Split(strings.TrimSpace(string(data)), "\n"), func(line string) bool {
		return strings.Contains(line, "msg=request ")
	})
	return errors.New(strings.Join(lines[max(0, len(lines)-shown):], "\n"))
}
