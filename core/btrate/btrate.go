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
	// Named is false once the target has answered without a rate.
	Named bool
	// At is when the latest answer that said so had arrived.
	At time.Time
}

// After returns what is known once an answer has arrived now to a request that was sent
// before, and whether that is news.
//
// Answers overtake each other, and the head of a stream may be old when it arrives. One
// was surely given later than another only if its request was sent after the other had
// arrived. Where that isn't sure, a limit stays, and the lower of two rates.
func (l Limit) After(now, sent time.Time, w Word) (Limit, bool) {
	later := !sent.Before(l.At)
	switch {
	case w.Malformed != "":
		return l, false
	case !w.Named && (!l.Named || !later):
		return l, false
	case w.Named && l.Named && !later && w.PerSecond > l.PerSecond:
		return l, false
	}
	next := Limit{PerSecond: w.PerSecond, Named: w.Named, At: now}
	return next, next.Named != l.Named || next.PerSecond != l.PerSecond
}
