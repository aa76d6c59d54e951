package btround_test

import (
	"flag"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btassert"
	"bilberrytide/core/btexpert"
	"bilberrytide/core/btround"
)

var (
	seeds = flag.Int("round.seeds", 40, "seeds of each randomised run")
	first = flag.Uint64("round.first", 0, "the first seed")
)

// regressions are seeds that once put a step on two maps: an order to disarm that
// was carried out late, after another lead had taken the rank for armed (5229,
// 5371, 5127), and a round ended without its lead's rank though its record was
// committed (5026). In 20298 a lead that held a later step had ranks disarmed while the
// step for which all were armed could begin.
var regressions = []uint64{5026, 5127, 5229, 5371, 20298}

// seedRange lists the seeds of a randomised seedRange.
func seedRange() []uint64 {
	list := make([]uint64, *seeds)
	for i := range list {
		list[i] = *first + uint64(i)
	}
	return list
}

func TestRoundsFollowEachOther(t *testing.T) {
	w := newWorld(1, 16, 0, 0)
	w.startLead(0)
	w.run(20 * time.Second)
	assert.Equal(t, w.split, int64(0))
	assert.Assert(t, w.switches >= 15, "%d switches", w.switches)
	assert.Assert(t, w.longestHold <= 100*time.Millisecond, "held for %s", w.longestHold)
}

// TestNoStepOnTwoMaps has orders lost or carried out late, leads frozen, killed
// and replaced, and two leads at a time, and idle groups.
//
// In seed 51408 two lives of one rank's lead had the same ballot, and were both obeyed.
func TestNoStepOnTwoMaps(t *testing.T) {
	for _, seed := range append([]uint64{51408}, seedRange()...) {
		w := newWorld(seed, 8, 0.35, 0.05)
		disturb(w)
		w.run(60 * time.Second)
		assert.Equal(t, w.split, int64(0), "seed %d", seed)
		assert.Assert(t, w.switches > 0, "seed %d: no map ever changed", seed)
		assert.Assert(t, w.longestHold < maxHold, "seed %d: held for %s", seed, w.longestHold)
	}
}

// maxHold is for how long a group may be held while leads are replaced every
// few seconds and a third of the orders are carried out late: two leads that go
// on outranking each other hold it for the whole run.
const maxHold = 15 * time.Second

// TestNoStepOnTwoMapsWithHostsOutOfReach has besides hosts that can't be reached
// while their engines go on in the group, and agents that start with nothing.
func TestNoStepOnTwoMapsWithHostsOutOfReach(t *testing.T) {
	for _, seed := range append(regressions, seedRange()...) {
		w := newWorld(seed, 8, 0.35, 0.05)
		disturb(w)
		isolate(w)
		w.run(60 * time.Second)
		assert.Equal(t, w.split, int64(0), "seed %d", seed)
		assert.Assert(t, w.switches > 0, "seed %d: no map ever changed", seed)
	}
}

// TestNoStepOnTwoMapsThroughRelays has reports that arrive late, twice and out of
// order, and commands that arrive again seconds later, as relays that stood still
// deliver them.
//
// In seed 9098 a repeated command to keep a record undid the commit of that record. In
// 21323 a lead that saw no rank armed, and not all ready, let the group go on, and an
// order to arm one was carried out late.
func TestNoStepOnTwoMapsThroughRelays(t *testing.T) {
	for _, seed := range append([]uint64{9098, 21323}, seedRange()...) {
		w := newWorld(seed, 8, 0.35, 0.05)
		w.relayed = true
		disturb(w)
		isolate(w)
		w.run(60 * time.Second)
		assert.Equal(t, w.split, int64(0), "seed %d", seed)
		assert.Assert(t, w.switches > 0, "seed %d: no map ever changed", seed)
	}
}

// TestNoStepOnTwoMapsThroughSuspensions has reports that were read before their hosts were
// suspended and arrive after newer states that the leads have read themselves.
func TestNoStepOnTwoMapsThroughSuspensions(t *testing.T) {
	for _, seed := range seedRange() {
		w := newWorld(seed, 8, 0.35, 0.05)
		w.suspended = true
		disturb(w)
		isolate(w)
		w.run(60 * time.Second)
		assert.Equal(t, w.split, int64(0), "seed %d", seed)
		assert.Equal(t, len(w.violations), 0, "seed %d: %v", seed, w.violations)
		assert.Assert(t, w.switches > 0, "seed %d: no map ever changed", seed)
	}
}

// disturb changes who leads every few seconds.
func disturb(w *world) {
	w.startLead(0)
	var again func()
	again = func() {
		if w.calm {
			return
		}
		w.schedule(w.millis(500, 4000), again)
		current := w.leads[len(w.leads)-1]
		switch w.random.IntN(5) {
		case 0:
			current.frozen = w.now.Add(w.millis(300, 4000))
			w.startLead(btexpert.Rank(w.random.IntN(len(w.engines))))
		case 1:
			current.dead = true
			w.startLead(btexpert.Rank(w.random.IntN(len(w.engines))))
		case 2:
			// The agents no longer report to it, but it still thinks it leads.
			current.receivesReports = false
			w.startLead(btexpert.Rank(w.random.IntN(len(w.engines))))
		case 3:
			w.startLead(btexpert.Rank(w.random.IntN(len(w.engines))))
		case 4:
			w.busy = !w.busy
			w.schedule(w.millis(100, 3000), func() { w.busy = true })
		}
	}
	w.schedule(time.Second, again)
}

// isolate takes hosts out of reach, mostly those of leads, and starts agents anew.
func isolate(w *world) {
	var again func()
	again = func() {
		if w.calm {
			return
		}
		w.schedule(w.millis(500, 6000), again)
		any := w.engines[w.random.IntN(len(w.engines))]
		switch w.random.IntN(3) {
		case 0:
			any.agent = btround.Acceptor{}
		case 1:
			any.frozen = w.now.Add(w.millis(300, 4000))
		case 2:
			current := w.leads[len(w.leads)-1]
			w.engines[current.self].frozen = w.now.Add(w.millis(300, 4000))
			w.startLead(btexpert.Rank(w.random.IntN(len(w.engines))))
		}
	}
	w.schedule(time.Second, again)
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
		l := w.startLead(0)
		for l.lead.Phase() != btround.Arming && w.now.Sub(w.start) < 20*time.Second {
			w.run(5 * time.Millisecond)
		}
		l.dead = true
		w.startLead(3)
		w.run(3 * time.Second)
		if w.longestHold > 200*time.Millisecond {
			found++
		}
		assert.Assert(t, w.longestHold < 1500*time.Millisecond, "seed %d: held for %s", seed, w.longestHold)
		assert.Equal(t, w.split, int64(0), "seed %d", seed)
	}
	assert.Assert(t, found > 0, "no lead died while the group was held")
}

// freezeWhileHeld has the lead's host stand still for four seconds once its round
// is in the phase, and returns for how long the group was held.
func freezeWhileHeld(t *testing.T, seed uint64, own bool, phase btround.Phase) time.Duration {
	t.Helper()
	w := newWorld(seed, 8, 0, 0)
	w.ownHolder, w.otherHolder = own, !own
	l := w.startLead(0)
	for l.lead.Phase() != phase && w.now.Sub(w.start) < 20*time.Second {
		w.run(5 * time.Millisecond)
	}
	w.engines[0].frozen = w.now.Add(4 * time.Second)
	w.startLead(3)
	w.run(8 * time.Second)
	assert.Equal(t, w.split, int64(0), "seed %d", seed)
	assert.Assert(t, w.switches > 0, "seed %d: no map ever changed", seed)
	return w.longestHold
}

// TestALeadOutOfReachHoldsNobody: a lead whose host can't be reached while the
// group is held keeps the others waiting until another has taken its round over,
// not until the host is back. Held at the lead's own rank the group waits.
func TestALeadOutOfReachHoldsNobody(t *testing.T) {
	waited := 0
	for _, phase := range []btround.Phase{btround.Holding, btround.Arming} {
		for seed := range uint64(60) {
			held := freezeWhileHeld(t, seed, false, phase)
			assert.Assert(t, held < 2500*time.Millisecond, "%s, seed %d: held for %s", phase, seed, held)
			if freezeWhileHeld(t, seed, true, phase) > 3*time.Second {
				waited++
			}
		}
	}
	assert.Assert(t, waited > 0, "the run never has a held rank out of reach")
}

// TestACommittedRoundWaits: once its record is committed the lead's rank may be
// armed, so that nobody ends its round while its host can't be reached.
func TestACommittedRoundWaits(t *testing.T) {
	committed := 0
	for seed := range uint64(60) {
		if freezeWhileHeld(t, seed, false, btround.ArmingLast) > 3*time.Second {
			committed++
		}
	}
	assert.Assert(t, committed > 0, "no lead was lost after its record was committed")
}

func TestRecords(t *testing.T) {
	witness := btround.Command{Kind: btround.StoreRecord, Ballot: 5, Lead: 2, Epoch: 1, Version: 9}
	commit := btround.Command{Kind: btround.Commit, Ballot: 5, Version: 9}
	claim := btround.Command{Kind: btround.Hold, Force: true, Ballot: 6}
	recorded := func(commands ...btround.Command) *btround.Record {
		var a btround.Acceptor
		for _, c := range commands {
			if a.Accept(c) && (c.Kind == btround.StoreRecord || c.Kind == btround.Commit) {
				a.UpdateRecord(c)
			}
		}
		return a.Record()
	}
	assert.Assert(t, !recorded(witness, claim).Committed)
	assert.Assert(t, recorded(witness, commit, claim).Committed)
	assert.Assert(t, !recorded(witness, claim, commit).Committed, "committed after the claim")
	assert.Assert(t, recorded(commit, claim) == nil)
	second := claim
	second.Ballot = 7
	assert.Assert(t, recorded(witness, claim, second) == nil, "a claimer may have armed ranks")
	other := btround.Command{Kind: btround.Prepare, Ballot: 6}
	assert.Assert(t, recorded(witness, other, second) == nil, "another lead may have armed ranks")
}

func TestVersionsOfTwoLeadsDiffer(t *testing.T) {
	v := btround.Version(0).Next(5)
	assert.Assert(t, v.Next(0) > v)
	assert.Assert(t, btround.Version(0).Next(6) != v)
}

func TestBallotsRise(t *testing.T) {
	b := btround.Ballot(0).Next(7, 3)
	assert.Assert(t, b.Next(0, 0) > b)
	assert.Assert(t, btround.Ballot(0).Next(8, 3) != b)
	assert.Assert(t, btround.Ballot(0).Next(7, 4) != b, "a lead that starts anew at the rank")
}

func TestMalformedMessagesAreRefused(t *testing.T) {
	assert.ErrorIs(t, btround.State{Rank: 3, Size: 3}.Validate(), btround.ErrMessage)
	assert.ErrorIs(t, btround.Command{Kind: "burn"}.Validate(), btround.ErrMessage)
	assert.ErrorIs(t, btround.Result{Verdict: "perhaps"}.Validate(), btround.ErrMessage)
}

// Ranks of another group of the service have the same numbers.
func TestOtherGroupsArePassedOver(t *testing.T) {
	l := btround.NewLead(btround.Defaults(), "g", 0, 0, btassert.New(btassert.Panic()))
	now := time.Unix(1000, 0)
	state := btround.State{Rank: 0, Size: 2, Group: "g", Epoch: 3, Open: true, Step: 9, Reader: 1, ReadCount: 1}
	l.HandleReport(now, state, 0)
	other := state
	other.Group, other.Rank, other.Epoch = "h", 1, 5
	l.HandleReport(now, other, 0)
	assert.Equal(t, l.Epoch(), uint64(3))
	assert.Assert(t, !l.AllRanksOpen(now))
	state.Rank, state.Reader = 1, 2
	l.HandleReport(now, state, 0)
	assert.Assert(t, l.AllRanksOpen(now))
}
