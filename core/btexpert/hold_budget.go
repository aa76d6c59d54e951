package btexpert

import "time"

const (
	// freeHold is for how long a change of maps may hold the group: two or three
	// steps, which callers don't notice. Where all orders are answered at once a hold
	// takes 10 to 35 ms.
	freeHold = 60 * time.Millisecond
	// holdShare is the part of the time for which changes of maps may hold the group
	// beyond that.
	holdShare = 0.04
	// holdMost bounds what one change counts, and holdWeight is its weight in the mean:
	// one host that stands still while it holds the group costs a rest of two seconds,
	// orders that stay unanswered for many changes one of seconds each.
	holdMost   = 300 * time.Millisecond
	holdWeight = 0.3
)

// StallBudget bounds for how much of the time changes of maps hold their group. While
// the group is held no stream goes on: where orders stay unanswered for a while, as on
// hosts that are busy or cut off, each change holds it for some tenths of a second,
// which costs callers more than an even group gives them.
type StallBudget struct {
	excess time.Duration
	until  time.Time
}

// Record takes in for how long a change that has ended held the group.
func (b *StallBudget) Record(now time.Time, held time.Duration) {
	excess := min(max(held-freeHold, 0), holdMost)
	b.excess += time.Duration(holdWeight * float64(excess-b.excess))
	if excess > 0 {
		b.until = now.Add(time.Duration(float64(b.excess) / holdShare))
	}
}

// Allows tells whether another change may begin.
func (b *StallBudget) Allows(now time.Time) bool { return !now.Before(b.until) }
