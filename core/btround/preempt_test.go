package btround_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btassert"
	"bilberrytide/core/btexpert"
	"bilberrytide/core/btround"
)

// watched is a lead of a group of two that another lead's round holds.
type watched struct {
	lead    *btround.Lead
	now     time.Time
	reading uint64
	held    bool
}

func newWatched() *watched {
	return &watched{
		lead: btround.NewLead(btround.Defaults(), "g", 0, 0, btassert.New(btassert.Panic())),
		now:  time.Unix(1000, 0),
	}
}

// takesOverAfter has both ranks report each 20 ms, and returns how long the lead leaves
// the hold to whoever placed it; it gives up after five seconds.
func (w *watched) takesOverAfter() time.Duration {
	began := w.now
	for w.now.Sub(began) < 5*time.Second {
		w.pass()
		if w.held && len(w.lead.Step(w.now)) > 0 {
			return w.now.Sub(began)
		}
	}
	return 5 * time.Second
}

func (w *watched) pass() {
	w.now = w.now.Add(20 * time.Millisecond)
	w.reading++
	for r := range btexpert.Rank(2) {
		held := w.held && r == 1
		w.lead.Report(w.now, btround.State{Rank: r, Size: 2, Group: "g", Epoch: 1, Open: true, Step: 4, Held: held, HeldStep: 6, Reader: uint64(r) + 1, Reading: w.reading}, 0)
	}
}

// settle has the lead receive reports of a group that nobody holds for over a second.
func (w *watched) settle() {
	for range 80 {
		w.pass()
		w.lead.Step(w.now)
	}
	w.held = true
}

// TestALeadLeavesARoundItsTime guards against leads that preempt a round which needs some
// tens of milliseconds more, and against one that leaves a dead lead's round too long.
func TestALeadLeavesARoundItsTime(t *testing.T) {
	s := btround.Defaults()
	const late = 60 * time.Millisecond
	settled := newWatched()
	settled.settle()
	took := settled.takesOverAfter()
	assert.Assert(t, took >= s.Grace && took <= s.Grace+late, "%s", took)

	fresh := newWatched()
	fresh.held = true
	took = fresh.takesOverAfter()
	assert.Assert(t, took >= s.FirstGrace && took <= s.FirstGrace+late, "%s", took)
}

// TestADeferredLeadBeginsNothing guards against a lead that goes on to lead though its own
// agent reports to another; one that nobody replaces takes over in the end.
func TestADeferredLeadBeginsNothing(t *testing.T) {
	s := btround.Defaults()
	w := newWatched()
	w.lead.Defer(true)
	w.settle()
	_, begun := w.lead.Begin(w.now, btround.Proposal{Holder: 1})
	assert.Assert(t, !begun)
	took := w.takesOverAfter()
	assert.Assert(t, took >= s.Deferred && took < s.Deferred+100*time.Millisecond, "%s", took)
}

// TestAPreemptedLeadWaitsLongerEachTime guards against two leads that preempt each other in
// turn, each before the other's takeover is complete.
func TestAPreemptedLeadWaitsLongerEachTime(t *testing.T) {
	w := newWatched()
	w.settle()
	w.takesOverAfter()
	var waits []time.Duration
	for i := range 4 {
		ballot := w.lead.Ballot().Next(1, btround.Life(i))
		w.lead.Report(w.now, btround.State{Rank: 1, Size: 2, Group: "g", Epoch: 1, Open: true, Step: 4, Held: true, HeldStep: 6, Reader: 2, Reading: w.reading}, ballot)
		waits = append(waits, w.takesOverAfter())
	}
	s := btround.Defaults()
	for i, wait := range waits {
		least := min(s.Yield<<i, s.MaxYield)
		assert.Assert(t, wait >= least && wait < least+s.Yield/2, "%d: %s", i, wait)
	}
}

// TestAGroupIsNotHeldForLongByALateHold guards against a lead's own claim that is carried
// out after its go, under the same ballot, and holds an idle group again.
func TestAGroupIsNotHeldForLongByALateHold(t *testing.T) {
	w := newWorld(90087, 8, 0.35, 0.05)
	disturb(w)
	w.run(60 * time.Second)
	assert.Equal(t, w.split, int64(0))
	assert.Assert(t, w.longest < longestHold, "held for %s", w.longest)
}
