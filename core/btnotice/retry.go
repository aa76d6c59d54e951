package btnotice

import "time"

const (
	// retrySpreadFraction is the time over which callers retry after a rest, as a fraction
	// of the wait until its end. It is at least minRetrySpread.
	retrySpreadFraction = 0.5
	minRetrySpread      = 500 * time.Millisecond
)

// RetryAfter returns the retry time of a caller that is refused because all targets rest:
// a random time after the first end of a rest, which is the given time away. Callers would
// otherwise all retry at once. Random returns uniform random numbers in [0, 1).
func RetryAfter(left time.Duration, random func() float64) time.Duration {
	left = max(left, 0)
	spread := max(time.Duration(retrySpreadFraction*float64(left)), minRetrySpread)
	return left + time.Duration(random()*float64(spread))
}
