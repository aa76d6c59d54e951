package btround_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btassert"
	"bilberrytide/core/btexpert"
	"bilberrytide/core/btid"
	"bilberrytide/core/btround"
)

// restartGroup is a group of two ranks whose engines tell their starts.
type restartGroup struct {
	t       *testing.T
	lead    *btround.Lead
	now     time.Time
	reading uint64
}

func newRestartGroup(t *testing.T) *restartGroup {
	t.Helper()
	lead := btround.NewLead(btround.Defaults(), "g", 0, 0, btassert.New(btassert.Panic()))
	r := &restartGroup{t: t, lead: lead, now: time.Unix(1000, 0)}
	r.report(0, 1, 10)
	r.report(1, 1, 20)
	return r
}

// report has the lead hear of a rank's state.
func (r *restartGroup) report(rank btexpert.Rank, epoch uint64, start btid.Incarnation) {
	r.now = r.now.Add(10 * time.Millisecond)
	r.reading++
	r.lead.HandleReport(r.now, btround.State{Rank: rank, Size: 2, Group: "g", Epoch: epoch, Start: start, Open: true, Reader: 1, ReadCount: r.reading}, 0)
}

func (r *restartGroup) begins() bool {
	_, begun := r.lead.Begin(r.now, btround.Proposal{Holder: 1})
	return begun
}

// A rank that starts again under its ID has nothing of what was prepared or armed. A
// round that counts on it must not go on, though the epoch is still the same.
func TestARankThatStartsAnewEndsTheRound(t *testing.T) {
	r := newRestartGroup(t)
	assert.Assert(t, r.begins())
	r.report(1, 1, 21)
	outcome := r.lead.Outcome()
	assert.Assert(t, outcome != nil)
	assert.Equal(t, outcome.Reason, btround.RankRestarted)
	assert.Equal(t, len(r.lead.Poll(r.now)), 0, "nothing is ordered in an epoch that is over")
	assert.Assert(t, !r.begins())
}

// A state of the start before, on its way when the engine died, changes nothing:
// the epoch stays over until the group has formed anew.
func TestLateNewsOfAnOldStartDoesNotReviveTheEpoch(t *testing.T) {
	r := newRestartGroup(t)
	r.report(1, 1, 21)
	r.report(1, 1, 20)
	r.report(0, 1, 10)
	assert.Assert(t, !r.begins())
	r.report(0, 2, 10)
	r.report(1, 1, 20)
	assert.Assert(t, !r.begins(), "a rank has not been heard of in the new epoch")
	r.report(1, 2, 21)
	assert.Assert(t, r.begins())
}

// Engines that don't tell their start are known by the epoch alone.
func TestAStartThatIsNotToldEndsNothing(t *testing.T) {
	r := newRestartGroup(t)
	r.report(1, 1, 0)
	r.report(1, 1, 20)
	assert.Assert(t, r.begins())
}

// restart has an engine start again under its ID: it has nothing of before, and the
// group begins no step until it forms anew in the next epoch. Until then the engine
// answers in the old one.
func (w *world) restart(e *engine) {
	*e = engine{world: w, rank: e.rank, started: e.started + 1, reads: e.reads, agent: e.agent, frozen: e.frozen}
	if w.forming {
		return
	}
	w.forming = true
	w.heldSince = time.Time{}
	w.schedule(w.millis(600, 2500), w.form)
}

// form forms the group anew: the map is that of the start, and nothing is prepared,
// armed or held. Only engines that have started anew forget their fences.
func (w *world) form() {
	w.epoch++
	w.forming = false
	for _, e := range w.engines {
		e.mapVersion, e.prepared, e.preparing, e.highest, e.armed = 0, 0, 0, 0, 0
		e.held = false
	}
}

// TestNoStepOnTwoMapsThroughRestarts has engines start again under their IDs at any
// moment of a round, while leads are replaced and orders are lost or carried out late.
func TestNoStepOnTwoMapsThroughRestarts(t *testing.T) {
	for _, seed := range seedRange() {
		w := newWorld(seed, 8, 0.35, 0.05)
		disturb(w)
		var again func()
		again = func() {
			w.schedule(w.millis(2000, 12000), again)
			w.restart(w.engines[w.random.IntN(len(w.engines))])
		}
		w.schedule(3*time.Second, again)
		w.run(60 * time.Second)
		assert.Equal(t, w.split, int64(0), "seed %d", seed)
		assert.Assert(t, w.epoch > 3, "seed %d: %d epochs", seed, w.epoch)
		assert.Assert(t, w.switches > 0, "seed %d: no map ever changed", seed)
		assert.Assert(t, w.longestHold < maxHold, "seed %d: held for %s", seed, w.longestHold)
	}
}
