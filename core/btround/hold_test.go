package btround_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btexpert"
	"bilberrytide/core/btround"
)

// TestHoldForAnotherStepEndsRound guards against a lead that keeps retrying the hold of
// later steps at a rank that holds the group for another round and refuses each. The
// group would stay paused without any log message.
func TestHoldForAnotherStepEndsRound(t *testing.T) {
	for seen, most := range map[btround.Kind]int{btround.Prepare: 0, btround.Hold: 2} {
		t.Run(string(seen), func(t *testing.T) { testHoldForAnotherStep(t, seen, most) })
	}
}

// testHoldForAnotherStep lets another lead's claim hold the group from the first command of
// kind seen on, and checks that the lead releases that hold after at most the given
// number of refused ones.
func testHoldForAnotherStep(t *testing.T, seen btround.Kind, most int) {
	s := newScriptedGroup(t)
	for r := range btexpert.Rank(3) {
		s.report(s.state(r))
	}
	_, begun := s.lead.Begin(s.now, btround.Proposal{Holder: 1})
	assert.Assert(t, begun)
	var refused int
	var held, ended bool
	for range 100 {
		s.now = s.now.Add(20 * time.Millisecond)
		for _, c := range s.lead.Poll(s.now) {
			held = held || c.Kind == seen
			ended = ended || c.Kind == btround.Release
			state := s.applied(c)
			verdict := btround.Reached
			if c.Rank == 1 && held && !ended {
				state.Held, state.HeldStep = true, lastStep+1
			}
			if c.Kind == btround.Hold && held && c.Step != lastStep+1 {
				verdict = btround.Refused
				refused++
			}
			s.lead.HandleResult(s.now, btround.Result{Round: c.Round, Kind: c.Kind, Verdict: verdict, Ballot: c.Ballot, State: state})
		}
	}
	assert.Assert(t, refused <= most, "%d holds refused", refused)
	assert.Assert(t, ended, "the other round's hold was never released")
}

// claimChecker checks that ranks are disarmed only by a lead whose ballot the holder
// accepted.
type claimChecker struct {
	t *testing.T
	// accepted is the ballot of the last claim, armed the highest ballot of an order to
	// arm.
	accepted, armed btround.Ballot
	disarmed        int
}

// observe checks one command, in the order in which commands are sent.
func (c *claimChecker) observe(command btround.Command) {
	c.t.Helper()
	switch {
	case command.Kind == btround.Hold && command.Force:
		c.accepted = command.Ballot
	case command.Kind == btround.Arm:
		c.armed = max(c.armed, command.Ballot)
	case command.Kind == btround.Disarm:
		c.disarmed++
		assert.Equal(c.t, c.accepted, command.Ballot, "disarmed without a claim under the same ballot")
		assert.Assert(c.t, command.Ballot > c.armed, "disarmed under the ballot of an order to arm")
	}
}

// TestRefusedArmClaimsHoldBeforeDisarm guards against disarming ranks while another
// lead can release the hold: the group would begin the step on two maps.
func TestRefusedArmClaimsHoldBeforeDisarm(t *testing.T) {
	s := newScriptedGroup(t)
	for r := range btexpert.Rank(3) {
		s.report(s.state(r))
	}
	_, begun := s.lead.Begin(s.now, btround.Proposal{Holder: 1})
	assert.Assert(t, begun)
	seen := claimChecker{t: t}
	for range 20 {
		s.now = s.now.Add(20 * time.Millisecond)
		for _, c := range s.lead.Poll(s.now) {
			seen.observe(c)
			verdict, state := btround.Reached, s.applied(c)
			if c.Kind == btround.Arm && c.Rank == 2 {
				verdict, state = btround.Refused, s.state(2)
			}
			s.lead.HandleResult(s.now, btround.Result{Round: c.Round, Kind: c.Kind, Verdict: verdict, Ballot: c.Ballot, State: state})
		}
	}
	assert.Equal(t, seen.disarmed, 3)
}

// TestHoldFoundDuringTakeoverIsClaimed guards against a takeover that sees armed ranks
// before it sees the hold, and disarms them as if it had claimed a hold at its own
// rank.
func TestHoldFoundDuringTakeoverIsClaimed(t *testing.T) {
	s := newScriptedGroup(t)
	const version, step = btround.Version(1 << 20), int64(lastStep + 1)
	state := func(r btexpert.Rank, held bool) btround.State {
		state := s.state(r)
		if r == 1 {
			state.Armed, state.ArmedStep = version, step
		}
		if r == 0 && held {
			state.Held, state.HeldStep = true, step
		}
		return state
	}
	seen := claimChecker{t: t}
	for range 30 {
		s.now = s.now.Add(20 * time.Millisecond)
		for r := range btexpert.Rank(3) {
			s.report(state(r, false))
		}
		for _, c := range s.lead.Poll(s.now) {
			seen.observe(c)
			s.lead.HandleResult(s.now, btround.Result{Round: c.Round, Kind: c.Kind, Verdict: btround.Reached, Ballot: c.Ballot, State: state(c.Rank, true)})
		}
		if seen.disarmed > 0 {
			break
		}
	}
	assert.Assert(t, seen.accepted != 0, "the hold was never claimed")
	assert.Assert(t, seen.disarmed > 0, "no rank was disarmed")
}
