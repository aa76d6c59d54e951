package btdirect

import (
	"math/rand/v2"
	"time"

	"bilberrytide/core/btnotice"
)

// metricRestWaits counts requests that were queued again until the end of a rest.
const metricRestWaits = "target_rests.waits"

// windowFull reports whether the target has as many of this entry's requests as it is sent
// after a rest. f.mu must be held.
func (f *fleet) windowFull(t *target) bool {
	window, limited := f.notices.Window(t.info.Instance())
	return limited && t.requests >= window
}

// recordAccepted records that the target has accepted a request that was sent at sentAt.
func (f *fleet) recordAccepted(t *target, sentAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.notices.RecordAccepted(f.clock(), sentAt, t.info.Instance(), t.slots)
}

// endOrAwaitRest handles a request for which all targets that are left rest. It returns
// true if the request is queued again until the end of the first rest; a request that
// can't wait so long is refused.
func (x *exchange) endOrAwaitRest(resting []skippedTarget) (again bool) {
	e := x.entry
	end := e.fleet.capacity(x.service.Name).restEnd
	if !end.IsZero() && end.Before(x.queueing.WaitUntil) {
		clear(x.tried)
		e.meter.Counter(metricRestWaits).Inc(1)
		return true
	}
	x.endUnserved(ReasonTargetResting, x.restRetryAfter(firstEnd(resting)))
	return false
}

// restRetryAfter returns the retry time of a caller that is refused because all targets
// rest until the given time or longer.
func (x *exchange) restRetryAfter(end time.Time) time.Duration {
	return btnotice.RetryAfter(end.Sub(x.entry.options.Clock()), rand.Float64)
}
