package btgate

import (
	"slices"
	"time"
)

const (
	// deadlinesKept is how many deadlines of first tries are remembered: enough for
	// the tail of one in sixteen to be four of them.
	deadlinesKept = 64
	// deadlinesLeast is how many of them tell the range.
	deadlinesLeast = 16
	// tailShare is the part of the deadlines that is left out at the short end: among
	// first tries come some second ones, after an error or a host that was lost.
	tailShare = 1.0 / 16
	// unlearnedShare is the shortest deadline of a first try as a part of the longest,
	// before it is learned: who comes back has spent a fifth of its time at least,
	// since it is told to stay away for up to a third, and a silent stream is waited for
	// for 1.2 s of 8.
	unlearnedShare = 0.8
	// againShare is the part of the longest deadline by which a caller's must be
	// below the shortest: what a request takes on its way is far less.
	againShare = 0.02
	// usualFor is for how long the longest deadline counts after it was last seen:
	// callers who come for the first time come far more often.
	usualFor = 10 * time.Second
)

// Deadlines are those with which callers come for the first time. One who has been
// refused or cut off comes back with what is left.
type Deadlines struct {
	Shortest, Longest time.Duration
}

// Usual learns the deadlines of first tries. Callers of one route may differ: with
// deadlines spread by 15 in 100, two of three first tries were taken for second ones
// where only the longest was known, and requests that could be in time waited behind
// those that could not. It is not safe for concurrent use.
type Usual struct {
	longest time.Duration
	at      time.Time
	// kept are the last deadlines of first tries, next is where the next one goes.
	kept []time.Duration
	next int
	// shortest is learned from them.
	shortest time.Duration
}

// Add takes a caller's deadline in and returns the usual ones. Refused is when a
// caller was last turned away: for as long as callers wait, who comes may have come
// before and teaches nothing.
func (u *Usual) Add(now time.Time, left time.Duration, refused time.Time) Deadlines {
	if now.Sub(u.at) > usualFor {
		u.longest = 0
		u.kept = u.kept[:0]
		u.shortest = 0
	}
	if left >= u.longest {
		u.longest = left
		u.at = now
	}
	if now.Sub(refused) > u.longest {
		u.learn(left)
	}
	if len(u.kept) < deadlinesLeast {
		return Deadlines{Shortest: time.Duration(unlearnedShare * float64(u.longest)), Longest: u.longest}
	}
	return Deadlines{Shortest: u.shortest, Longest: u.longest}
}

// learn takes in the deadline of a first try.
func (u *Usual) learn(left time.Duration) {
	if len(u.kept) < deadlinesKept {
		u.kept = append(u.kept, left)
	} else {
		u.kept[u.next%deadlinesKept] = left
	}
	u.next++
	sorted := slices.Clone(u.kept)
	slices.Sort(sorted)
	u.shortest = sorted[int(tailShare*float64(len(sorted)))]
}
