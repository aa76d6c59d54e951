// Package btfleet runs a small fleet of real processes on loopback for tests:
// the built programs of the product, and stand-ins for the platform and the
// targets.
//
// It writes keys, settings and a signed bundle, starts the processes, sends
// calls, and looks at what became of them. It kills, freezes and stops
// processes by their id, and Close ends every one that it started. It builds no
// program and belongs to tests only: in the product no process starts another.
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
)

// Names of what every fleet has.
const (
	// Plain is the plain service, whose targets are plain-1, plain-2 and so on.
	Plain btid.Service = "plain"
	// Model is the model service, whose targets are model-1, model-2 and so on.
	Model btid.Service = "model"
	// Platform is the process that stands in for the platform.
	Platform = "platform"
)

// Programs are the paths of the built programs.
type Programs struct {
	// Product is cmd/bilberrytide.
	Product string
	// Standin is cmd/bilberrytide-standin.
	Standin string
}

// Options say what a fleet consists of.
type Options struct {
	Programs Programs
	// Folder is an existing folder for keys, settings and logs.
	Folder string
	// Entries, Plains and Models are how many there are of each.
	Entries int
	Plains  int
	Models  int
	// Slots and Queue are those of every target.
	Slots int
	Queue int
	// Delay is how long a plain target works on a request.
	Delay time.Duration
	// DecodeRate is how many tokens of an answer a model target makes a second.
	DecodeRate float64
	// Threads bounds the threads that run Go code in each process; zero leaves
	// it to the machine.
	Threads int
}

// Fleet is a set of running processes.
type Fleet struct {
	options   Options
	client    *http.Client
	trust     *trust
	draft     btbundle.Bundle
	processes map[string]*Process
	started   []*Process
	// platform is where the platform's stand-in answers.
	platform netip.AddrPort
	// callers and status hold where entries take calls, and where each process
	// serves its pages for operators.
	callers map[string]netip.AddrPort
	status  map[string]netip.AddrPort
	// targets holds where each stand-in of a target answers.
	targets map[string]netip.AddrPort
}

// controlWait bounds one question to a process about itself, so that a frozen
// one is not waited for.
const controlWait = 2 * time.Second

// Start writes all files, starts all processes and publishes a first bundle.
// It returns once each process says that it is ready. The caller must Close the
// fleet, also after an error.
func Start(ctx context.Context, o Options) (*Fleet, error) {
	f := &Fleet{
		options:   o,
		client:    &http.Client{Timeout: controlWait},
		processes: map[string]*Process{},
		callers:   map[string]netip.AddrPort{},
		status:    map[string]netip.AddrPort{},
		targets:   map[string]netip.AddrPort{},
	}
	steps := []func(context.Context) error{f.makeKeys, f.startStandins, f.writeDraft, f.publishFirst, f.startProduct, f.ready}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return f, err
		}
	}
	return f, nil
}

// Close ends every process that the fleet started, and waits for them.
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

// Agent returns the name of the process beside a target.
func Agent(target string) string { return "agent-" + target }

// ProductProcesses returns the names of the product's processes.
func (f *Fleet) ProductProcesses() []string { return append(f.Entries(), f.Agents()...) }

func names(prefix string, count int) []string {
	list := make([]string, count)
	for i := range list {
		list[i] = fmt.Sprintf("%s-%d", prefix, i+1)
	}
	return list
}

// hostOf returns the host that a process of the product runs on.
func hostOf(name string) btid.Host { return btid.Host("host-" + name) }

// HostOf returns the host of a target.
func HostOf(target string) btid.Host { return hostOf(target) }

// Process returns a process by name: "platform", an entry's or an agent's
// name, or "target-" and a target's name. It panics for any other.
func (f *Fleet) Process(name string) *Process {
	p := f.processes[name]
	if p == nil {
		panic("btfleet: no process " + name)
	}
	return p
}

// Restart starts a process anew that has ended, with the same command line and
// nothing remembered.
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

// pollEvery is how often WaitUntil checks its condition.
const pollEvery = 25 * time.Millisecond

// WaitUntil waits until the condition returns nil. The error names what was waited
// for and wraps the condition's last.
func WaitUntil(ctx context.Context, what string, condition func() error) error {
	for {
		err := condition()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s: %w", what, errors.Join(ctx.Err(), err))
		case <-time.After(pollEvery):
		}
	}
}

// ready waits until every process of the product says that it is, and every
// entry gives work to every target.
func (f *Fleet) ready(ctx context.Context) error {
	for _, name := range f.ProductProcesses() {
		if err := WaitUntil(ctx, name+" ready", func() error { return f.Ready(name) }); err != nil {
			return errors.Join(err, f.lastLines(name))
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

// LogTails returns the end of every log of the product, without the lines of
// single requests, to explain a failure.
func (f *Fleet) LogTails() string {
	var all strings.Builder
	for _, name := range f.ProductProcesses() {
		fmt.Fprintf(&all, "%s:\n%v\n", name, f.lastLines(name))
	}
	return all.String()
}

// lastLines returns the end of a process's log as an error.
func (f *Fleet) lastLines(name string) error {
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
