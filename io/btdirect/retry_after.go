package btdirect

import "time"

const (
	// maxRetryFraction is the largest fraction of its remaining time that a refused
	// caller is asked to wait, and the default. Callers follow a retry time of up to a
	// third.
	maxRetryFraction = 0.32
	// reconnectDelay is the retry time if another entry can serve the caller at once.
	// Callers open a new connection for each retry, to another entry.
	reconnectDelay = 20 * time.Millisecond
)

// defaultRetryAfter returns the retry time of a refused caller if there is no better
// estimate.
func (x *exchange) defaultRetryAfter() time.Duration {
	left := x.deadline.Sub(x.entry.options.Clock())
	return scaleDuration(max(left, 0), maxRetryFraction)
}

// otherEntryRetryAfter returns the retry time if this entry can't serve the caller but
// another one can.
func (x *exchange) otherEntryRetryAfter() time.Duration {
	if x.entry.peers.count() == 0 {
		return x.defaultRetryAfter()
	}
	return min(reconnectDelay, x.defaultRetryAfter())
}

// scaleDuration multiplies a duration by a factor.
func scaleDuration(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
