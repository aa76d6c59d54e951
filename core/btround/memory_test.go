package btround_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btassert"
	"bilberrytide/core/btexpert"
	"bilberrytide/core/btround"
)

// Rounds that come to nothing, one after the other, as two leads outrank each other:
// the changes of the next still refer to the map in force.
func TestTheMapInForceIsRemembered(t *testing.T) {
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
	assert.Assert(t, !found, "maps that came to nothing are forgotten")
	// Another one is in force; the old one goes in its turn.
	for v := btround.Version(100); v < 110; v++ {
		m.Put(v, nil, 99)
	}
	_, found = m.Get(inForce)
	assert.Assert(t, !found)
}

// A rank that can't follow an instruction is asked again at once, not after the wait
// for an answer.
func TestARankIsAskedAgainAtOnce(t *testing.T) {
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
	assert.Equal(t, len(lead.Poll(now)), 0, "of another round")
	lead.RetryNow(commands[1].Round, 1)
	again := lead.Poll(now)
	assert.Equal(t, len(again), 1)
	assert.Equal(t, again[0].Rank, btexpert.Rank(1))
}
