package btexpert

import "time"

const (
	// freeStall is the stall by a change of maps that isn't counted: two or three
	// steps, which clients don't notice. If all commands are answered immediately, a
	// change stalls the group for 10 to 35 ms.
	freeStall = 60 * time.Millisecond
	// maxStallShare is the share of the time for which changes of maps may stall
	// the group beyond that.
	maxStallShare = 0.04
	// maxCountedStall bounds the excess counted for one change, and stallWeight is
	// its weight in the mean. One host that freezes during a change blocks
	// further ones for two seconds; commands that stay unanswered over many changes
	// block them for seconds after each.
	maxCountedStall = 300 * time.Millisecond
	stallWeight     = 0.3
)

// StallBudget bounds the share of the time for which changes of maps stall their
// group. No stream makes progress during a stall. While commands stay unanswered,
// as on hosts that are overloaded or unreachable, each change stalls the group for some
// tenths of a second, which costs clients more latency than a balanced map saves.
type StallBudget struct {
	meanExcess   time.Duration
	blockedUntil time.Time
}

// Record adds the stall of a change that has ended.
func (b *StallBudget) Record(now time.Time, stall time.Duration) {
	excess := min(max(stall-freeStall, 0), maxCountedStall)
	b.meanExcess += time.Duration(stallWeight * float64(excess-b.meanExcess))
	if excess > 0 {
		b.blockedUntil = now.Add(time.Duration(float64(b.meanExcess) / maxStallShare))
	}
}

// Allows reports whether another change may begin.
func (b *StallBudget) Allows(now time.Time) bool { return !now.Before(b.blockedUntil) }
