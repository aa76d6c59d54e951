package btrelay_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btrelay"
)

func all(int) bool { return true }

// TestLoadSendersShareEntries guards against entries that get the load from no agent or
// from two, and against an agent that sends to more than eight. The lead sends to a few
// entries itself.
func TestLoadSendersShareEntries(t *testing.T) {
	for _, entries := range []int{1, 8, 9, 35, 380} {
		senders := btrelay.LoadSenders(192, 0, entries, all)
		if entries <= btrelay.EntriesPerSender {
			assert.Equal(t, len(senders), 0)
			continue
		}
		list := make([]int, entries)
		for i := range list {
			list[i] = i
		}
		assigned := make(map[int]int)
		ranks := make(map[int]bool)
		for i, r := range senders {
			assert.Assert(t, r > 0 && r < 192)
			ranks[r] = true
			share := btrelay.Share(list, i, len(senders))
			assert.Assert(t, len(share) <= btrelay.EntriesPerSender, "%d entries: %d", entries, len(share))
			for _, e := range share {
				assigned[e]++
			}
		}
		assert.Equal(t, len(ranks), len(senders))
		assert.Equal(t, len(assigned), entries)
		for _, n := range assigned {
			assert.Equal(t, n, 1)
		}
	}
}

// TestLoadSendersAreAvailable guards against choosing unavailable agents or the lead.
func TestLoadSendersAreAvailable(t *testing.T) {
	odd := func(r int) bool { return r%2 == 1 }
	for _, r := range btrelay.LoadSenders(192, 1, 35, odd) {
		assert.Assert(t, r%2 == 1 && r != 1, "rank %d", r)
	}
	few := btrelay.LoadSenders(192, 0, 380, func(r int) bool { return r < 4 })
	assert.DeepEqual(t, few, []int{1, 2, 3})
	assert.Equal(t, len(btrelay.LoadSenders(192, 0, 35, func(int) bool { return false })), 0)
}
