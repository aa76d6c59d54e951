package btmember

import (
	"time"

	"bilberrytide/core/btassert"
	"bilberrytide/core/btcore"
	"bilberrytide/core/btid"
)

// DrainCutsNothing is the invariant that a planned stop exits only when nothing
// is in flight whose deadline lies ahead.
const DrainCutsNothing btassert.Name = "drain_cuts_nothing"

// DrainEvent is what a Drain hears: Terminate, Began, Ended or DrainTick.
type DrainEvent interface{ drainEvent() }

// Terminate is a SIGTERM. A second one changes nothing.
type Terminate struct{}

// RequestBegan is a request that this process took and answers by the deadline.
type RequestBegan struct {
	ID       btid.Request
	Deadline time.Time
}

// RequestEnded is the end of a request: its last byte is out, or its caller is gone.
type RequestEnded struct{ ID btid.Request }

// DrainTick is the passing of time.
type DrainTick struct{}

func (Terminate) drainEvent()    {}
func (RequestBegan) drainEvent() {}
func (RequestEnded) drainEvent() {}
func (DrainTick) drainEvent()    {}

// DrainEffect is a step of the stop: Unready, CloseListener, Goodbye and Exit,
// in that order, each once.
type DrainEffect interface{ drainEffect() }

// Unready makes the readiness check fail and, at an agent, makes heartbeats say
// draining at once.
type Unready struct{}

// CloseListener stops taking connections; those open are served on.
type CloseListener struct{}

// Goodbye tells peers that nothing is in flight any more.
type Goodbye struct{}

// Exit ends the process with status 0.
type Exit struct {
	// Overdue is how many requests were past their deadlines, yet not ended.
	Overdue int
}

func (Unready) drainEffect()       {}
func (CloseListener) drainEffect() {}
func (Goodbye) drainEffect()       {}
func (Exit) drainEffect()          {}

// DrainSettings are the times of a planned stop.
type DrainSettings struct {
	// ReadinessLag is how long the balancer in front may send new connections after the
	// readiness check failed; zero at an agent, whose peers hear it directly.
	ReadinessLag time.Duration
	// DeadlineGrace is how long a request may be past its deadline before the stop no
	// longer waits for it.
	DeadlineGrace time.Duration
}

// Drain is the machine of a process's planned stop. It is bounded by the
// deadlines of the requests in flight and by nothing shorter: a limit below
// them would cut off answers.
type Drain struct {
	settings DrainSettings
	asserter *btassert.Asserter
	now      time.Time
	flight   map[btid.Request]time.Time
	began    time.Time
	stopping bool
	closed   bool
	exited   bool
}

var _ btcore.Machine[DrainEvent, DrainEffect] = (*Drain)(nil)

// NewDrain returns the machine of a running process.
func NewDrain(settings DrainSettings, asserter *btassert.Asserter) *Drain {
	return &Drain{settings: settings, asserter: asserter, flight: map[btid.Request]time.Time{}}
}

// InFlight returns how many requests have begun and not ended.
func (d *Drain) InFlight() int { return len(d.flight) }

// Stopping tells whether a planned stop has begun.
func (d *Drain) Stopping() bool { return d.stopping }

// Step applies one event.
func (d *Drain) Step(now time.Time, event DrainEvent) []DrainEffect {
	d.now = later(d.now, now)
	var effects []DrainEffect
	switch e := event.(type) {
	case Terminate:
		if !d.stopping {
			d.stopping = true
			d.began = d.now
			effects = append(effects, Unready{})
		}
	case RequestBegan:
		d.flight[e.ID] = e.Deadline
	case RequestEnded:
		delete(d.flight, e.ID)
	}
	return append(effects, d.proceed()...)
}

// proceed takes the steps of the stop that are due.
func (d *Drain) proceed() []DrainEffect {
	if !d.stopping || d.exited || d.now.Sub(d.began) < d.settings.ReadinessLag {
		return nil
	}
	var effects []DrainEffect
	if !d.closed {
		d.closed = true
		effects = append(effects, CloseListener{})
	}
	if d.waits() {
		return effects
	}
	for id, deadline := range d.flight {
		d.asserter.That(!deadline.After(d.now), DrainCutsNothing, "%s due %s, stopped %s", id, deadline, d.now)
	}
	d.exited = true
	return append(effects, Goodbye{}, Exit{Overdue: len(d.flight)})
}

// waits tells whether a request in flight may still end in time.
func (d *Drain) waits() bool {
	for _, deadline := range d.flight {
		if d.now.Before(deadline.Add(d.settings.DeadlineGrace)) {
			return true
		}
	}
	return false
}
