package btrate_test

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btrate"
)

// entryAddresses returns n entry addresses.
func entryAddresses(n int) []netip.AddrPort {
	list := make([]netip.AddrPort, n)
	for i := range list {
		list[i] = entryAddress(i)
	}
	return list
}

// without returns all addresses but the one at i.
func without(list []netip.AddrPort, i int) []netip.AddrPort {
	return slices.Delete(slices.Clone(list), i, i+1)
}

// fleetShares returns the shares of n entries that know each other.
func fleetShares(n int, now time.Time) []*btrate.Shares {
	list := entryAddresses(n)
	all := make([]*btrate.Shares, n)
	for i := range all {
		all[i] = btrate.NewShares(list[i], now)
		all[i].ObserveEntries(now, without(list, i))
	}
	return all
}

// Entries that know each other together use the whole rate and no more.
func TestSharesAddUpToTheRate(t *testing.T) {
	for _, n := range []int{1, 4, 35, 380} {
		all := fleetShares(n, start)
		for _, rate := range []float64{0.1, 0.2, 1, 1.1, 10, 100} {
			for target := range 20 {
				sum, users := 0.0, 0
				for _, s := range all {
					share := s.Share(fmt.Sprint(target), rate)
					sum += share
					if share > 0 {
						users++
					}
				}
				assert.Check(t, sum > rate*0.999 && sum < rate*1.001, "%d entries, %v a second: %v", n, rate, sum)
				assert.Check(t, users <= 4+int(rate), "%d entries use %v a second", users, rate)
			}
		}
	}
}

// A target that advertises a rate of zero still gets occasional requests, as only its
// answers show that it accepts requests again.
func TestTargetWithZeroRateIsProbed(t *testing.T) {
	sum := 0.0
	for _, s := range fleetShares(35, start) {
		sum += s.Share("target", 0)
	}
	assert.Check(t, sum > 0.05 && sum < 0.2, "%v a second", sum)
}

// Guards against overload by partitioned entries: an entry that is cut off from all
// others keeps the share it had. If each of forty took itself for the only one, they
// would send forty times the rate.
func TestPartitionedEntryKeepsItsShare(t *testing.T) {
	list := entryAddresses(40)
	sum := 0.0
	for i := range list {
		s := btrate.NewShares(list[i], start)
		s.ObserveEntries(start, without(list, i))
		for ms := range 40 {
			s.ObserveEntries(at(1000*ms), nil)
		}
		sum += s.Share("target", 1)
	}
	assert.Check(t, sum < 1.001, "%v a second", sum)
}

// After entries are removed for good, the others use the whole rate again.
func TestSharesOfRemovedEntriesAreRedistributed(t *testing.T) {
	list := entryAddresses(8)
	left := list[:3]
	sum := 0.0
	for i := range left {
		s := btrate.NewShares(list[i], start)
		s.ObserveEntries(start, without(list, i))
		for second := range 120 {
			s.ObserveEntries(at(1000*second), without(left, i))
		}
		sum += s.Share("target", 100)
	}
	assert.Check(t, sum > 99.9 && sum < 100.1, "%v a second", sum)
}

// BenchmarkShare measures the rank of one entry among 380, which is recomputed for each
// limited target when an entry comes or goes.
func BenchmarkShare(b *testing.B) {
	list := entryAddresses(380)
	s := btrate.NewShares(list[0], start)
	s.ObserveEntries(start, list[1:])
	for b.Loop() {
		s.Share("i-00c0ffee00", 1)
	}
}
