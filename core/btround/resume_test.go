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
	// resumesWithin bounds the time to the next step once disturbances have ended.
	resumesWithin = 2 * time.Second
)

// endDisturbances leaves one lead, makes all hosts reachable, and stops losing orders
// and messages. Orders sent earlier may still be carried out late.
func (w *world) endDisturbances() {
	w.undisturbed = true
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

// TestGroupResumesAfterDisturbances guards against a round, or a loop of rounds, that
// pauses the group for good when no further disturbance ends it.
func TestGroupResumesAfterDisturbances(t *testing.T) {
	for name, begin := range map[string]func(seed uint64) *world{
		"replaced": func(seed uint64) *world {
			w := newWorld(seed, 8, 0.35, 0.05)
			disturb(w)
			isolate(w)
			return w
		},
		"duelling": func(seed uint64) *world {
			w := newWorld(seed, 3, 0.35, 0.05)
			compete(w)
			return w
		},
	} {
		t.Run(name, func(t *testing.T) {
			phases := make(map[btround.Phase]int)
			for _, seed := range seedRange() {
				w := begin(seed)
				w.run(w.millis(20000, 30000))
				phases[w.leads[len(w.leads)-1].lead.Phase()]++
				w.endDisturbances()
				w.run(orderDrain)
				w.assertResumes(t, seed)
			}
			t.Logf("phases of the last lead as disturbances ended: %v", phases)
		})
	}
}

// assertResumes checks that the group begins a step in each of three intervals.
func (w *world) assertResumes(t *testing.T, seed uint64) {
	t.Helper()
	for range 3 {
		step := w.step
		w.run(resumesWithin)
		assert.Assert(t, w.step > step, "seed %d: paused at step %d", seed, step)
	}
	assert.Equal(t, w.split, int64(0), "seed %d", seed)
}
