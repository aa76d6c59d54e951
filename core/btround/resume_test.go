package btround_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btround"
)

const (
	// orderDrain is the time by which every delayed order has been carried out.
	orderDrain = 12 * time.Second
	// resumesWithin bounds the time to the next step once faults have ended.
	resumesWithin = 2 * time.Second
)

// endFaults leaves one lead, makes all hosts reachable, and stops losing orders
// and messages. Orders sent earlier may still be carried out late.
func (w *simulation) endFaults() {
	w.faultsEnded = true
	w.delayedShare, w.lostShare = 0, 0
	w.busy = true
	for _, e := range w.engines {
		e.frozen = time.Time{}
	}
	for i, l := range w.leads {
		l.frozen = time.Time{}
		l.receivesReports = i == len(w.leads)-1
		l.dead = l.dead && !l.receivesReports
	}
}

// TestGroupResumesAfterFaults guards against a round, or a loop of rounds, that
// pauses the group permanently when no further fault ends it.
func TestGroupResumesAfterFaults(t *testing.T) {
	for name, begin := range map[string]func(seed uint64) *simulation{
		"replaced": func(seed uint64) *simulation {
			w := newSimulation(seed, 8, 0.35, 0.05)
			injectLeadFaults(w)
			injectHostFaults(w)
			return w
		},
		"duelling": func(seed uint64) *simulation {
			w := newSimulation(seed, 3, 0.35, 0.05)
			startDuellingLeads(w)
			return w
		},
	} {
		t.Run(name, func(t *testing.T) {
			phases := make(map[btround.Phase]int)
			for _, seed := range seedRange() {
				w := begin(seed)
				w.run(w.millis(20000, 30000))
				phases[w.leads[len(w.leads)-1].lead.Phase()]++
				w.endFaults()
				w.run(orderDrain)
				w.assertResumes(t, seed)
			}
			t.Logf("phases of the last lead as faults ended: %v", phases)
		})
	}
}

// assertResumes checks that the group begins a step in each of three intervals.
func (w *simulation) assertResumes(t *testing.T, seed uint64) {
	t.Helper()
	for range 3 {
		step := w.step
		w.run(resumesWithin)
		assert.Assert(t, w.step > step, "seed %d: paused at step %d", seed, step)
	}
	assert.Equal(t, w.splitSteps, int64(0), "seed %d", seed)
}
