package btgroup

import (
	"time"
)

// liveness is one agent's view of which ranks are live. It does no I/O. A wrong view
// costs time but doesn't affect safety.
type liveness struct {
	self  int
	lease time.Duration
	// lastMessageAt holds when the last message of each rank arrived. It begins with the
	// start time, so that no rank counts as lost before a lease has passed.
	lastMessageAt []time.Time
	// lastProbed is the lost lower rank that was probed last.
	lastProbed int
}

func newLiveness(now time.Time, self, ranks int, lease time.Duration) *liveness {
	l := &liveness{self: self, lease: lease, lastMessageAt: make([]time.Time, ranks)}
	for r := range l.lastMessageAt {
		l.lastMessageAt[r] = now
	}
	return l
}

// observe records that a message of a rank arrived.
func (l *liveness) observe(now time.Time, rank int) {
	if rank >= 0 && rank < len(l.lastMessageAt) && now.After(l.lastMessageAt[rank]) {
		l.lastMessageAt[rank] = now
	}
}

func (l *liveness) live(now time.Time, rank int) bool {
	return rank == l.self || now.Sub(l.lastMessageAt[rank]) < l.lease
}

// lead returns the lowest live rank.
func (l *liveness) lead(now time.Time) int {
	for r := range l.self {
		if l.live(now, r) {
			return r
		}
	}
	return l.self
}

// nextProbe returns the next rank below the lead to be probed, as it may be live again;
// -1 if the lead is the lowest rank.
func (l *liveness) nextProbe(now time.Time) int {
	lead := l.lead(now)
	if lead == 0 {
		return -1
	}
	l.lastProbed = (l.lastProbed + 1) % lead
	return l.lastProbed
}

// missing lists the ranks that are not live.
func (l *liveness) missing(now time.Time) []int {
	var ranks []int
	for r := range l.lastMessageAt {
		if !l.live(now, r) {
			ranks = append(ranks, r)
		}
	}
	return ranks
}
