package btdirect

import (
	"math/rand/v2"
	"time"

	"bilberrytide/core/btcatalog"
	"bilberrytide/core/btid"
	"bilberrytide/core/btinventory"
)

const (
	// metricRestsSkipped counts how often targets were skipped because they rest,
	// metricRestsHeldBack the requests that were not sent to a chosen target because it had
	// begun to rest.
	metricRestsSkipped  = "target_rests.skipped"
	metricRestsHeldBack = "target_rests.held_back"
	// metricRestWaits counts requests that were queued again until the end of a rest.
	metricRestWaits = "target_rests.waits"
	// maxRestingShown bounds the resting targets in a log line.
	maxRestingShown = 4
	// restSpreadFraction is the time over which callers retry after a rest, as a fraction
	// of the wait until its end. It is at least minRestSpread.
	restSpreadFraction = 0.5
	minRestSpread      = 500 * time.Millisecond
)

// restingTarget is a target that was skipped because it rests.
type restingTarget struct {
	instance btinventory.Instance
	end      time.Time
}

// firstEnd returns the first end of the rests; zero without any.
func firstEnd(resting []restingTarget) time.Time {
	var first time.Time
	for _, r := range resting {
		if first.IsZero() || r.end.Before(first) {
			first = r.end
		}
	}
	return first
}

// restsUntil returns until when the target rests, and whether it does.
func (f *fleet) restsUntil(t *target) (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.notices.RestEnd(f.clock(), t.info.Instance())
}

// rests reports whether the target rests. f.mu must be held.
func (f *fleet) rests(t *target, now time.Time) bool {
	_, resting := f.notices.RestEnd(now, t.info.Instance())
	return resting
}

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

// capacity is how many requests a service's targets take.
type capacity struct {
	slots, targets int
	// restEnd is the first end of a rest if all targets rest; zero otherwise.
	restEnd time.Time
}

// capacity returns how many requests the service's targets take. A target that rests
// counts with the requests that it has, or, if all rest, with those that it is sent at
// the end of its rest.
func (f *fleet) capacity(name btid.Service) capacity {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock()
	var c, resting capacity
	var ends []restingTarget
	for _, t := range f.service(name).targets {
		if t.state != btinventory.Ready {
			continue
		}
		slots := t.slots
		if window, limited := f.notices.Window(t.info.Instance()); limited {
			slots = min(slots, window+int(t.otherRequests(now)))
		}
		if end, rests := f.notices.RestEnd(now, t.info.Instance()); rests {
			ends = append(ends, restingTarget{end: end})
			resting.slots += slots
			resting.targets++
			c.slots += min(t.slots, t.requests+int(t.otherRequests(now)))
			continue
		}
		c.slots += slots
		c.targets++
	}
	if c.targets == 0 {
		resting.restEnd = firstEnd(ends)
		return resting
	}
	return c
}

// endOrAwaitRest handles a request for which all targets that are left rest. It returns
// true if the request is queued again until the end of the first rest; a request that
// can't wait so long is refused.
func (x *exchange) endOrAwaitRest(resting []restingTarget) (again bool) {
	e := x.entry
	end := e.fleet.capacity(x.service.Name).restEnd
	if !end.IsZero() && end.Before(x.queueing.WaitUntil) {
		clear(x.tried)
		e.meter.Counter(metricRestWaits).Inc(1)
		return true
	}
	x.endUnserved(ReasonTargetResting, e.admission.restRetryAfter(x.service, firstEnd(resting)))
	return false
}

// restRetryAfter returns the retry time of a caller that is refused because all targets
// rest: after the first end of a rest, and after the callers that were refused before. If
// these fill the time over which callers are spread, it is a random part of that time.
func (a *admission) restRetryAfter(s *btcatalog.Service, end time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock()
	wait := max(end.Sub(now), 0)
	spread := max(scaleDuration(wait, restSpreadFraction), minRestSpread)
	delay := max(a.gateOf(s).gate.RetryAfter(now, wait+spread), wait)
	if delay < wait+spread {
		return delay
	}
	return wait + time.Duration(rand.Int64N(int64(spread)))
}

// holdBack returns the result of an attempt at a target that has begun to rest since it
// was chosen. Nothing is sent.
func (x *exchange) holdBack(t *target, end time.Time) attemptResult {
	e := x.entry
	e.meter.Counter(metricRestsHeldBack).Inc(1)
	e.fleet.unassign(t, x.info.PromptTokens)
	x.noteResting([]restingTarget{{instance: t.info.Instance(), end: end}})
	return attemptResult{target: t.info.ID, reason: ReasonTargetResting, notRun: true}
}

// noteResting notes the targets that were skipped because they rest, for logs.
func (x *exchange) noteResting(resting []restingTarget) {
	if len(resting) == 0 {
		return
	}
	x.resting = resting
	x.entry.meter.Counter(metricRestsSkipped).Inc(int64(len(resting)))
}

// restingAttributes returns the attributes of a log line about the targets that were
// skipped because they rest, each with the time that is left of its rest.
func (x *exchange) restingAttributes() []any {
	if len(x.resting) == 0 {
		return nil
	}
	now := x.entry.options.Clock()
	var shown []string
	for _, r := range x.resting[:min(len(x.resting), maxRestingShown)] {
		shown = append(shown, r.instance.String()+" "+max(r.end.Sub(now), 0).Round(time.Millisecond).String())
	}
	return []any{"resting", shown, "resting_count", len(x.resting)}
}
