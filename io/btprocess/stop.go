package btprocess

import (
	"context"
	"log/slog"
	"time"

	"bilberrytide/core/btassert"
	"bilberrytide/core/btid"
	"bilberrytide/core/btmember"
	"bilberrytide/io/btloop"
)

// stopTickInterval is the interval at which a planned stop checks its deadlines.
const stopTickInterval = 50 * time.Millisecond

// Stop is a process's planned stop. It tracks the requests in flight from the start of
// the process, and lets them finish when the stop begins.
type Stop struct {
	drain *btmember.Drain
	loop  *btloop.Loop[btmember.DrainEvent, btmember.DrainEffect]
	steps chan btmember.DrainEffect
	log   *slog.Logger
}

// StopSteps are the steps of a stop, in order. A nil step is skipped.
type StopSteps struct {
	// Unready makes the process report that it isn't ready and refuse new work.
	Unready func()
	// CloseListener stops accepting connections.
	CloseListener func()
	// Goodbye tells peers that no request is in flight.
	Goodbye func()
	// Exit ends the process.
	Exit func()
}

// maxQueuedSteps is the number of steps of a stop. Each comes once, so that the loop
// never blocks on the queue.
const maxQueuedSteps = 4

// NewStop returns the planned stop of a process, which hasn't begun.
func NewStop(settings btmember.DrainSettings, clock btloop.Clock, assert *btassert.Asserter, log *slog.Logger) *Stop {
	s := &Stop{
		drain: btmember.NewDrain(settings, assert),
		steps: make(chan btmember.DrainEffect, maxQueuedSteps),
		log:   log,
	}
	s.loop = btloop.New(s.drain, clock, func(e btmember.DrainEffect) { s.steps <- e })
	return s
}

// Began adds a request that this process has to answer by the deadline.
func (s *Stop) Began(id btid.Request, deadline time.Time) {
	s.loop.Post(btmember.RequestBegan{ID: id, Deadline: deadline})
}

// Ended removes a request.
func (s *Stop) Ended(id btid.Request) { s.loop.Post(btmember.RequestEnded{ID: id}) }

// Terminate begins the stop. Further calls have no effect.
func (s *Stop) Terminate() { s.loop.Post(btmember.Terminate{}) }

// Stopping reports whether the stop has begun.
func (s *Stop) Stopping() bool {
	var stopping bool
	s.loop.Inspect(func(time.Time) { stopping = s.drain.Stopping() })
	return stopping
}

// Run executes the steps once the stop begins. It returns after the last step or when
// the context ends. The ticks start with the first step, as no deadline matters before.
func (s *Stop) Run(ctx context.Context, steps StopSteps) {
	for {
		select {
		case <-ctx.Done():
			return
		case effect := <-s.steps:
			if _, begun := effect.(btmember.Unready); begun {
				go s.loop.Every(ctx, stopTickInterval, func() btmember.DrainEvent { return btmember.DrainTick{} })
			}
			if s.executeStep(steps, effect) {
				return
			}
		}
	}
}

// executeStep executes one step and reports whether it was the last.
func (s *Stop) executeStep(steps StopSteps, effect btmember.DrainEffect) bool {
	switch e := effect.(type) {
	case btmember.Unready:
		s.log.Info("planned stop: no new work")
		callIfSet(steps.Unready)
	case btmember.CloseListener:
		s.log.Info("planned stop: listener closes")
		callIfSet(steps.CloseListener)
	case btmember.Goodbye:
		callIfSet(steps.Goodbye)
	case btmember.Exit:
		s.log.Info("planned stop: done", "overdue", e.Overdue)
		callIfSet(steps.Exit)
		return true
	}
	return false
}

func callIfSet(step func()) {
	if step != nil {
		step()
	}
}
