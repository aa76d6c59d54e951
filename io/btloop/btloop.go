// Package btloop runs a core's state machine inside a process: events from any
// goroutine go in one at a time, and effects are carried out in order.
package btloop

import (
	"context"
	"sync"
	"time"

	"bilberrytide/core/btcore"
)

// Clock tells the time.
type Clock func() time.Time

// Loop owns one machine.
type Loop[E, F any] struct {
	machine btcore.Machine[E, F]
	clock   Clock
	apply   func(F)

	mu      sync.Mutex
	pending []func()
	busy    bool
}

// New returns a loop over machine. Apply carries out one effect; it must not
// block, and it may post further events.
func New[E, F any](machine btcore.Machine[E, F], clock Clock, apply func(F)) *Loop[E, F] {
	return &Loop[E, F]{machine: machine, clock: clock, apply: apply}
}

// Post hands the machine an event. It returns when the event was applied, or
// at once when another goroutine is applying events, which then takes this one
// too. It is safe for concurrent use and from within apply.
func (l *Loop[E, F]) Post(event E) {
	l.run(func() {
		for _, effect := range l.machine.Step(l.clock(), event) {
			l.apply(effect)
		}
	})
}

// Inspect calls look between two steps and returns when it has returned, so
// that look may read the machine. It must not be called from within apply.
func (l *Loop[E, F]) Inspect(look func(now time.Time)) {
	done := make(chan struct{})
	l.run(func() {
		defer close(done)
		look(l.clock())
	})
	<-done
}

// run applies work, and what others add meanwhile, one at a time.
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

// Every posts the event that make returns at each interval, until the context
// ends.
func (l *Loop[E, F]) Every(ctx context.Context, interval time.Duration, make func() E) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			l.Post(make())
		}
	}
}
