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

// members returns the addresses of so many entries.
func members(n int) []netip.AddrPort {
	list := make([]netip.AddrPort, n)
	for i := range list {
		list[i] = replayAddress(i)
	}
	return list
}

// without returns all addresses but one.
func without(list []netip.AddrPort, i int) []netip.AddrPort {
	return slices.Delete(slices.Clone(list), i, i+1)
}

// fleetShares returns the shares of each of some entries that know each other.
func fleetShares(n int, now time.Time) []*btrate.Shares {
	list := members(n)
	all := make([]*btrate.Shares, n)
	for i := range all {
		all[i] = btrate.NewShares(list[i], now)
		all[i].Observe(now, without(list, i))
	}
	return all
}

// Entries that know each other use the whole rate together and no more.
func TestPartsAddUpToTheRate(t *testing.T) {
	for _, n := range []int{1, 4, 35, 380} {
		all := fleetShares(n, start)
		for _, rate := range []float64{0.1, 0.2, 1, 1.1, 10, 100} {
			for target := range 20 {
				sum, users := 0.0, 0
				for _, s := range all {
					part := s.Of(fmt.Sprint(target), rate)
					sum += part
					if part > 0 {
						users++
					}
				}
				assert.Check(t, sum > rate*0.999 && sum < rate*1.001, "%d entries, %v a second: %v", n, rate, sum)
				assert.Check(t, users <= 4+int(rate), "%d entries use %v a second", users, rate)
			}
		}
	}
}

// Only a target's answers tell that it takes requests again.
func TestATargetThatTakesNothingIsAskedNowAndThen(t *testing.T) {
	sum := 0.0
	for _, s := range fleetShares(35, start) {
		sum += s.Of("target", 0)
	}
	assert.Check(t, sum > 0.05 && sum < 0.2, "%v a second", sum)
}

// An entry that is cut off from all others goes on by those that it knew: forty of them,
// each of which took itself for the only one, would send forty times the rate.
func TestAnEntryThatIsCutOffKeepsItsPart(t *testing.T) {
	list := members(40)
	sum := 0.0
	for i := range list {
		s := btrate.NewShares(list[i], start)
		s.Observe(start, without(list, i))
		for ms := range 40 {
			s.Observe(at(1000*ms), nil)
		}
		sum += s.Of("target", 1)
	}
	assert.Check(t, sum < 1.001, "%v a second", sum)
}

// Where entries are taken away for good the others use the rate again.
func TestThePartsOfThoseWhoAreGoneAreTakenUp(t *testing.T) {
	list := members(8)
	left := list[:3]
	sum := 0.0
	for i := range left {
		s := btrate.NewShares(list[i], start)
		s.Observe(start, without(list, i))
		for second := range 120 {
			s.Observe(at(1000*second), without(left, i))
		}
		sum += s.Of("target", 100)
	}
	assert.Check(t, sum > 99.9 && sum < 100.1, "%v a second", sum)
}

// The place of one entry among 380 is found anew for each limited target when an entry
// comes or goes.
func BenchmarkPart(b *testing.B) {
	list := members(380)
	s := btrate.NewShares(list[0], start)
	s.Observe(start, list[1:])
	for b.Loop() {
		s.Of("i-00c0ffee00", 1)
	}
}
