package btround_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btexpert"
)

// startDuellingLeads runs two leads of a group that both receive all reports, and freezes the host
// of one or the other.
func startDuellingLeads(w *simulation) {
	for r := range btexpert.Rank(2) {
		w.startLead(r)
	}
	for _, l := range w.leads {
		l.keepsReceivingReports = true
	}
	var again func()
	again = func() {
		if w.faultsEnded {
			return
		}
		w.schedule(w.millis(300, 3000), again)
		w.engines[w.random.IntN(2)].frozen = w.now.Add(w.millis(50, 3500))
	}
	w.schedule(time.Second, again)
}

// TestNoStepOnTwoMapsWithDuellingLeads guards against a lead that detects another
// lead's hold only by the engines' responses and disarms ranks without having claimed
// the held rank.
func TestNoStepOnTwoMapsWithDuellingLeads(t *testing.T) {
	switches := 0
	for _, seed := range append([]uint64{60}, seedRange()...) {
		w := newSimulation(seed, 3, 0.35, 0.05)
		startDuellingLeads(w)
		w.run(60 * time.Second)
		assert.Equal(t, w.splitSteps, int64(0), "seed %d", seed)
		switches += w.switches
	}
	assert.Assert(t, switches > 0, "no map switch completed")
}
