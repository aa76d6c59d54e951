package btrate

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"bilberrytide/core/btrendezvous"
)

const (
	// minUsers is how many entries use a target whose rate is near none: with fewer the
	// rate would lie idle for seconds after one of them has gone.
	minUsers = 3
	// minRate is the rate, in requests a second, that a target is asked at which names
	// a lower one, or none at all: only its answers tell that it takes more again.
	minRate = 0.1
	// startDelay is for how long an entry that has just started, or stood still, sends
	// nothing to a target that names a rate: until it knows the others, and they it.
	startDelay = 3 * time.Second
	// maxObserveInterval is how often an entry looks at whom it knows at the least; after a
	// longer pause it has stood still.
	maxObserveInterval = 2 * time.Second
	// maxEntriesTTL is for how long the largest number of entries counts: one that is
	// cut off from all others must not take itself for the only one.
	maxEntriesTTL = time.Minute
)

// Shares tells an entry which targets that name a rate it uses, and its part of each
// rate. A few entries share a target, the best by rendezvous hashing, so that each has a
// part which is used up within seconds, and all of them agree without a message. It is not
// safe for concurrent use.
type Shares struct {
	self string
	// others are the others, others their names.
	others     []netip.AddrPort
	otherNames []string
	// observedAt is when the others were looked at last, allowedAt from when the entry may
	// send.
	observedAt, allowedAt time.Time
	// maxEntries is the largest number of entries of this span of time, previousMaxEntries of the last one.
	maxEntries, previousMaxEntries int
	periodStart                    time.Time
	// generation changes with the others, and with how many count.
	generation uint64
}

// NewShares returns the shares of an entry that starts now and knows no other.
func NewShares(self netip.AddrPort, now time.Time) *Shares {
	return &Shares{self: self.String(), observedAt: now, allowedAt: now.Add(startDelay), periodStart: now, maxEntries: 1}
}

// ObserveEntries takes in which other entries are known, in the order of their addresses. Where
// more than half have vanished it is rather this entry that is cut off, and it goes on by
// those that it knew: alone, each of many that are cut off would take a whole part.
func (s *Shares) ObserveEntries(now time.Time, others []netip.AddrPort) {
	if now.Sub(s.observedAt) > maxObserveInterval {
		s.allowedAt = now.Add(startDelay)
	}
	s.observedAt = now
	before := s.entryCount()
	if now.Sub(s.periodStart) >= maxEntriesTTL/2 {
		s.previousMaxEntries = s.maxEntries
		s.maxEntries = 0
		s.periodStart = now
	}
	s.maxEntries = max(s.maxEntries, len(others)+1)
	if s.entryCount() != before {
		s.generation++
	}
	vanished := 2*(len(others)+1) < s.entryCount()
	if vanished || slices.Equal(others, s.others) {
		return
	}
	s.others = slices.Clone(others)
	s.otherNames = make([]string, len(others))
	for i, a := range others {
		s.otherNames[i] = a.String()
	}
	s.generation++
}

// entryCount is how many there were at the most of late.
func (s *Shares) entryCount() int { return max(s.maxEntries, s.previousMaxEntries) }

// suspended tells whether the entry has stood still since it last looked at the others.
func (s *Shares) suspended(now time.Time) bool { return now.Sub(s.observedAt) > maxObserveInterval }

// sendingAllowedAt is from when the entry may send to targets that name a rate.
func (s *Shares) sendingAllowedAt(now time.Time) time.Time {
	if s.suspended(now) {
		return now.Add(startDelay)
	}
	return s.allowedAt
}

// EffectiveRate returns the rate at which a target is sent requests that names one.
func EffectiveRate(perSecond float64) float64 { return max(perSecond, minRate) }

// Share returns the entry's part of the target's rate, in requests a second; zero where
// others use it.
func (s *Shares) Share(target string, perSecond float64) float64 {
	perSecond = EffectiveRate(perSecond)
	users := min(s.entryCount(), minUsers+int(math.Ceil(perSecond)))
	if users < len(s.otherNames)+1 && btrendezvous.Place(target, s.self, s.otherNames) >= users {
		return 0
	}
	return perSecond / float64(users)
}
