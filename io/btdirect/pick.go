package btdirect

import (
	"math/rand/v2"
	"time"

	"bilberrytide/core/btcatalog"
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
	// exhausted counts the targets that were skipped because their rate is used up.
	exhausted int
	// skipped holds the targets that were skipped though they are listed as ready.
	skipped []skippedTarget
}

// candidates are the targets to which a request may be sent.
type candidates struct {
	// best holds the most preferred targets, which have the same preference.
	best       []*target
	preference btpick.Preference
	// rateLimited holds those among them that advertise a rate.
	rateLimited map[*target]bool
	// exhausted holds the targets that may not be sent a request now because of their
	// rate.
	exhausted []*target
	// skipped holds the targets that are excluded though they are listed as ready, and those
	// that are leaving and still serve.
	skipped []skippedTarget
}

// add adds a target if no other one is preferred to it.
func (c *candidates) add(t *target, p btpick.Preference) {
	if len(c.best) > 0 && p > c.preference {
		return
	}
	if p < c.preference {
		c.best = c.best[:0]
	}
	c.best = append(c.best, t)
	c.preference = p
}

// pickRequest is a request for which a target is to be chosen.
type pickRequest struct {
	service   btid.Service
	residency btcatalog.Residency
	// tokens is the number of prompt tokens.
	tokens int
	tried  map[btinventory.Instance]bool
	// maxWait is the longest time that the request waits for a target's rate.
	maxWait time.Duration
}

// pick chooses one of the most preferred candidates for a request and assigns the request to
// it. If all candidates have rates that are used up, the request waits for the first that may
// be sent one, if that is within its maxWait.
func (f *fleet) pick(r pickRequest) choice {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock()
	s := f.service(r.service)
	found := f.candidates(s, r, now)
	if len(found.best) == 0 {
		c := f.pickExhausted(s, found.exhausted, r, now)
		c.exhausted = len(found.exhausted)
		c.skipped = found.skipped
		return c
	}
	compared := make([]btpick.Candidate, len(found.best))
	for i, t := range found.best {
		compared[i] = btpick.Candidate{
			Requests:      t.requests,
			PendingTokens: t.pendingTokens,
			OtherRequests: t.otherRequests(now),
			Local:         t.info.DataCentre == f.dataCentre,
			Slowdown:      t.pace,
			AlwaysCompare: found.rateLimited[t],
		}
	}
	t := found.best[btpick.Pick(compared, rand.IntN)]
	f.assign(s, t, r.tokens, now, 0)
	return choice{target: t, exhausted: len(found.exhausted), skipped: found.skipped}
}

// candidates returns the service's targets that the request may be sent to: those in its home
// regions that it hasn't tried, that aren't excluded and whose rates allow it. f.mu must be
// held.
func (f *fleet) candidates(s *service, r pickRequest, now time.Time) candidates {
	c := candidates{rateLimited: make(map[*target]bool, f.rates.ActiveLimits())}
	for _, t := range s.targets {
		if !f.isHome(r.residency, t) {
			continue
		}
		exclusion, end := f.exclusion(t, now)
		leavingEnd, leaving := f.leavingEnd(t)
		if leaving && exclusion != btpick.Leaving {
			c.skipped = append(c.skipped, skippedTarget{instance: t.info.Instance(), exclusion: btpick.Leaving, end: leavingEnd})
		}
		if exclusion != "" {
			c.skipped = appendSkipped(c.skipped, t, exclusion, end)
			continue
		}
		if r.tried[t.info.Instance()] {
			continue
		}
		// The rate of an overloaded or cold target is for all entries together. Entries
		// that each sent that much would overload it further.
		if f.rateWait(t, now) > 0 {
			f.rates.CountSkipped(t.info.Instance())
			c.exhausted = append(c.exhausted, t)
			continue
		}
		if f.rates.Limit(t.info.Instance()).Active {
			c.rateLimited[t] = true
		}
		c.add(t, f.preference(s, t, leaving, now))
	}
	return c
}

// pickExhausted assigns a request to the target that is the first to accept another one
// under its rate. f.mu must be held.
func (f *fleet) pickExhausted(s *service, exhausted []*target, r pickRequest, now time.Time) choice {
	var next choice
	for _, t := range exhausted {
		wait := f.rateWait(t, now)
		if next.target == nil || wait < next.wait {
			next = choice{target: t, wait: wait}
		}
	}
	if next.target == nil {
		return choice{}
	}
	if next.wait > r.maxWait {
		return choice{wait: next.wait}
	}
	f.assign(s, next.target, r.tokens, now, next.wait)
	return next
}

// assign counts a request at a target, to which it is sent after the wait. f.mu must be
// held.
func (f *fleet) assign(s *service, t *target, tokens int, now time.Time, wait time.Duration) {
	s.recordProbe(t, now)
	f.rates.Take(t.info.Instance())
	f.coldRates.Take(t.info.Instance())
	t.sentAt = now.Add(wait)
	t.requests++
	t.pendingTokens += tokens
}

// unassign undoes assign for a request that is not sent.
func (f *fleet) unassign(t *target, tokens int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rates.Refund(t.info.Instance())
	f.coldRates.Refund(t.info.Instance())
	t.requests--
	t.pendingTokens -= tokens
}
