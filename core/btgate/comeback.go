package btgate

import "time"

// firstBetween is the time between two requests that leave as it is told to callers
// before any has been answered: some fifty at work that take a second each.
const firstBetween = 20 * time.Millisecond

// returnShare is the part of the requests that leave whose places are promised to
// callers who were refused; the others are for new callers.
const returnShare = 1.0 / 3

// ComeBack returns after how long a refused caller is likely to find a place:
// after those that wait now, and those that were told to come back before. Each
// caller is told a time of its own, so that they don't all come at once.
func (g *Gate[W]) ComeBack(now time.Time, most time.Duration) time.Duration {
	between := g.between()
	if between == 0 {
		between = firstBetween
	}
	drained := now.Add(time.Duration(len(g.queue)+1) * between)
	if g.booked.Before(drained) {
		g.booked = drained
	}
	after := g.booked.Sub(now)
	if after >= most {
		return most
	}
	g.booked = g.booked.Add(time.Duration(float64(between) / returnShare))
	return after
}
