package btstandin

import (
	"context"
	"errors"
	"fmt"
	"net/http"
)

// errKilled is the cause that ends the requests of a killed engine.
var errKilled = errors.New("engine killed")

// LifeState tells whether an engine's process runs.
type LifeState string

const (
	// LifeRunning is the state of an engine that answers.
	LifeRunning LifeState = "running"
	// LifeKilled is the state of an engine that closes every connection.
	LifeKilled LifeState = "killed"
)

// Life is the body of PUT /control/life.
type Life struct {
	State LifeState `json:"state"`
}

// Kill ends the engine's life: requests in flight break off, and connections
// close without an answer until Restart.
func (e *Engine) Kill() {
	e.lifeMutex.Lock()
	defer e.lifeMutex.Unlock()
	e.mutex.Lock()
	e.kill(errKilled)
	e.mutex.Unlock()
	e.orders.executor.killed()
}

// Restart begins the killed engine's next life, with an empty cache, no streams
// and no fencing number; a member of a group has no map. It does nothing to a
// running engine.
func (e *Engine) Restart() {
	e.lifeMutex.Lock()
	defer e.lifeMutex.Unlock()
	if e.currentLife().Err() == nil {
		return
	}
	e.cache.clear()
	e.streams.clear()
	e.orders.reset()
	e.orders.executor.restarted()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.life, e.kill = context.WithCancelCause(context.Background())
}

func (e *Engine) currentLife() context.Context {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.life
}

func (e *Engine) controlLife(w http.ResponseWriter, r *http.Request) {
	var life Life
	if !readJSON(w, r, &life) {
		return
	}
	switch life.State {
	case LifeRunning:
		e.Restart()
	case LifeKilled:
		e.Kill()
	default:
		finishControl(w, fmt.Errorf("%w: state %q is neither running nor killed", ErrInput, life.State))
		return
	}
	finishControl(w, nil)
}
