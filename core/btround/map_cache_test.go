package btround_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btassert"
	"bilberrytide/core/btexpert"
	"bilberrytide/core/btround"
)

// TestMapCacheKeepsActiveMap guards against evicting the active map during a series of
// failed rounds, as with duelling leads. The next round's changes still
// refer to that map.
func TestMapCacheKeepsActiveMap(t *testing.T) {
	const inForce = 7
	m := btround.NewMapCache()
	layers := []btexpert.Layer{{Ranks: [][]btexpert.Expert{{3}}}}
	m.Put(inForce, layers, 0)
	for v := btround.Version(8); v < 100; v++ {
		m.Put(v, nil, inForce)
		got, found := m.Get(inForce)
		assert.Assert(t, found, "after version %d", v)
		assert.DeepEqual(t, got, layers)
		_, found = m.Get(v)
		assert.Assert(t, found)
	}
	_, found := m.Get(50)
	assert.Assert(t, !found, "the map of a failed round is still cached")
	// Once another map is active, the old one is evicted in turn.
	for v := btround.Version(100); v < 110; v++ {
		m.Put(v, nil, 99)
	}
	_, found = m.Get(inForce)
	assert.Assert(t, !found)
}

// TestRetryNowResendsCommand guards against waiting the retry interval for a rank that
// couldn't apply an instruction.
func TestRetryNowResendsCommand(t *testing.T) {
	asserter := btassert.New(btassert.SinkFunc(func(btassert.Violation) {}))
	lead := btround.NewLead(btround.Defaults(), "g", 0, 0, asserter)
	now := time.Unix(1000, 0)
	for r := range 2 {
		lead.HandleReport(now, btround.State{Rank: btexpert.Rank(r), Size: 2, Group: "g", Epoch: 1, Open: true, Pace: 1}, 0)
	}
	_, begun := lead.Begin(now, btround.Proposal{Layers: []btexpert.Layer{{Ranks: make([][]btexpert.Expert, 2)}}})
	assert.Assert(t, begun)
	commands := lead.Poll(now)
	assert.Equal(t, len(commands), 2)
	now = now.Add(10 * time.Millisecond)
	assert.Equal(t, len(lead.Poll(now)), 0)
	lead.RetryNow(commands[1].Round+1, 1)
	assert.Equal(t, len(lead.Poll(now)), 0, "retried a command of another round")
	lead.RetryNow(commands[1].Round, 1)
	again := lead.Poll(now)
	assert.Equal(t, len(again), 1)
	assert.Equal(t, again[0].Rank, btexpert.Rank(1))
}
