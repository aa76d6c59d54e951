// Package btrate tracks the request rates that targets advertise, and decides which
// entries send to such a target and when.
//
// An overloaded target advertises in its answers how many requests per second it
// accepts from all callers together. The limit holds until an answer comes without it.
// Each entry learns of it from its own answers and from other entries.
package btrate

import "time"

// Limit is the known rate limit of a target.
type Limit struct {
	PerSecond float64
	// Active is false once the target has answered without a rate.
	Active bool
	// ObservedAt is when the latest answer that confirmed the limit arrived.
	ObservedAt time.Time
}

// Update returns the limit after an answer that arrives now to a request sent at
// sentAt, and whether the limit changed.
//
// Answers can overtake each other, and the head of a stream may be old when it arrives.
// An answer is certainly later than another one only if its request was sent after the
// other one arrived. Otherwise an active limit stays active, and the lower of two rates
// is kept.
func (l Limit) Update(now, sentAt time.Time, a Advertisement) (Limit, bool) {
	later := !sentAt.Before(l.ObservedAt)
	switch {
	case a.Malformed != "":
		return l, false
	case !a.Present && (!l.Active || !later):
		return l, false
	case a.Present && l.Active && !later && a.PerSecond > l.PerSecond:
		return l, false
	}
	next := Limit{PerSecond: a.PerSecond, Active: a.Present, ObservedAt: now}
	return next, next.Active != l.Active || next.PerSecond != l.PerSecond
}
