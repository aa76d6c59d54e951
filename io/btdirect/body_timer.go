package btdirect

import (
	"context"
	"time"
)

const (
	// bodyShare is the fraction of the time left for which a target may be at a body of
	// which the caller has nothing yet, if another target can serve the request. The rest
	// is for that one.
	bodyShare = 0.5
	// minBodyTime is the least time that a target gets for a body.
	minBodyTime = 500 * time.Millisecond
)

// newBodyTimer returns a timer that cancels an attempt whose body isn't complete in time, if
// another target can serve the request in the rest of it. Arriving bytes don't extend it: a body that drips
// without end has them too.
func (x *exchange) newBodyTimer(t *target, cancel context.CancelFunc) *silenceTimer {
	clock := x.entry.options.Clock
	limit := max(scaleDuration(x.deadline.Sub(clock()), bodyShare), minBodyTime)
	leaves := x.leavesSilent(t, x.newSuccessors())
	timer := &silenceTimer{limit: limit, clock: clock, cancel: cancel, leave: func(since time.Time) bool {
		left := x.deadline.Sub(clock())
		return x.entry.acceptance.expected(x.stopRequest(left)) < left && leaves(since)
	}}
	return timer.start()
}
