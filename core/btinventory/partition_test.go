package btinventory_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"reflect"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btinventory"
	"bilberrytide/core/btwire"
)

// fleetTargets returns the records of n ranks.
func fleetTargets(n int) []btinventory.Target {
	var list []btinventory.Target
	for i := range n {
		list = append(list, btinventory.Target{
			ID: btinventory.ID(fmt.Sprintf("i-%08x", i*2654435761)), Service: "wave-assistant", DataCentre: "kathmandu-a", Slots: 6, State: btinventory.Ready,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 8000), Start: 1_780_000_000_000_000_000, Created: 1 << 20,
			Member: &btinventory.Member{Group: "g0", Rank: i, Size: n},
		})
	}
	return list
}

func sortedByID(list []btinventory.Target) []btinventory.Target {
	sorted := slices.Clone(list)
	slices.SortFunc(sorted, func(a, b btinventory.Target) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return sorted
}

// Guards against a list that differs from its sender's after the differing cells were
// exchanged, for any mix of added, changed and removed targets.
func TestReplacedCellsYieldSenderList(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		known := fleetTargets(r.IntN(300))
		sent := fleetTargets(r.IntN(300))
		for i := range sent {
			if r.IntN(20) == 0 {
				sent[i].State = btinventory.Draining
			}
		}
		r.Shuffle(len(sent), func(i, j int) { sent[i], sent[j] = sent[j], sent[i] })
		cells := btinventory.NewCellDigests(sent).Differing(btinventory.NewCellDigests(known))
		got := cells.Replace(known, cells.Select(sent))
		assert.Assert(t, reflect.DeepEqual(sortedByID(got), sortedByID(sent)))
	}
}

// Guards against traffic that grows with the fleet at each change of one target: the whole
// list was sent to every entry and agent.
func TestChangeOfOneTargetIsSentInBoundedSize(t *testing.T) {
	const bound = 8 << 10
	for _, n := range []int{192, 768, 1536} {
		before := fleetTargets(n)
		after := slices.Clone(before)
		after[n/2].State = btinventory.Draining
		cells := btinventory.NewCellDigests(after).Differing(btinventory.NewCellDigests(before))
		assert.Equal(t, cells.Len(), 1)
		whole, err := btwire.Encode(btinventory.Roster{Targets: after})
		assert.NilError(t, err)
		part, err := btwire.Encode(btinventory.Roster{Targets: cells.Select(after)})
		assert.NilError(t, err)
		t.Logf("%d targets: %d B of %d B", n, len(part), len(whole))
		assert.Assert(t, len(part) <= bound)
	}
}

// Guards against a partial list for a process that has none, or that can't replace cells.
func TestMissingOrEqualDigestsSelectWholeList(t *testing.T) {
	list := fleetTargets(10)
	digests := btinventory.NewCellDigests(list)
	assert.NilError(t, digests.Validate())
	assert.NilError(t, btinventory.CellDigests(nil).Validate())
	assert.Assert(t, digests[1:].Validate() != nil)
	for _, cells := range []btinventory.CellSet{digests.Differing(nil), digests.Differing(digests)} {
		assert.Equal(t, cells.Len(), 64)
		assert.Assert(t, reflect.DeepEqual(cells.Select(list), list))
		assert.Assert(t, reflect.DeepEqual(cells.Replace(fleetTargets(3), list), list))
	}
	assert.Assert(t, reflect.DeepEqual(btinventory.CellSet(0).Replace(fleetTargets(3), list), list))
}

// BenchmarkCellDigests measures the time to compute the digests of a fleet's list, once for
// each change.
func BenchmarkCellDigests(b *testing.B) {
	list := fleetTargets(768)
	for b.Loop() {
		btinventory.NewCellDigests(list)
	}
}
