package btmember

import (
	"time"

	"bilberrytide/core/btassert"
	"bilberrytide/core/btcore"
	"bilberrytide/core/btid"
)

// DrainEndsNoPendingRequest is the invariant that a planned stop exits only when no request
// in flight has its deadline in the future.
const DrainEndsNoPendingRequest btassert.Name = "drain_cuts_nothing"

// DrainEvent is an input of Drain: Terminate, RequestBegan, RequestEnded or
// DrainTick.
type DrainEvent interface{ drainEvent() }

// Terminate reports a SIGTERM. Repeated ones have no effect.
type Terminate struct{}

// RequestBegan reports a request that this process accepted and answers by the
// deadline.
type RequestBegan struct {
	ID       btid.Request
	Deadline time.Time
}

// RequestEnded reports that the last byte of a request's answer was sent or that
// its caller disconnected.
type RequestEnded struct{ ID btid.Request }

// DrainTick reports the current time.
type DrainTick struct{}

func (Terminate) drainEvent()    {}
func (RequestBegan) drainEvent() {}
func (RequestEnded) drainEvent() {}
func (DrainTick) drainEvent()    {}

// DrainEffect is a step of the stop. The steps are Unready, CloseListener, Goodbye
// and Exit, in that order, each once.
type DrainEffect interface{ drainEffect() }

// Unready makes the readiness check fail. At an agent it also makes heartbeats
// report Draining immediately.
type Unready struct{}

// CloseListener stops accepting connections; open ones are still served.
type CloseListener struct{}

// Goodbye notifies peers that no request is in flight any more.
type Goodbye struct{}

// Exit ends the process with status 0.
type Exit struct {
	// Overdue is how many requests were past their deadlines and hadn't ended.
	Overdue int
}

func (Unready) drainEffect()       {}
func (CloseListener) drainEffect() {}
func (Goodbye) drainEffect()       {}
func (Exit) drainEffect()          {}

// DrainSettings configures a planned stop.
type DrainSettings struct {
	// ReadinessLag is how long the load balancer in front may send new connections
	// after the readiness check has failed. It is zero at an agent, whose peers are
	// notified directly.
	ReadinessLag time.Duration
	// DeadlineGrace is how long after its deadline the stop still waits for a
	// request.
	DeadlineGrace time.Duration
}

// Drain is the state machine of a process's planned stop. The stop is bounded only
// by the deadlines of the requests in flight: any shorter limit would truncate
// responses. It is not safe for concurrent use.
type Drain struct {
	settings      DrainSettings
	asserter      *btassert.Asserter
	now           time.Time
	inFlight      map[btid.Request]time.Time
	stoppingSince time.Time
	stopping      bool
	closed        bool
	exited        bool
}

var _ btcore.Machine[DrainEvent, DrainEffect] = (*Drain)(nil)

// NewDrain returns the Drain of a running process.
func NewDrain(settings DrainSettings, asserter *btassert.Asserter) *Drain {
	return &Drain{settings: settings, asserter: asserter, inFlight: map[btid.Request]time.Time{}}
}

// InFlight returns the number of requests in flight.
func (d *Drain) InFlight() int { return len(d.inFlight) }

// Stopping reports whether a planned stop has begun.
func (d *Drain) Stopping() bool { return d.stopping }

// Step applies one event and returns the steps of the stop that are due.
func (d *Drain) Step(now time.Time, event DrainEvent) []DrainEffect {
	d.now = later(d.now, now)
	var effects []DrainEffect
	switch e := event.(type) {
	case Terminate:
		if !d.stopping {
			d.stopping = true
			d.stoppingSince = d.now
			effects = append(effects, Unready{})
		}
	case RequestBegan:
		d.inFlight[e.ID] = e.Deadline
	case RequestEnded:
		delete(d.inFlight, e.ID)
	}
	return append(effects, d.proceed()...)
}

// proceed returns the steps of the stop that are due.
func (d *Drain) proceed() []DrainEffect {
	if !d.stopping || d.exited || d.now.Sub(d.stoppingSince) < d.settings.ReadinessLag {
		return nil
	}
	var effects []DrainEffect
	if !d.closed {
		d.closed = true
		effects = append(effects, CloseListener{})
	}
	if d.hasPending() {
		return effects
	}
	for id, deadline := range d.inFlight {
		d.asserter.That(!deadline.After(d.now), DrainEndsNoPendingRequest, "request %s is due at %s, process exits at %s", id, deadline, d.now)
	}
	d.exited = true
	return append(effects, Goodbye{}, Exit{Overdue: len(d.inFlight)})
}

// hasPending reports whether a request in flight is still within its deadline and
// grace.
func (d *Drain) hasPending() bool {
	for _, deadline := range d.inFlight {
		if d.now.Before(deadline.Add(d.settings.DeadlineGrace)) {
			return true
		}
	}
	return false
}
