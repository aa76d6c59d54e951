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

// updateCold sets or ends a target's limit as a cold target; perSecond is zero if the
// service has none. After a drain, targets count as cold for recordDelay, as their records
// may be older. f.mu must be held.
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

// coldWait returns the time until a cold target may be sent a request; zero means now. An
// entry that doesn't know the others yet sends few requests rather than none: after a
// restart of the whole fleet no target may be warm. f.mu must be held.
func (f *fleet) coldWait(t *target, now time.Time) time.Duration {
	switch {
	case !f.isCold(t, now) || !f.coldRates.Limit(t.info.Instance()).Active:
		return 0
	case !f.shares.Settled(now):
		return max(t.sentAt.Add(unsettledInterval).Sub(now), 0)
	}
	return f.coldRates.Wait(now, t.info.Instance())
}

// settled reports whether this entry knows the other ones and they know it.
func (f *fleet) settled(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.shares.Settled(now)
}

// rateWait returns the time until this entry may send the target a request under the rate
// that it advertises and under its limit as a cold target. f.mu must be held.
func (f *fleet) rateWait(t *target, now time.Time) time.Duration {
	return max(f.rates.Wait(now, t.info.Instance()), f.coldWait(t, now))
}
