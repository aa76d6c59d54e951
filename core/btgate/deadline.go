package btgate

import (
	"slices"
	"time"
)

const (
	// deadlineSamples is the number of first-attempt deadlines that are kept, so that
	// the excluded tail of one in sixteen is four of them.
	deadlineSamples = 64
	// minDeadlineSamples is the number of samples needed to derive the range.
	minDeadlineSamples = 16
	// excludedTail is the fraction of the shortest samples that is ignored, as some of
	// them come from retries after an error or after the loss of a host.
	excludedTail = 1.0 / 16
	// defaultShortestFraction is the assumed ratio of the shortest to the longest
	// first-attempt deadline before there are enough samples. A caller that retries has
	// used at least a fifth of its deadline: its retry delay is up to a third of it,
	// and a stalled stream is cut off after 1.2 s of 8.
	defaultShortestFraction = 0.8
	// retryMargin is the fraction of the longest deadline by which a deadline must be
	// below the shortest one to count as a retry. Network delay is far below it.
	retryMargin = 0.02
	// longestTTL is how long the longest deadline is kept after it was last seen. First
	// attempts arrive far more often than that.
	longestTTL = 10 * time.Second
)

// DeadlineRange is the range of the deadlines of first attempts. A caller that retries
// after a refusal or a broken response has only the rest of its deadline left.
type DeadlineRange struct {
	Shortest, Longest time.Duration
}

// DeadlineEstimator estimates the range of first-attempt deadlines, which differ
// between the callers of one route. With only the longest one known, first attempts with
// shorter deadlines would be treated as retries, and requests that can still be in time
// would wait behind those that can't. A DeadlineEstimator is not safe for concurrent use.
type DeadlineEstimator struct {
	longest   time.Duration
	longestAt time.Time
	// samples is a ring buffer of first-attempt deadlines; next is the next position to
	// write.
	samples []time.Duration
	next    int
	// shortest is derived from samples.
	shortest time.Duration
}

// Add records a caller's remaining time and returns the current range. LastRefusal is
// when a caller was last refused or cut off. Until the longest deadline has passed
// since then, a request may be a retry and is not sampled.
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

// addSample records the deadline of a first attempt.
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
