package btround_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btexpert"
	"bilberrytide/core/btround"
)

// TestAHoldOfAnotherStepEndsTheRound guards against a lead that asks a rank for one step
// after another while the rank holds the group for a step of another round, and refuses
// each: the group stayed paused, and nothing was logged.
func TestAHoldOfAnotherStepEndsTheRound(t *testing.T) {
	s := newStale(t)
	for r := range btexpert.Rank(3) {
		s.report(s.state(r))
	}
	_, begun := s.lead.Begin(s.now, btround.Proposal{Holder: 1})
	assert.Assert(t, begun)
	var refused, claims int
	for range 100 {
		s.now = s.now.Add(20 * time.Millisecond)
		for _, c := range s.lead.Step(s.now) {
			state := s.obeyed(c)
			verdict := btround.Reached
			if c.Rank == 1 {
				// A claim of another lead placed this hold after the round had begun.
				state.Held, state.HeldStep = claims == 0, steps+1
			}
			switch {
			case c.Kind == btround.Hold && c.Step != steps+1:
				verdict = btround.Refused
				refused++
			case c.Kind == btround.Go:
				claims++
			}
			s.lead.Result(s.now, btround.Result{Round: c.Round, Kind: c.Kind, Verdict: verdict, Ballot: c.Ballot, State: state})
		}
		if claims > 0 {
			break
		}
	}
	assert.Assert(t, refused <= 2, "%d holds refused", refused)
	assert.Equal(t, claims, 1, "the other round's hold was never ended")
}
