// Package btrate keeps the request rates that targets take by their own word, and
// decides which entries use such a target and when.
//
// A target in need names in its answers how many requests a second it takes of all
// callers together, for as long as it says so. Each entry hears this with its own
// answers, and from other entries.
package btrate

import "time"

// Limit is what is known of a target's rate.
type Limit struct {
	PerSecond float64
	// Active is false once the target has answered without a rate.
	Active bool
	// ObservedAt is when the latest answer that said so had arrived.
	ObservedAt time.Time
}

// Update returns what is known once an answer has arrived now to a request that was sent
// before, and whether that is news.
//
// Answers overtake each other, and the head of a stream may be old when it arrives. One
// was surely given later than another only if its request was sent after the other had
// arrived. Where that isn't sure, a limit stays, and the lower of two rates.
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
