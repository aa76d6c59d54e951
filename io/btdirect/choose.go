package btdirect

import (
	"math/rand/v2"
	"time"

	"bilberrytide/core/btid"
	"bilberrytide/core/btinventory"
	"bilberrytide/core/btpick"
)

// choice is the target that was chosen for a request, if there is any.
type choice struct {
	target *target
	// wait is how long it takes until the target may be sent the request, which has its
	// place there. Without a target it is when a place is expected at one that names a
	// rate; zero where there is none either.
	wait time.Duration
	// limited is how many targets were passed over for the rates that they name.
	limited int
}

// candidates are the targets that a request may be sent to, by how well they are.
type candidates struct {
	usable, slow, quiet, failing, broken, last []*target
	// scarce are those among them that name a rate.
	scarce map[*target]bool
	// limited are those that may not be sent a request now.
	limited []*target
}

// best returns the best ones that there are.
func (c *candidates) best() []*target {
	for _, list := range [][]*target{c.usable, c.slow, c.quiet, c.failing, c.broken, c.last} {
		if len(list) > 0 {
			return list
		}
	}
	return nil
}

// pick chooses a target for a request and counts the request there. It passes over those
// that the request has tried, those that name a rate of which nothing is left for this
// entry now, and, unless there is no other, those that are slow, that have fallen silent,
// that failed of late, whose group is broken, or both of these last. Where only a rate is
// in the way the request gets the next place, if that is there within its patience.
func (f *fleet) pick(name btid.Service, tokens int, tried map[btinventory.Instance]bool, patience time.Duration) choice {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock()
	s := f.service(name)
	all := f.candidates(s, tried, now)
	list := all.best()
	if len(list) == 0 {
		c := f.pickLimited(s, all.limited, tokens, patience, now)
		c.limited = len(all.limited)
		return c
	}
	compared := make([]btpick.Candidate, len(list))
	for i, t := range list {
		compared[i] = btpick.Candidate{
			Requests:      t.requests,
			PendingTokens: t.tokens,
			OtherRequests: t.others(now),
			Local:         t.info.DataCentre == f.near,
			Slowdown:      t.pace,
			AlwaysCompare: all.scarce[t],
		}
	}
	t := list[btpick.Pick(compared, rand.IntN)]
	f.placed(s, t, tokens, now)
	return choice{target: t, limited: len(all.limited)}
}

// candidates sorts the service's targets. The lock is held.
func (f *fleet) candidates(s *service, tried map[btinventory.Instance]bool, now time.Time) candidates {
	c := candidates{scarce: make(map[*target]bool, f.rates.ActiveLimits())}
	for _, t := range s.targets {
		if t.state != btinventory.Ready || tried[t.info.Instance()] || now.Before(t.replaced) {
			continue
		}
		// A target in need gets no more than it names of all entries together: each that
		// sent by itself what the target takes of all would overrun it.
		if f.rates.Limit(t.info.Instance()).Active {
			if f.rates.Wait(now, t.info.Instance()) > 0 {
				f.rates.CountSkipped(t.info.Instance())
				c.limited = append(c.limited, t)
				continue
			}
			c.scarce[t] = true
		}
		switch {
		case s.closed(t, now) && now.Before(t.suspended):
			c.last = append(c.last, t)
		case s.closed(t, now):
			c.broken = append(c.broken, t)
		case now.Before(t.suspended):
			c.failing = append(c.failing, t)
		case s.quiet(t, now):
			c.quiet = append(c.quiet, t)
		case t.passedOver(now):
			c.slow = append(c.slow, t)
		default:
			c.usable = append(c.usable, t)
		}
	}
	return c
}

// pickLimited gives a request the next place at the targets whose rates are used up. The
// lock is held.
func (f *fleet) pickLimited(s *service, limited []*target, tokens int, patience time.Duration, now time.Time) choice {
	var next choice
	for _, t := range limited {
		wait := f.rates.Wait(now, t.info.Instance())
		if next.target == nil || wait < next.wait {
			next = choice{target: t, wait: wait}
		}
	}
	if next.target == nil {
		return choice{}
	}
	if next.wait > patience {
		return choice{wait: next.wait}
	}
	f.placed(s, next.target, tokens, now)
	return next
}

// placed counts a request at a target. The lock is held.
func (f *fleet) placed(s *service, t *target, tokens int, now time.Time) {
	s.probed(t, now)
	f.rates.Take(t.info.Instance())
	t.requests++
	t.tokens += tokens
}

// unplaced takes back that a request is at a target, as it is not sent there.
func (f *fleet) unplaced(t *target, tokens int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rates.Refund(t.info.Instance())
	t.requests--
	t.tokens -= tokens
}
