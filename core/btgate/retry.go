package btgate

import "time"

// initialDepartureInterval is the time between two requests that leave as it is told to callers
// before any has been answered: some fifty at work that take a second each.
const initialDepartureInterval = 20 * time.Millisecond

// retryFraction is the part of the requests that leave whose places are promised to
// callers who were refused; the others are for new callers.
const retryFraction = 1.0 / 3

// RetryAfter returns after how long a refused caller is likely to find a place:
// after those that wait now, and those that were told to come back before. Each
// caller is told a time of its own, so that they don't all come at once.
func (g *Gate[W]) RetryAfter(now time.Time, longest time.Duration) time.Duration {
	interval := g.departureInterval()
	if interval == 0 {
		interval = initialDepartureInterval
	}
	drained := now.Add(time.Duration(len(g.queue)+1) * interval)
	if g.bookedUntil.Before(drained) {
		g.bookedUntil = drained
	}
	delay := g.bookedUntil.Sub(now)
	if delay >= longest {
		return longest
	}
	g.bookedUntil = g.bookedUntil.Add(time.Duration(float64(interval) / retryFraction))
	return delay
}
