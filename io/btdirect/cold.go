package btdirect

import (
	"time"

	"bilberrytide/core/btinventory"
	"bilberrytide/core/btrate"
)

// recordDelay is how long after a target has become cold its record may still say
// otherwise at some entry: a renewal, a read and a list passed on by another entry.
const recordDelay = 4 * time.Second

// unsettledInterval is the time between two requests to a cold target while the entry
// doesn't know the other ones yet.
const unsettledInterval = time.Second

// updateCold applies a target's record to its limit as a cold target. perSecond is how many
// requests a cold target of the service takes from all callers together; zero if there is
// no limit. Targets of a data centre that is taken back count as cold until their records
// must have said whether they are. f.mu must be held.
func (f *fleet) updateCold(t *target, info btinventory.Target, wasDrained bool, perSecond float64) {
	now := f.clock()
	if wasDrained && !t.drained {
		t.coldUntil = now.Add(recordDelay)
	}
	t.cold = info.Cold
	f.coldRates.ObserveAnswer(now, now, info.Instance(), btrate.Advertisement{Present: perSecond > 0 && f.isCold(t, now), PerSecond: perSecond})
}

// isCold reports whether the target is, or may be, cold.
func (f *fleet) isCold(t *target, now time.Time) bool { return t.cold || now.Before(t.coldUntil) }

// coldWait returns the time until the target may be sent a request if it is cold; zero
// means now. An entry that doesn't know the other ones yet can't know its share, and sends
// few requests rather than none: after a restart of the whole fleet there may be no warm
// target. f.mu must be held.
func (f *fleet) coldWait(t *target, now time.Time) time.Duration {
	switch {
	case !f.isCold(t, now) || !f.coldRates.Limit(t.info.Instance()).Active:
		return 0
	case !f.shares.Settled(now):
		return max(t.assignedAt.Add(unsettledInterval).Sub(now), 0)
	}
	return f.coldRates.Wait(now, t.info.Instance())
}

// rateWait returns the time until this entry may send the target a request under the rate
// that it advertises and under its limit as a cold target. f.mu must be held.
func (f *fleet) rateWait(t *target, now time.Time) time.Duration {
	return max(f.rates.Wait(now, t.info.Instance()), f.coldWait(t, now))
}
