package btgate

import (
	"slices"
	"time"
)

const (
	// deadlineSamples is how many deadlines of first tries are remembered: enough for
	// the tail of one in sixteen to be four of them.
	deadlineSamples = 64
	// minDeadlineSamples is how many of them tell the range.
	minDeadlineSamples = 16
	// excludedTail is the part of the deadlines that is left out at the short end: among
	// first tries come some second ones, after an error or a host that was lost.
	excludedTail = 1.0 / 16
	// defaultShortestFraction is the shortest deadline of a first try as a part of the longest,
	// before it is learned: who comes back has spent a fifth of its time at least,
	// since it is told to stay away for up to a third, and a silent stream is waited for
	// for 1.2 s of 8.
	defaultShortestFraction = 0.8
	// retryMargin is the part of the longest deadline by which a caller's must be
	// below the shortest: what a request takes on its way is far less.
	retryMargin = 0.02
	// longestTTL is for how long the longest deadline counts after it was last seen:
	// callers who come for the first time come far more often.
	longestTTL = 10 * time.Second
)

// DeadlineRange are those with which callers come for the first time. One who has been
// refused or cut off comes back with what is left.
type DeadlineRange struct {
	Shortest, Longest time.Duration
}

// DeadlineEstimator learns the deadlines of first tries. Callers of one route may differ: with
// deadlines spread by 15 in 100, two of three first tries were taken for second ones
// where only the longest was known, and requests that could be in time waited behind
// those that could not. It is not safe for concurrent use.
type DeadlineEstimator struct {
	longest   time.Duration
	longestAt time.Time
	// samples are the last deadlines of first tries, next is where the next one goes.
	samples []time.Duration
	next    int
	// shortest is learned from them.
	shortest time.Duration
}

// Add takes a caller's deadline in and returns the usual ones. Refused is when a
// caller was last turned away: for as long as callers wait, who comes may have come
// before and teaches nothing.
func (e *DeadlineEstimator) Add(now time.Time, remaining time.Duration, lastRefusal time.Time) DeadlineRange {
	if now.Sub(e.longestAt) > longestTTL {
		e.longest = 0
		e.samples = e.samples[:0]
		e.shortest = 0
	}
	if remaining >= e.longest {
		e.longest = remaining
		e.longestAt = now
	}
	if now.Sub(lastRefusal) > e.longest {
		e.addSample(remaining)
	}
	if len(e.samples) < minDeadlineSamples {
		return DeadlineRange{Shortest: time.Duration(defaultShortestFraction * float64(e.longest)), Longest: e.longest}
	}
	return DeadlineRange{Shortest: e.shortest, Longest: e.longest}
}

// addSample takes in the deadline of a first try.
func (e *DeadlineEstimator) addSample(remaining time.Duration) {
	if len(e.samples) < deadlineSamples {
		e.samples = append(e.samples, remaining)
	} else {
		e.samples[e.next%deadlineSamples] = remaining
	}
	e.next++
	sorted := slices.Clone(e.samples)
	slices.Sort(sorted)
	e.shortest = sorted[int(excludedTail*float64(len(sorted)))]
}
