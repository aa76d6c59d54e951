package btround_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btassert"
	"bilberrytide/core/btexpert"
	"bilberrytide/core/btround"
)

// takeoverGroup is a group of two ranks held by another lead's round, with a lead that
// observes it.
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

// takeoverDelay has both ranks report every 20 ms, and returns how long the lead waits
// before it takes over the hold, at most five seconds.
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

// settle makes the lead receive reports for more than a second, and then places a hold.
func (w *takeoverGroup) settle() {
	for range 80 {
		w.advance()
		w.lead.Poll(w.now)
	}
	w.held = true
}

// TestTakeoverDelay guards against leads that interrupt a round which needs only some
// tens of milliseconds more, and against leaving a dead lead's round alone for too
// long.
func TestTakeoverDelay(t *testing.T) {
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

// TestDeferredLeadStartsNoRound guards against a lead that stays active although its
// own agent reports to another. It still takes a round over if no other lead does.
func TestDeferredLeadStartsNoRound(t *testing.T) {
	s := btround.Defaults()
	w := newTakeoverGroup()
	w.lead.SetDeferred(true)
	w.settle()
	_, begun := w.lead.Begin(w.now, btround.Proposal{Holder: 1})
	assert.Assert(t, !begun)
	took := w.takeoverDelay()
	assert.Assert(t, took >= s.DeferredTakeoverDelay && took < s.DeferredTakeoverDelay+100*time.Millisecond, "%s", took)
}

// TestPreemptedLeadBacksOffExponentially guards against two leads that preempt each
// other in turn, each before the other's takeover is complete.
func TestPreemptedLeadBacksOffExponentially(t *testing.T) {
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

// TestAGroupIsNotHeldForLongByALateHold guards against a lead's own claim that is
// carried out after its release, under the same ballot, and holds an idle group again.
func TestAGroupIsNotHeldForLongByALateHold(t *testing.T) {
	w := newSimulation(90087, 8, 0.35, 0.05)
	injectLeadFaults(w)
	w.run(60 * time.Second)
	assert.Equal(t, w.splitSteps, int64(0))
	assert.Assert(t, w.longestHold < maxHold, "held for %s", w.longestHold)
}
