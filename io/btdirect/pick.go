package btdirect

import (
	"math/rand/v2"
	"time"

	"bilberrytide/core/btid"
	"bilberrytide/core/btinventory"
	"bilberrytide/core/btpick"
)

// choice is the result of choosing a target. target is nil if there is none.
type choice struct {
	target *target
	// wait is how long to wait before the request is sent to the target, which
	// advertises a rate. Without a target it is the wait until such a target may be
	// sent a request, or zero if there is none either.
	wait time.Duration
	// skipped counts the targets that were skipped because their rate is used up.
	skipped int
	// resting holds the targets that were skipped because they rest.
	resting []skippedTarget
	// leaving holds the targets that were skipped because they are leaving.
	leaving []skippedTarget
}

// candidates are the targets to which a request may be sent, in order of preference.
type candidates struct {
	usable, slow, recovering, leaving, silent, failing, broken, failingAndBroken []*target
	// rateLimited holds those among them that advertise a rate.
	rateLimited map[*target]bool
	// exhausted holds the targets that may not be sent a request now because of their
	// rate.
	exhausted []*target
	// resting holds the targets that rest, left those that have announced that they are
	// leaving, whether they are still sent requests or not.
	resting, left []skippedTarget
}

// best returns the most preferred targets that exist.
func (c *candidates) best() []*target {
	for _, list := range [][]*target{c.usable, c.slow, c.recovering, c.leaving, c.silent, c.failing, c.broken, c.failingAndBroken} {
		if len(list) > 0 {
			return list
		}
	}
	return nil
}

// pick chooses a target for a request and assigns the request to it. It skips targets
// that the request has tried, those that rest, and those that advertise a rate of which
// this entry's share is used up. It avoids targets that are slow, have as many requests as
// they are sent after a rest, are leaving, are silent, have failed recently, are in a broken group, or
// both of the last two, and uses them, in this order, only if there are no others. If only rates are in the way, the request waits for the first
// target that may be sent one, if that is within maxWait.
func (f *fleet) pick(name btid.Service, tokens int, tried map[btinventory.Instance]bool, maxWait time.Duration) choice {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock()
	s := f.service(name)
	sorted := f.candidates(s, tried, now)
	list := sorted.best()
	if len(list) == 0 {
		c := f.pickExhausted(s, sorted.exhausted, tokens, maxWait, now)
		c.skipped = len(sorted.exhausted)
		c.resting, c.leaving = sorted.resting, sorted.left
		return c
	}
	compared := make([]btpick.Candidate, len(list))
	for i, t := range list {
		compared[i] = btpick.Candidate{
			Requests:      t.requests,
			PendingTokens: t.pendingTokens,
			OtherRequests: t.otherRequests(now),
			Local:         t.info.DataCentre == f.dataCentre,
			Slowdown:      t.pace,
			AlwaysCompare: sorted.rateLimited[t],
		}
	}
	t := list[btpick.Pick(compared, rand.IntN)]
	f.assign(s, t, tokens, now)
	return choice{target: t, skipped: len(sorted.exhausted), resting: sorted.resting, leaving: sorted.left}
}

// candidates sorts the service's targets by preference. f.mu must be held.
func (f *fleet) candidates(s *service, tried map[btinventory.Instance]bool, now time.Time) candidates {
	c := candidates{rateLimited: make(map[*target]bool, f.rates.ActiveLimits())}
	for _, t := range s.targets {
		if t.state != btinventory.Ready || now.Before(t.replacedUntil) {
			continue
		}
		leavingEnd, leaving := f.leavingEnd(t)
		if leaving {
			c.left = append(c.left, skippedTarget{instance: t.info.Instance(), end: leavingEnd})
			if !now.Before(leavingEnd) {
				continue
			}
		}
		if end, resting := f.notices.RestEnd(now, t.info.Instance()); resting {
			c.resting = append(c.resting, skippedTarget{instance: t.info.Instance(), end: end})
			continue
		}
		if tried[t.info.Instance()] {
			continue
		}
		// The rate that an overloaded target advertises is for all entries together.
		// Entries that each sent that much would overload it further.
		if f.rates.Limit(t.info.Instance()).Active {
			if f.rates.Wait(now, t.info.Instance()) > 0 {
				f.rates.CountSkipped(t.info.Instance())
				c.exhausted = append(c.exhausted, t)
				continue
			}
			c.rateLimited[t] = true
		}
		switch {
		case s.skipsGroup(t, now) && now.Before(t.suspendedUntil):
			c.failingAndBroken = append(c.failingAndBroken, t)
		case s.skipsGroup(t, now):
			c.broken = append(c.broken, t)
		case now.Before(t.suspendedUntil):
			c.failing = append(c.failing, t)
		case s.silent(t, now):
			c.silent = append(c.silent, t)
		case leaving:
			c.leaving = append(c.leaving, t)
		case f.windowFull(t):
			c.recovering = append(c.recovering, t)
		case t.skippedAsSlow(now):
			c.slow = append(c.slow, t)
		default:
			c.usable = append(c.usable, t)
		}
	}
	return c
}

// pickExhausted assigns a request to the target that is the first to accept another one
// under its rate. f.mu must be held.
func (f *fleet) pickExhausted(s *service, exhausted []*target, tokens int, maxWait time.Duration, now time.Time) choice {
	var next choice
	for _, t := range exhausted {
		wait := f.rates.Wait(now, t.info.Instance())
		if next.target == nil || wait < next.wait {
			next = choice{target: t, wait: wait}
		}
	}
	if next.target == nil {
		return choice{}
	}
	if next.wait > maxWait {
		return choice{wait: next.wait}
	}
	f.assign(s, next.target, tokens, now)
	return next
}

// assign counts a request at a target. f.mu must be held.
func (f *fleet) assign(s *service, t *target, tokens int, now time.Time) {
	s.recordProbe(t, now)
	f.rates.Take(t.info.Instance())
	t.requests++
	t.pendingTokens += tokens
}

// unassign undoes assign for a request that is not sent.
func (f *fleet) unassign(t *target, tokens int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rates.Refund(t.info.Instance())
	t.requests--
	t.pendingTokens -= tokens
}
