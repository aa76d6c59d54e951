package btgate

import "time"

// initialDepartureInterval is the departure interval assumed before any request has
// been answered. It corresponds to fifty requests in flight that take a second each.
const initialDepartureInterval = 20 * time.Millisecond

// retryFraction is the fraction of released slots that is reserved for refused callers
// who retry; the others are for new callers.
const retryFraction = 1.0 / 3

// RetryAfter returns the delay after which a refused caller is likely to get a slot:
// after a pause, after the requests that are queued now and after the callers that were refused
// earlier. Each caller gets a later time than the one before, so that they don't
// all retry at once. Longest bounds the delay; once the scheduled time is that far ahead,
// all further callers get the same delay.
func (g *Gate[V]) RetryAfter(now time.Time, longest time.Duration) time.Duration {
	interval := g.departureInterval(now)
	if interval == 0 {
		interval = initialDepartureInterval
	}
	drained := now.Add(g.pauseLeft(now) + time.Duration(len(g.queue)+1)*interval)
	if g.scheduledUntil.Before(drained) {
		g.scheduledUntil = drained
	}
	delay := g.scheduledUntil.Sub(now)
	if delay >= longest {
		return longest
	}
	g.scheduledUntil = g.scheduledUntil.Add(time.Duration(float64(interval) / retryFraction))
	return delay
}
