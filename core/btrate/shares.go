package btrate

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"bilberrytide/core/btrendezvous"
)

const (
	// minUsers is the number of entries that use a target with a rate close to zero.
	// With fewer, the rate would go unused for seconds after one of them has left.
	minUsers = 3
	// minRate is the lowest rate, in requests per second, at which a limited target is
	// sent requests: only its answers show that it accepts more again.
	minRate = 0.1
	// startDelay is how long an entry sends nothing to limited targets after it has
	// started or was suspended: until it knows the other entries and they know it.
	startDelay = 3 * time.Second
	// maxObserveInterval is the longest interval between two calls of ObserveEntries;
	// after a longer one the entry was suspended.
	maxObserveInterval = 2 * time.Second
	// maxEntriesTTL is how long the largest number of entries is used. An entry that is
	// cut off from all others must not take itself for the only one.
	maxEntriesTTL = time.Minute
)

// Shares decides which limited targets an entry uses, and its share of each rate. A few
// entries share a target, the first ones by rendezvous hashing: so each share is used
// up within seconds, and all entries agree without a message. Shares is not safe for
// concurrent use.
type Shares struct {
	self string
	// others are the addresses of the other entries, otherNames their string forms.
	others     []netip.AddrPort
	otherNames []string
	// observedAt is the time of the last ObserveEntries, allowedAt when the entry may
	// send.
	observedAt, allowedAt time.Time
	// maxEntries is the largest number of entries of the current period,
	// previousMaxEntries that of the period before.
	maxEntries, previousMaxEntries int
	periodStart                    time.Time
	// generation is incremented when the other entries or the number of entries change.
	generation uint64
}

// NewShares returns the shares of an entry that starts now and knows no other.
func NewShares(self netip.AddrPort, now time.Time) *Shares {
	return &Shares{self: self.String(), observedAt: now, allowedAt: now.Add(startDelay), periodStart: now, maxEntries: 1}
}

// ObserveEntries records the other known entries, ordered by address. If more than half
// have vanished, it is more likely that this entry is cut off, and it continues with
// those it knew: if each of many such entries took a whole rate, the target would be
// overrun.
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

// entryCount returns the largest recent number of entries.
func (s *Shares) entryCount() int { return max(s.maxEntries, s.previousMaxEntries) }

// suspended reports whether the entry was suspended since the last ObserveEntries.
func (s *Shares) suspended(now time.Time) bool { return now.Sub(s.observedAt) > maxObserveInterval }

// sendingAllowedAt returns when the entry may send to limited targets.
func (s *Shares) sendingAllowedAt(now time.Time) time.Time {
	if s.suspended(now) {
		return now.Add(startDelay)
	}
	return s.allowedAt
}

// Settled reports whether the entry knows the others and they know it: some seconds after
// its start, or after it was suspended.
func (s *Shares) Settled(now time.Time) bool { return !now.Before(s.sendingAllowedAt(now)) }

// EffectiveRate returns the rate at which a target that advertises perSecond is sent
// requests.
func EffectiveRate(perSecond float64) float64 { return max(perSecond, minRate) }

// Share returns the entry's share of the target's rate, in requests per second. It is
// zero if other entries use the target.
func (s *Shares) Share(target string, perSecond float64) float64 {
	perSecond = EffectiveRate(perSecond)
	users := min(s.entryCount(), minUsers+int(math.Ceil(perSecond)))
	if users < len(s.otherNames)+1 && btrendezvous.IndexOf(target, s.self, s.otherNames) >= users {
		return 0
	}
	return perSecond / float64(users)
}
