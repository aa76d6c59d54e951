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

// stopTick is how often a planned stop looks at the clock.
const stopTick = 50 * time.Millisecond

// Stop is a process's planned stop: it counts what is in flight from the start,
// and when asked to stop lets all of it finish.
type Stop struct {
	drain *btmember.Drain
	loop  *btloop.Loop[btmember.DrainEvent, btmember.DrainEffect]
	steps chan btmember.DrainEffect
	log   *slog.Logger
}

// StopSteps carries out a stop; a nil step is passed over.
type StopSteps struct {
	// Unready makes the process refuse new work and say so.
	Unready func()
	// CloseListener stops taking connections.
	CloseListener func()
	// Goodbye tells peers that nothing is in flight.
	Goodbye func()
	// Exit ends the process.
	Exit func()
}

// stepQueue holds the steps of one stop, each of which comes once.
const stepQueue = 4

// NewStop returns the stop of a running process.
func NewStop(settings btmember.DrainSettings, clock btloop.Clock, assert *btassert.Asserter, log *slog.Logger) *Stop {
	s := &Stop{
		drain: btmember.NewDrain(settings, assert),
		steps: make(chan btmember.DrainEffect, stepQueue),
		log:   log,
	}
	s.loop = btloop.New(s.drain, clock, func(e btmember.DrainEffect) { s.steps <- e })
	return s
}

// Began counts a request that this process has to answer.
func (s *Stop) Began(id btid.Request, deadline time.Time) {
	s.loop.Post(btmember.RequestBegan{ID: id, Deadline: deadline})
}

// Ended counts the end of a request.
func (s *Stop) Ended(id btid.Request) { s.loop.Post(btmember.RequestEnded{ID: id}) }

// Terminate begins the stop; a second call changes nothing.
func (s *Stop) Terminate() { s.loop.Post(btmember.Terminate{}) }

// Stopping tells whether the stop has begun.
func (s *Stop) Stopping() bool {
	var stopping bool
	s.loop.Inspect(func(time.Time) { stopping = s.drain.Stopping() })
	return stopping
}

// Run carries out the steps when a stop begins, and returns after the last or
// when the context ends. The clock matters only from the first step on.
func (s *Stop) Run(ctx context.Context, steps StopSteps) {
	for {
		select {
		case <-ctx.Done():
			return
		case effect := <-s.steps:
			if _, begun := effect.(btmember.Unready); begun {
				go s.loop.Every(ctx, stopTick, func() btmember.DrainEvent { return btmember.DrainTick{} })
			}
			if s.take(steps, effect) {
				return
			}
		}
	}
}

// take carries out one step and tells whether it was the last.
func (s *Stop) take(steps StopSteps, effect btmember.DrainEffect) bool {
	switch e := effect.(type) {
	case btmember.Unready:
		s.log.Info("planned stop: no new work")
		call(steps.Unready)
	case btmember.CloseListener:
		s.log.Info("planned stop: listener closes")
		call(steps.CloseListener)
	case btmember.Goodbye:
		call(steps.Goodbye)
	case btmember.Exit:
		s.log.Info("planned stop: done", "overdue", e.Overdue)
		call(steps.Exit)
		return true
	}
	return false
}

func call(step func()) {
	if step != nil {
		step()
	}
}
