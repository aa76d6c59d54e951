package btround_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btassert"
	"bilberrytide/core/btexpert"
	"bilberrytide/core/btround"
)

// TestLeadPassesAnUnknownFence guards against a group that stays paused for as long as its
// fencing token is high: when all processes were lost, nobody knows the token, and an engine
// that refuses a lower one doesn't report it.
func TestLeadPassesAnUnknownFence(t *testing.T) {
	const recoveryTime = 12 * time.Second
	for _, counter := range []int{1, 2, 58, 1000} {
		t.Run(fmt.Sprint(counter), func(t *testing.T) {
			fence := btround.Ballot(0)
			for range counter {
				fence = fence.Next(3, 7)
			}
			took := claimPastFence(t, fence)
			assert.Assert(t, took < recoveryTime, "claimed after %s", took)
		})
	}
}

// claimPastFence returns the time that a lead which knows nothing takes to claim a rank of a
// paused group whose engine has the fencing token.
func claimPastFence(t *testing.T, fence btround.Ballot) time.Duration {
	t.Helper()
	lead := btround.NewLead(btround.Defaults(), "g", 0, 9, btassert.New(btassert.Panic()))
	began := time.Unix(1000, 0)
	state := func(r btexpert.Rank, now time.Time) btround.State {
		return btround.State{
			Rank: r, Size: 2, Group: "g", Epoch: 1, Start: 10, Open: true, Step: 5, Reader: 1,
			ReadCount: uint64(now.Sub(began) / time.Millisecond), Held: r == 1, HeldStep: 5,
		}
	}
	for now := began; now.Sub(began) < 10*time.Minute; now = now.Add(10 * time.Millisecond) {
		for r := range btexpert.Rank(2) {
			lead.HandleReport(now, state(r, now), 0)
		}
		for _, c := range lead.Poll(now) {
			if c.Kind == btround.Hold && c.Ballot >= fence {
				return now.Sub(began)
			}
			result := btround.Result{Round: c.Round, Kind: c.Kind, Verdict: btround.Reached, Ballot: c.Ballot, State: state(c.Rank, now)}
			if c.Ballot < fence {
				result.Verdict, result.Fenced, result.Ballot = btround.Outranked, true, c.Ballot.Next(0, 0)
			}
			lead.HandleResult(now, result)
		}
	}
	t.Fatal("never claimed")
	return 0
}
