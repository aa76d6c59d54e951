package btround_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btassert"
	"bilberrytide/core/btexpert"
	"bilberrytide/core/btround"
)

// takeoverGroup is a lead of a group of two that another lead's round holds.
type takeoverGroup struct {
	lead    *btround.Lead
	now     time.Time
	reading uint64
	held    bool
}

func newTakeoverGroup() *takeoverGroup {
	return &takeoverGroup{
		lead: btround.NewLead(btround.Defaults(), "g", 0, 0, btassert.New(btassert.Panic())),
		now:  time.Unix(1000, 0),
	}
}

// takeoverDelay has both ranks report each 20 ms, and returns how long the lead leaves
// the hold to whoever placed it; it gives up after five seconds.
func (w *takeoverGroup) takeoverDelay() time.Duration {
	began := w.now
	for w.now.Sub(began) < 5*time.Second {
		w.advance()
		if w.held && len(w.lead.Poll(w.now)) > 0 {
			return w.now.Sub(began)
		}
	}
	return 5 * time.Second
}

func (w *takeoverGroup) advance() {
	w.now = w.now.Add(20 * time.Millisecond)
	w.reading++
	for r := range btexpert.Rank(2) {
		held := w.held && r == 1
		w.lead.HandleReport(w.now, btround.State{Rank: r, Size: 2, Group: "g", Epoch: 1, Open: true, Step: 4, Held: held, HeldStep: 6, Reader: uint64(r) + 1, ReadCount: w.reading}, 0)
	}
}

// settle has the lead receive reports of a group that nobody holds for over a second.
func (w *takeoverGroup) settle() {
	for range 80 {
		w.advance()
		w.lead.Poll(w.now)
	}
	w.held = true
}

// TestALeadLeavesARoundItsTime guards against leads that preempt a round which needs some
// tens of milliseconds more, and against one that leaves a dead lead's round too long.
func TestALeadLeavesARoundItsTime(t *testing.T) {
	s := btround.Defaults()
	const late = 60 * time.Millisecond
	settled := newTakeoverGroup()
	settled.settle()
	took := settled.takeoverDelay()
	assert.Assert(t, took >= s.TakeoverDelay && took <= s.TakeoverDelay+late, "%s", took)

	fresh := newTakeoverGroup()
	fresh.held = true
	took = fresh.takeoverDelay()
	assert.Assert(t, took >= s.NewLeadTakeoverDelay && took <= s.NewLeadTakeoverDelay+late, "%s", took)
}

// TestADeferredLeadBeginsNothing guards against a lead that goes on to lead though its own
// agent reports to another; one that nobody replaces takes over in the end.
func TestADeferredLeadBeginsNothing(t *testing.T) {
	s := btround.Defaults()
	w := newTakeoverGroup()
	w.lead.SetDeferred(true)
	w.settle()
	_, begun := w.lead.Begin(w.now, btround.Proposal{Holder: 1})
	assert.Assert(t, !begun)
	took := w.takeoverDelay()
	assert.Assert(t, took >= s.DeferredTakeoverDelay && took < s.DeferredTakeoverDelay+100*time.Millisecond, "%s", took)
}

// TestAPreemptedLeadWaitsLongerEachTime guards against two leads that preempt each other in
// turn, each before the other's takeover is complete.
func TestAPreemptedLeadWaitsLongerEachTime(t *testing.T) {
	w := newTakeoverGroup()
	w.settle()
	w.takeoverDelay()
	var waits []time.Duration
	for i := range 4 {
		ballot := w.lead.Ballot().Next(1, btround.Instance(i))
		w.lead.HandleReport(w.now, btround.State{Rank: 1, Size: 2, Group: "g", Epoch: 1, Open: true, Step: 4, Held: true, HeldStep: 6, Reader: 2, ReadCount: w.reading}, ballot)
		waits = append(waits, w.takeoverDelay())
	}
	s := btround.Defaults()
	for i, wait := range waits {
		least := min(s.Backoff<<i, s.MaxBackoff)
		assert.Assert(t, wait >= least && wait < least+s.Backoff/2, "%d: %s", i, wait)
	}
}

// TestAGroupIsNotHeldForLongByALateHold guards against a lead's own claim that is carried
// out after its go, under the same ballot, and holds an idle group again.
func TestAGroupIsNotHeldForLongByALateHold(t *testing.T) {
	w := newWorld(90087, 8, 0.35, 0.05)
	disturb(w)
	w.run(60 * time.Second)
	assert.Equal(t, w.split, int64(0))
	assert.Assert(t, w.longestHold < maxHold, "held for %s", w.longestHold)
}
