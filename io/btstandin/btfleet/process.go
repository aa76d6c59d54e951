package btfleet

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"syscall"
)

// Process is one child process.
type Process struct {
	// Name is the process's in the fleet.
	Name      string
	arguments []string
	command   *exec.Cmd
	ended     chan struct{}
}

// StartProcess starts a program with more variables in its environment; its
// output is added to the log file.
func StartProcess(name, log string, variables []string, arguments ...string) (*Process, error) {
	return startWith(name, log, append(os.Environ(), variables...), arguments)
}

// startProcess starts a program; its output is added to the log file.
func startProcess(name, log string, threads int, arguments []string) (*Process, error) {
	var environment []string
	if threads > 0 {
		environment = append(os.Environ(), "GOMAXPROCS="+strconv.Itoa(threads))
	}
	return startWith(name, log, environment, arguments)
}

// startWith starts a program; without an environment it gets this process's.
func startWith(name, log string, environment, arguments []string) (*Process, error) {
	output, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer output.Close()
	p := &Process{
		Name:      name,
		arguments: arguments,
		command:   exec.Command(arguments[0], arguments[1:]...),
		ended:     make(chan struct{}),
	}
	p.command.Stdout = output
	p.command.Stderr = output
	p.command.Env = environment
	endWithParent(p.command)
	if err := p.command.Start(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	go func() {
		defer close(p.ended)
		// The state tells how it ended.
		_ = p.command.Wait()
	}()
	return p, nil
}

// ID returns the process's number.
func (p *Process) ID() int { return p.command.Process.Pid }

// Running tells whether the process has not ended; a frozen one runs.
func (p *Process) Running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// Wait returns the exit code once the process has ended, -1 after a signal.
func (p *Process) Wait(ctx context.Context) (int, error) {
	select {
	case <-p.ended:
		return p.command.ProcessState.ExitCode(), nil
	case <-ctx.Done():
		return 0, fmt.Errorf("%s still runs: %w", p.Name, ctx.Err())
	}
}

// Kill ends the process at once, also a frozen one, and waits until it is gone.
func (p *Process) Kill() error {
	if err := p.signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.ended
	return nil
}

// Freeze stops the process where it stands.
func (p *Process) Freeze() error { return p.signal(syscall.SIGSTOP) }

// Thaw lets a frozen process go on.
func (p *Process) Thaw() error { return p.signal(syscall.SIGCONT) }

// Terminate asks the process for a planned stop.
func (p *Process) Terminate() error { return p.signal(syscall.SIGTERM) }

// Reload asks the process to read its settings again.
func (p *Process) Reload() error { return p.signal(syscall.SIGHUP) }

// signal sends a signal; one to a process that has ended changes nothing.
func (p *Process) signal(s syscall.Signal) error {
	err := p.command.Process.Signal(s)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}
