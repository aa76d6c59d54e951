package btstandin

import (
	"context"
	"errors"
	"fmt"
	"net/http"
)

// errKilled is the cancellation cause of requests in flight at a kill.
var errKilled = errors.New("engine killed")

// ProcessState is the state of an engine's simulated process.
type ProcessState string

const (
	// ProcessRunning is the state of an engine that answers.
	ProcessRunning ProcessState = "running"
	// ProcessKilled is the state of an engine that closes every connection.
	ProcessKilled ProcessState = "killed"
)

// ProcessControl is the body of PUT /control/life.
type ProcessControl struct {
	State ProcessState `json:"state"`
}

// Kill simulates a crash of the engine's process: requests in flight are aborted,
// and connections are closed without an answer until Restart.
func (e *Engine) Kill() {
	e.processMutex.Lock()
	defer e.processMutex.Unlock()
	e.mutex.Lock()
	e.kill(errKilled)
	e.mutex.Unlock()
	e.orders.executor.killed()
}

// Restart starts a killed engine with an empty cache, no streams and no fencing
// number; a member of a group has no map. It does nothing to a running engine.
func (e *Engine) Restart() {
	e.processMutex.Lock()
	defer e.processMutex.Unlock()
	if e.process().Err() == nil {
		return
	}
	e.cache.clear()
	e.streams.clear()
	e.orders.reset()
	e.notices.restart()
	e.orders.executor.restarted()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.running, e.kill = context.WithCancelCause(context.Background())
}

// process returns the context that is cancelled when the engine is killed.
func (e *Engine) process() context.Context {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.running
}

func (e *Engine) controlProcess(w http.ResponseWriter, r *http.Request) {
	var control ProcessControl
	if !readJSON(w, r, &control) {
		return
	}
	switch control.State {
	case ProcessRunning:
		e.Restart()
	case ProcessKilled:
		e.Kill()
	default:
		finishControl(w, fmt.Errorf("%w: state %q is neither running nor killed", ErrInput, control.State))
		return
	}
	finishControl(w, nil)
}
