// Package btbackoff computes the waits between attempts that keep failing.
package btbackoff

import (
	"math/rand/v2"
	"time"
)

// Policy is an exponential backoff with jitter: each wait is drawn uniformly from the
// upper half of a span that doubles with each failure, from First up to Last.
type Policy struct {
	// First is the span after one failure.
	First time.Duration
	// Last is the longest span.
	Last time.Duration
}

// Wait returns the wait after this number of consecutive failures, which is at least 1.
// If random is nil, the process's global source is used.
func (p Policy) Wait(failures int, random *rand.Rand) time.Duration {
	span := p.First
	for i := 1; i < failures && span < p.Last; i++ {
		span *= 2
	}
	span = min(span, p.Last)
	half := span / 2
	if half <= 0 {
		return span
	}
	if random == nil {
		return half + rand.N(half)
	}
	return half + time.Duration(random.Int64N(int64(half)))
}
