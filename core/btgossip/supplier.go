package btgossip

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// The first few entries in the reading order read the platform's list, the others receive
// it from one of them, their supplier. If all entries that miss the list read the platform,
// its calls grow with the fleet, so only the next few in the order substitute for the first.

// CompareReaders compares two entries by the reading order. It is by a hash of their
// addresses, as hosts with similar addresses often fail or are partitioned together.
func CompareReaders(a, b netip.AddrPort) int {
	return cmp.Or(cmp.Compare(xxhash.Sum64String(a.String()), xxhash.Sum64String(b.String())), a.Compare(b))
}

// Rank returns the number of known entries that are before this one in the reading order.
func (m *Membership) Rank() int {
	i, _ := slices.BinarySearchFunc(m.readingOrder, m.self, CompareReaders)
	return i
}

const (
	// probesPerWindow is how many entries are contacted among the first few, and then among
	// each larger number of them.
	probesPerWindow = 4
	// maxWindows bounds the doublings, and so the substitutes that have to be found.
	maxWindows = 2
	// substituteDelay is the additional wait of later substitutes, so that earlier ones are
	// found first. supplierExtraWait is the additional wait while a supplier answers.
	substituteDelay   = 250 * time.Millisecond
	supplierExtraWait = 500 * time.Millisecond
	// retryDelay is the time until a failed read is repeated. It doubles up to
	// maxRetryDelay for all but the first few. It bounds how precisely an entry detects the
	// end of an outage.
	retryDelay    = 400 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond
	// SearchInterval is the interval of contacts while an entry looks for a supplier, for
	// the first SearchProbes contacts.
	SearchInterval = 100 * time.Millisecond
	SearchProbes   = (maxWindows + 1) * probesPerWindow
)

// ObserveReply records whether an entry's reply had the platform's list as that entry has
// read it. A reply that is missing has none.
func (m *Membership) ObserveReply(from netip.AddrPort, hasList bool) {
	switch {
	case hasList && !m.supplier.IsValid():
		m.supplier = from
		m.probes = 0
	case !hasList && m.supplier == from:
		m.supplier = netip.AddrPort{}
	}
}

// Searches reports whether the entry looks for a supplier and has contacted few entries so
// far.
func (m *Membership) Searches() bool {
	return !m.supplier.IsValid() && len(m.sorted) > 0 && m.probes < SearchProbes
}

// supplierOrProbe returns the supplier, or an entry that may be one: of the first few in
// the reading order, then of twice as many and so on, and of the first few again.
func (m *Membership) supplierOrProbe(readers int, random *rand.Rand) netip.AddrPort {
	if m.supplier.IsValid() {
		return m.supplier
	}
	window := readers << (m.probes / probesPerWindow % (maxWindows + 1))
	m.probes++
	return m.readingOrder[random.IntN(min(window, len(m.readingOrder)))]
}

// Substitutes reports whether an entry that had to read the platform continues to do so for
// a while, so that others find it.
func (m *Membership) Substitutes(readers int) bool {
	return !m.supplier.IsValid() && m.Rank() < readers<<maxWindows
}

// RetryDelay returns the time until an entry repeats a read of the platform after so many
// failed ones.
func RetryDelay(rank, readers, failures int) time.Duration {
	if rank < readers {
		return retryDelay
	}
	return min(retryDelay<<max(min(failures, 8)-1, 0), maxRetryDelay)
}

// ExtraWait returns how much longer than usual this entry waits for a list before it reads
// the platform itself.
func (m *Membership) ExtraWait(readers int) time.Duration {
	if m.supplier.IsValid() {
		return supplierExtraWait
	}
	rank := m.Rank()
	for n := range maxWindows {
		if rank < readers<<(n+1) {
			return time.Duration(n) * substituteDelay
		}
	}
	return maxWindows * substituteDelay
}
