package btclaim_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btclaim"
	"bilberrytide/core/btid"
	"bilberrytide/core/btrequest"
)

// TestVoterRefusesConflictingLeases checks one voter at epoch 1 with a lease of a
// second. A voter that confirmed two epochs, or two incarnations of one home, at the
// same time would let two homes grant the same key.
func TestVoterRefusesConflictingLeases(t *testing.T) {
	home := newUnleasedHome(t)
	conflicting := epochs[0]
	conflicting.Homes = []btid.Target{"t0", "t8", "t9"}
	ask := func(after time.Duration, from btid.Target, incarnation btid.Incarnation, number int) btrequest.Reason {
		id := btclaim.EpochIDOf(conflicting)
		if number > 0 {
			id = btclaim.EpochIDOf(epochs[number-1])
		}
		a := btclaim.LeaseAsk{
			Service:     service,
			From:        from,
			To:          "t0",
			Incarnation: incarnation,
			Epoch:       id,
			Listed:      []btclaim.EpochID{id},
			Round:       1,
			Lease:       time.Second,
		}
		vote := home.Step(startTime.Add(after), a)[0].(btclaim.LeaseVote)
		assert.NilError(t, vote.Validate())
		assert.Equal(t, vote.Granted, vote.Reason == "")
		return vote.Reason
	}
	const s = time.Second
	assert.Equal(t, ask(s-1, "t1", 1, 1), btclaim.VoterStarting)
	assert.Equal(t, ask(s, "t1", 1, 1), btrequest.Reason(""))
	assert.Equal(t, ask(s, "t2", 1, 1), btrequest.Reason(""), "votes for two homes of one epoch")
	assert.Equal(t, ask(s, "t1", 2, 1), btclaim.VoteOutstanding, "two incarnations of one home")
	assert.Equal(t, ask(s, "t9", 1, 0), btclaim.EpochConflict, "two sets with one number")
	assert.Equal(t, ask(s, "t3", 1, 2), btclaim.VoteOutstanding)
	assert.Equal(t, ask(s, "t1", 1, 1), btclaim.EpochOld, "a home of a newer epoch is waiting")
	assert.Equal(t, ask(3*s, "t3", 1, 2), btrequest.Reason(""))
	assert.Equal(t, ask(9*s, "t1", 1, 1), btclaim.EpochOld)
}

// TestDestroyedHomesAreExcludedFromMajorities: with two of three homes lost, the third gains
// the lease only after a bundle declares them destroyed and their last votes have
// expired.
func TestDestroyedHomesAreExcludedFromMajorities(t *testing.T) {
	home := newUnleasedHome(t)
	later := startTime.Add(3 * time.Second)
	home.Step(later, btclaim.Tick{})
	assert.Assert(t, !home.Status().Leased)
	rules := singleHomeRules()
	rules.Epochs = epochs[:1]
	rules.Destroyed = []btid.Target{"t1", "t2"}
	home.Step(later, btclaim.RulesChanged{Rules: rules})
	tickBetween(home, later, later.Add(time.Second-1))
	assert.Assert(t, !home.Status().Leased)
	home.Step(later.Add(time.Second), btclaim.Tick{})
	assert.Assert(t, home.Status().Leased)
}
