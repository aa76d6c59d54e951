package btdirect

import "time"

const (
	// retryShare is the part of the time left that a refused caller is told to wait
	// at the most, and where nothing better is known: callers follow up to a third.
	retryShare = 0.32
	// elsewhereAfter is when a caller should come back that another entry can serve
	// at once: callers take a new connection to another entry for each try.
	elsewhereAfter = 20 * time.Millisecond
)

// later is when a refused caller should come back where nothing better is known.
func (x *exchange) later() time.Duration {
	left := x.deadline.Sub(x.entry.options.Clock())
	return share(max(left, 0), retryShare)
}

// elsewhere is when a caller should come back that this entry can't serve, but
// another one can.
func (x *exchange) elsewhere() time.Duration {
	if x.entry.peers.count() == 0 {
		return x.later()
	}
	return min(elsewhereAfter, x.later())
}

// share returns a part of a duration.
func share(d time.Duration, part float64) time.Duration {
	return time.Duration(float64(d) * part)
}
