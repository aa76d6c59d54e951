// Package btloop runs one of core's state machines inside a process. Events from any
// goroutine are applied one at a time, and effects are carried out in order.
package btloop

import (
	"context"
	"sync"
	"time"

	"bilberrytide/core/btcore"
)

// Clock returns the current time.
type Clock func() time.Time

// Loop owns one state machine.
type Loop[E, F any] struct {
	machine btcore.Machine[E, F]
	clock   Clock
	apply   func(F)

	mu      sync.Mutex
	pending []func()
	busy    bool
}

// New returns a loop for the machine. apply carries out one effect. It must not block,
// and it may post further events.
func New[E, F any](machine btcore.Machine[E, F], clock Clock, apply func(F)) *Loop[E, F] {
	return &Loop[E, F]{machine: machine, clock: clock, apply: apply}
}

// Post applies an event to the machine. It returns when the event has been applied, or
// at once if another goroutine is applying events, which then applies this one too. It
// is safe for concurrent use and from within apply.
func (l *Loop[E, F]) Post(event E) {
	l.run(func() {
		for _, effect := range l.machine.Step(l.clock(), event) {
			l.apply(effect)
		}
	})
}

// Inspect calls the function between two steps, so that it may read the machine, and
// returns after it. It must not be called from within apply.
func (l *Loop[E, F]) Inspect(inspect func(now time.Time)) {
	done := make(chan struct{})
	l.run(func() {
		defer close(done)
		inspect(l.clock())
	})
	<-done
}

// run calls work, and what other goroutines add meanwhile, one at a time.
func (l *Loop[E, F]) run(work func()) {
	l.mu.Lock()
	l.pending = append(l.pending, work)
	if l.busy {
		l.mu.Unlock()
		return
	}
	l.busy = true
	for len(l.pending) > 0 {
		next := l.pending[0]
		l.pending = l.pending[1:]
		l.mu.Unlock()
		next()
		l.mu.Lock()
	}
	l.pending = nil
	l.busy = false
	l.mu.Unlock()
}

// Every posts the event that newEvent returns at each interval until the context ends.
func (l *Loop[E, F]) Every(ctx context.Context, interval time.Duration, newEvent func() E) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			l.Post(newEvent())
		}
	}
}
