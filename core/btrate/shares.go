package btrate

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"bilberrytide/core/btrendezvous"
)

const (
	// usersLeast is how many entries use a target whose rate is near none: with fewer the
	// rate would lie idle for seconds after one of them has gone.
	usersLeast = 3
	// askedLeast is the rate, in requests a second, that a target is asked at which names
	// a lower one, or none at all: only its answers tell that it takes more again.
	askedLeast = 0.1
	// settleTime is for how long an entry that has just started, or stood still, sends
	// nothing to a target that names a rate: until it knows the others, and they it.
	settleTime = 3 * time.Second
	// observedEvery is how often an entry looks at whom it knows at the least; after a
	// longer pause it has stood still.
	observedEvery = 2 * time.Second
	// rememberEntries is for how long the largest number of entries counts: one that is
	// cut off from all others must not take itself for the only one.
	rememberEntries = time.Minute
)

// Shares tells an entry which targets that name a rate it uses, and its part of each
// rate. A few entries share a target, the best by rendezvous hashing, so that each has a
// part which is used up within seconds, and all of them agree without a message. It is not
// safe for concurrent use.
type Shares struct {
	self string
	// list are the others, others their names.
	list   []netip.AddrPort
	others []string
	// observed is when the others were looked at last, settled from when the entry may
	// send.
	observed, settled time.Time
	// most is the largest number of entries of this span of time, before of the last one.
	most, before int
	span         time.Time
	// generation changes with the others, and with how many count.
	generation uint64
}

// NewShares returns the shares of an entry that starts now and knows no other.
func NewShares(self netip.AddrPort, now time.Time) *Shares {
	return &Shares{self: self.String(), observed: now, settled: now.Add(settleTime), span: now, most: 1}
}

// Observe takes in which other entries are known, in the order of their addresses. Where
// more than half have vanished it is rather this entry that is cut off, and it goes on by
// those that it knew: alone, each of many that are cut off would take a whole part.
func (s *Shares) Observe(now time.Time, others []netip.AddrPort) {
	if now.Sub(s.observed) > observedEvery {
		s.settled = now.Add(settleTime)
	}
	s.observed = now
	before := s.entries()
	if now.Sub(s.span) >= rememberEntries/2 {
		s.before = s.most
		s.most = 0
		s.span = now
	}
	s.most = max(s.most, len(others)+1)
	if s.entries() != before {
		s.generation++
	}
	vanished := 2*(len(others)+1) < s.entries()
	if vanished || slices.Equal(others, s.list) {
		return
	}
	s.list = slices.Clone(others)
	s.others = make([]string, len(others))
	for i, a := range others {
		s.others[i] = a.String()
	}
	s.generation++
}

// entries is how many there were at the most of late.
func (s *Shares) entries() int { return max(s.most, s.before) }

// suspended tells whether the entry has stood still since it last looked at the others.
func (s *Shares) suspended(now time.Time) bool { return now.Sub(s.observed) > observedEvery }

// settledAt is from when the entry may send to targets that name a rate.
func (s *Shares) settledAt(now time.Time) time.Time {
	if s.suspended(now) {
		return now.Add(settleTime)
	}
	return s.settled
}

// Asked returns the rate at which a target is sent requests that names one.
func Asked(perSecond float64) float64 { return max(perSecond, askedLeast) }

// Of returns the entry's part of the target's rate, in requests a second; zero where
// others use it.
func (s *Shares) Of(target string, perSecond float64) float64 {
	perSecond = Asked(perSecond)
	users := min(s.entries(), usersLeast+int(math.Ceil(perSecond)))
	if users < len(s.others)+1 && btrendezvous.Place(target, s.self, s.others) >= users {
		return 0
	}
	return perSecond / float64(users)
}
