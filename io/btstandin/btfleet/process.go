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
	// Name is the name of the process in its fleet.
	Name      string
	arguments []string
	command   *exec.Cmd
	ended     chan struct{}
}

// StartProcess starts a program with additional environment variables. Its output is
// appended to the log file.
func StartProcess(name, log string, variables []string, arguments ...string) (*Process, error) {
	return startWith(name, log, append(os.Environ(), variables...), arguments)
}

// startProcess starts a program with GOMAXPROCS set to threads, unless that is zero.
// Its output is appended to the log file.
func startProcess(name, log string, threads int, arguments []string) (*Process, error) {
	var environment []string
	if threads > 0 {
		environment = append(os.Environ(), "GOMAXPROCS="+strconv.Itoa(threads))
	}
	return startWith(name, log, environment, arguments)
}

// startWith starts a program; with a nil environment it inherits this process's.
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
	killWithParent(p.command)
	if err := p.command.Start(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	go func() {
		defer close(p.ended)
		// ProcessState holds the result, so the error adds nothing.
		_ = p.command.Wait()
	}()
	return p, nil
}

// ID returns the process id.
func (p *Process) ID() int { return p.command.Process.Pid }

// Running reports whether the process has not ended; a frozen process is running.
func (p *Process) Running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// Wait waits for the process to end and returns its exit code, -1 if a signal ended
// it. The error wraps the context's.
func (p *Process) Wait(ctx context.Context) (int, error) {
	select {
	case <-p.ended:
		return p.command.ProcessState.ExitCode(), nil
	case <-ctx.Done():
		return 0, fmt.Errorf("%s still runs: %w", p.Name, ctx.Err())
	}
}

// Kill sends SIGKILL, which ends also a frozen process, and waits for its end.
func (p *Process) Kill() error {
	if err := p.signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.ended
	return nil
}

// Freeze suspends the process with SIGSTOP.
func (p *Process) Freeze() error { return p.signal(syscall.SIGSTOP) }

// Thaw resumes a frozen process with SIGCONT.
func (p *Process) Thaw() error { return p.signal(syscall.SIGCONT) }

// Terminate requests an orderly stop with SIGTERM.
func (p *Process) Terminate() error { return p.signal(syscall.SIGTERM) }

// Reload makes the process read its settings again, with SIGHUP.
func (p *Process) Reload() error { return p.signal(syscall.SIGHUP) }

// signal sends a signal; it does nothing if the process has ended.
func (p *Process) signal(s syscall.Signal) error {
	err := p.command.Process.Signal(s)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}
