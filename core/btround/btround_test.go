package btround_test

import (
	"flag"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btexpert"
	"bilberrytide/core/btround"
)

var (
	seeds = flag.Int("round.seeds", 40, "seeds of each randomised run")
	first = flag.Uint64("round.first", 0, "the first seed")
)

func TestRoundsFollowEachOther(t *testing.T) {
	w := newWorld(1, 16, 0, 0)
	w.leadBy(0)
	w.run(20 * time.Second)
	assert.Equal(t, w.split, int64(0))
	assert.Assert(t, w.switches >= 15, "%d switches", w.switches)
	assert.Assert(t, w.longest <= 100*time.Millisecond, "held for %s", w.longest)
}

// TestNoStepOnTwoMaps has orders lost or carried out late, leads frozen, killed
// and replaced, and two leads at a time, and idle groups.
func TestNoStepOnTwoMaps(t *testing.T) {
	for i := range *seeds {
		seed := *first + uint64(i)
		w := newWorld(seed, 8, 0.35, 0.05)
		disturb(w)
		w.run(60 * time.Second)
		assert.Equal(t, w.split, int64(0), "seed %d", seed)
		assert.Assert(t, w.switches > 0, "seed %d: no map ever changed", seed)
		assert.Assert(t, w.longest < longestHold, "seed %d: held for %s", seed, w.longest)
	}
}

// longestHold is for how long a group may be held while leads are replaced every
// few seconds and a third of the orders are carried out late: two leads that go
// on outranking each other hold it for the whole run.
const longestHold = 15 * time.Second

// disturb changes who leads every few seconds.
func disturb(w *world) {
	w.leadBy(0)
	var again func()
	again = func() {
		w.after(w.millis(500, 4000), again)
		current := w.leads[len(w.leads)-1]
		switch w.random.IntN(5) {
		case 0:
			current.frozen = w.now.Add(w.millis(300, 4000))
			w.leadBy(btexpert.Rank(w.random.IntN(len(w.engines))))
		case 1:
			current.dead = true
			w.leadBy(btexpert.Rank(w.random.IntN(len(w.engines))))
		case 2:
			// The agents no longer report to it, but it still thinks it leads.
			current.hears = false
			w.leadBy(btexpert.Rank(w.random.IntN(len(w.engines))))
		case 3:
			w.leadBy(btexpert.Rank(w.random.IntN(len(w.engines))))
		case 4:
			w.busy = !w.busy
			w.after(w.millis(100, 3000), func() { w.busy = true })
		}
	}
	w.after(time.Second, again)
}

// TestNaiveSwitchSplits shows that the run finds a switch without a hold: arm
// all for a step and hope.
func TestNaiveSwitchSplits(t *testing.T) {
	for seed := range uint64(200) {
		w := newWorld(seed, 8, 0.35, 0.05)
		w.naive = true
		disturb(w)
		w.run(30 * time.Second)
		if w.split > 0 {
			return
		}
	}
	t.Fatal("no run of the naive switch had a step on two maps")
}

// TestHoldOfALostLeadEnds has the lead die while the group is held.
func TestHoldOfALostLeadEnds(t *testing.T) {
	found := 0
	for seed := range uint64(60) {
		w := newWorld(seed, 8, 0, 0)
		l := w.leadBy(0)
		for l.lead.Phase() != btround.Arming && w.now.Sub(w.start) < 20*time.Second {
			w.run(5 * time.Millisecond)
		}
		l.dead = true
		w.leadBy(3)
		w.run(3 * time.Second)
		if w.longest > 200*time.Millisecond {
			found++
		}
		assert.Assert(t, w.longest < 1500*time.Millisecond, "seed %d: held for %s", seed, w.longest)
		assert.Equal(t, w.split, int64(0), "seed %d", seed)
	}
	assert.Assert(t, found > 0, "no lead died while the group was held")
}

func TestVersionsOfTwoLeadsDiffer(t *testing.T) {
	v := btround.Version(0).Next(5)
	assert.Assert(t, v.Next(0) > v)
	assert.Assert(t, btround.Version(0).Next(6) != v)
}

func TestBallotsRise(t *testing.T) {
	b := btround.Ballot(0).Next(7)
	assert.Assert(t, b.Next(0) > b)
	assert.Assert(t, btround.Ballot(0).Next(8) != b)
}

func TestMalformedMessagesAreRefused(t *testing.T) {
	assert.ErrorIs(t, btround.State{Rank: 3, Size: 3}.Validate(), btround.ErrMessage)
	assert.ErrorIs(t, btround.Command{Kind: "burn"}.Validate(), btround.ErrMessage)
	assert.ErrorIs(t, btround.Result{Verdict: "perhaps"}.Validate(), btround.ErrMessage)
}
