package btclaim_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btclaim"
	"bilberrytide/core/btid"
	"bilberrytide/core/btrequest"
)

func newClient() (*btclaim.Client, btclaim.ClientSettings) {
	s := btclaim.ClientSettings{
		Request:     btid.Request{Entry: "e0", Incarnation: 1, Number: 1},
		Claim:       grantAt("k", epoch).Claim,
		Epoch:       epochs[0],
		MaxAttempts: 2,
		MaxAsks:     4,
	}
	return btclaim.NewClient(s), s
}

// TestNotRunIsToldOnlyWhileItHolds: the home's word counts from before the ask.
func TestNotRunIsToldOnlyWhileItHolds(t *testing.T) {
	cases := map[time.Duration]btclaim.Result{
		1800 * time.Millisecond: {Outcome: btrequest.NotRun, Reason: btclaim.Held, RetryAfter: time.Second},
		1900 * time.Millisecond: {Outcome: btrequest.Unknown, Reason: btclaim.EvidenceStale, RetryAfter: time.Second},
	}
	for late, want := range cases {
		c, s := newClient()
		c.Step(epoch, btclaim.ClientStarted{})
		c.Step(epoch, btclaim.ExecutorChosen{Executor: self})
		reply := btclaim.AcquireReply{
			Request:    s.Request,
			Ask:        1,
			Outcome:    btrequest.NotRun,
			Reason:     btclaim.Held,
			RetryAfter: time.Second,
			Hold:       2 * time.Second,
		}
		assert.DeepEqual(t, c.Step(epoch.Add(late), reply), []btclaim.ClientEffect{want})
	}
}

// TestSealedGrantsAreReleased: each proved refusal goes to the home with the
// next executor, the last one with none.
func TestSealedGrantsAreReleased(t *testing.T) {
	c, s := newClient()
	c.Step(epoch, btclaim.ClientStarted{})
	for attempt := uint32(1); attempt <= 2; attempt++ {
		c.Step(epoch, btclaim.ExecutorChosen{Executor: self})
		g := grantAt("k", epoch)
		g.Attempt = attempt
		reply := btclaim.AcquireReply{Request: s.Request, Ask: attempt, Grant: &g}
		assert.DeepEqual(t, c.Step(epoch, reply), []btclaim.ClientEffect{btclaim.SendRequest{Grant: g}})
		refused := btclaim.Refused{Claim: s.Claim, Attempt: attempt, Reason: "queue_full"}
		refused.Sealed = &btclaim.Sealed{Claim: s.Claim, Attempt: attempt, Executor: self, By: self}
		next := c.Step(epoch, refused)[0]
		if attempt == 1 {
			assert.DeepEqual(t, next, btclaim.ChooseExecutor{Exclude: []btid.Target{"t1"}})
			continue
		}
		assert.Equal(t, next.(btclaim.SendRelease).Message.Next, btid.Executor{})
	}
	reply := btclaim.AcquireReply{Request: s.Request, Ask: 3, Outcome: btrequest.NotRun, Reason: btclaim.NoExecutor, Hold: time.Second}
	want := btclaim.Result{Outcome: btrequest.NotRun, Reason: "queue_full"}
	assert.DeepEqual(t, c.Step(epoch, reply), []btclaim.ClientEffect{want})
}

// TestSilenceIsUnknown: nothing is concluded from a home that doesn't answer.
func TestSilenceIsUnknown(t *testing.T) {
	c, s := newClient()
	c.Step(epoch, btclaim.ClientStarted{})
	c.Step(epoch, btclaim.ExecutorChosen{})
	for ask := uint32(1); ask < s.MaxAsks; ask++ {
		assert.Equal(t, len(c.Step(epoch, btclaim.HomeTimedOut{Ask: ask})), 1)
	}
	ended := c.Step(epoch, btclaim.HomeTimedOut{Ask: s.MaxAsks})[0].(btclaim.Result)
	assert.Equal(t, ended.Outcome, btrequest.Unknown)
	assert.Equal(t, ended.Reason, btclaim.HomeUnreachable)
}
