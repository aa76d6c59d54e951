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

// restartGroup is a group of two ranks whose engines report their starts.
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

// report delivers a rank's state to the lead.
func (r *restartGroup) report(rank btexpert.Rank, epoch uint64, start btid.Incarnation) {
	r.now = r.now.Add(10 * time.Millisecond)
	r.reading++
	r.lead.HandleReport(r.now, btround.State{Rank: rank, Size: 2, Group: "g", Epoch: epoch, Start: start, Open: true, Reader: 1, ReadCount: r.reading}, 0)
}

func (r *restartGroup) begin() bool {
	_, begun := r.lead.Begin(r.now, btround.Proposal{Holder: 1})
	return begun
}

// TestRestartedRankEndsRound guards against continuing a round after an engine has
// restarted under the same ID within the epoch. The engine has lost what was prepared
// or armed.
func TestRestartedRankEndsRound(t *testing.T) {
	r := newRestartGroup(t)
	assert.Assert(t, r.begin())
	r.report(1, 1, 21)
	outcome := r.lead.Outcome()
	assert.Assert(t, outcome != nil)
	assert.Equal(t, outcome.Reason, btround.RankRestarted)
	assert.Equal(t, len(r.lead.Poll(r.now)), 0, "commands sent in an ended epoch")
	assert.Assert(t, !r.begin())
}

// TestStaleReportDoesNotReviveEndedEpoch guards against a report sent before an engine
// died and received after the restart: the epoch stays ended until the group has formed
// again.
func TestStaleReportDoesNotReviveEndedEpoch(t *testing.T) {
	r := newRestartGroup(t)
	r.report(1, 1, 21)
	r.report(1, 1, 20)
	r.report(0, 1, 10)
	assert.Assert(t, !r.begin())
	r.report(0, 2, 10)
	r.report(1, 1, 20)
	assert.Assert(t, !r.begin(), "a round began before every rank reported in the new epoch")
	r.report(1, 2, 21)
	assert.Assert(t, r.begin())
}

// TestUnknownStartDoesNotEndRound covers engines that don't report their start; only the
// epoch shows their restarts.
func TestUnknownStartDoesNotEndRound(t *testing.T) {
	r := newRestartGroup(t)
	r.report(1, 1, 0)
	r.report(1, 1, 20)
	assert.Assert(t, r.begin())
}

// restart restarts an engine under the same ID, without its state. The group begins no
// step until it forms again in the next epoch; until then the engine reports the old
// one.
func (w *simulation) restart(e *engine) {
	*e = engine{simulation: w, rank: e.rank, started: e.started + 1, reads: e.reads, agent: e.agent, frozen: e.frozen}
	if w.forming {
		return
	}
	w.forming = true
	w.heldSince = time.Time{}
	w.schedule(w.millis(600, 2500), w.form)
}

// form forms the group again with the initial map and nothing prepared, armed or held.
// Only restarted engines lose their fences.
func (w *simulation) form() {
	w.epoch++
	w.forming = false
	for _, e := range w.engines {
		e.mapVersion, e.prepared, e.preparing, e.highest, e.armed = 0, 0, 0, 0, 0
		e.held = false
	}
}

// TestNoStepOnTwoMapsWithEngineRestarts restarts engines under their IDs at any moment
// of a round, while leads are replaced and orders are lost or carried out late.
func TestNoStepOnTwoMapsWithEngineRestarts(t *testing.T) {
	for _, seed := range seedRange() {
		w := newSimulation(seed, 8, 0.35, 0.05)
		injectLeadFaults(w)
		var again func()
		again = func() {
			w.schedule(w.millis(2000, 12000), again)
			w.restart(w.engines[w.random.IntN(len(w.engines))])
		}
		w.schedule(3*time.Second, again)
		w.run(60 * time.Second)
		assert.Equal(t, w.splitSteps, int64(0), "seed %d", seed)
		assert.Assert(t, w.epoch > 3, "seed %d: %d epochs", seed, w.epoch)
		assert.Assert(t, w.switches > 0, "seed %d: no map switch completed", seed)
		assert.Assert(t, w.longestHold < maxHold, "seed %d: held for %s", seed, w.longestHold)
	}
}
