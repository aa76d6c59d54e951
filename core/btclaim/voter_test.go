package btclaim_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btclaim"
	"bilberrytide/core/btid"
	"bilberrytide/core/btrequest"
)

// TestVotes follows one voter at epoch 1 with a lease of a second.
func TestVotes(t *testing.T) {
	home := loneHome(t)
	raced := epochs[0]
	raced.Homes = []btid.Target{"t0", "t8", "t9"}
	ask := func(after time.Duration, from btid.Target, life btid.Incarnation, number int) btrequest.Reason {
		id := btclaim.EpochIDOf(raced)
		if number > 0 {
			id = btclaim.EpochIDOf(epochs[number-1])
		}
		a := btclaim.LeaseAsk{
			Service:     service,
			From:        from,
			To:          "t0",
			Incarnation: life,
			Epoch:       id,
			Listed:      []btclaim.EpochID{id},
			Round:       1,
			Lease:       time.Second,
		}
		vote := home.Step(epoch.Add(after), a)[0].(btclaim.LeaseVote)
		assert.NilError(t, vote.Validate())
		assert.Equal(t, vote.Granted, vote.Reason == "")
		return vote.Reason
	}
	const s = time.Second
	assert.Equal(t, ask(s-1, "t1", 1, 1), btclaim.VoterStarting)
	assert.Equal(t, ask(s, "t1", 1, 1), btrequest.Reason(""))
	assert.Equal(t, ask(s, "t2", 1, 1), btrequest.Reason(""), "homes of one epoch together")
	assert.Equal(t, ask(s, "t1", 2, 1), btclaim.VoteOutstanding, "two lives of one home")
	assert.Equal(t, ask(s, "t9", 1, 0), btclaim.EpochConflict, "two sets with one number")
	assert.Equal(t, ask(s, "t3", 1, 2), btclaim.VoteOutstanding)
	assert.Equal(t, ask(s, "t1", 1, 1), btclaim.EpochOld, "a newer home waits")
	assert.Equal(t, ask(3*s, "t3", 1, 2), btrequest.Reason(""))
	assert.Equal(t, ask(9*s, "t1", 1, 1), btclaim.EpochOld)
}

// TestDestroyedHomesCountInNoMajority: with two of three homes gone, the third
// gains the lease only once a bundle says so, and their last votes are over.
func TestDestroyedHomesCountInNoMajority(t *testing.T) {
	home := loneHome(t)
	later := epoch.Add(3 * time.Second)
	home.Step(later, btclaim.Tick{})
	assert.Assert(t, !home.Status().Leased)
	rules := loneRules()
	rules.Epochs = epochs[:1]
	rules.Destroyed = []btid.Target{"t1", "t2"}
	home.Step(later, btclaim.RulesChanged{Rules: rules})
	keep(home, later, later.Add(time.Second-1))
	assert.Assert(t, !home.Status().Leased)
	home.Step(later.Add(time.Second), btclaim.Tick{})
	assert.Assert(t, home.Status().Leased)
}
