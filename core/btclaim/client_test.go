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
		Claim:       grantAt("k", startTime).Claim,
		Epoch:       epochs[0],
		MaxAttempts: 2,
		MaxAsks:     4,
	}
	return btclaim.NewClient(s), s
}

// TestNotRunIsReportedOnlyDuringHold: a home's not_run is valid for its hold, counted
// from before the request was sent. A reply that arrives later must yield unknown,
// since the home may have granted the claim in the meantime.
func TestNotRunIsReportedOnlyDuringHold(t *testing.T) {
	cases := map[time.Duration]btclaim.Result{
		1800 * time.Millisecond: {Outcome: btrequest.NotRun, Reason: btclaim.Held, RetryAfter: time.Second},
		1900 * time.Millisecond: {Outcome: btrequest.Unknown, Reason: btclaim.EvidenceStale, RetryAfter: time.Second},
	}
	for late, want := range cases {
		c, s := newClient()
		c.Step(startTime, btclaim.ClientStarted{})
		c.Step(startTime, btclaim.ExecutorChosen{Executor: self})
		reply := btclaim.AcquireReply{
			Request:    s.Request,
			Ask:        1,
			Outcome:    btrequest.NotRun,
			Reason:     btclaim.Held,
			RetryAfter: time.Second,
			Hold:       2 * time.Second,
		}
		assert.DeepEqual(t, c.Step(startTime.Add(late), reply), []btclaim.ClientEffect{want})
	}
}

// TestClientSendsSealsToHome: the client sends each sealed refusal to the home with
// the next executor, and the last one without.
func TestClientSendsSealsToHome(t *testing.T) {
	c, s := newClient()
	c.Step(startTime, btclaim.ClientStarted{})
	for attempt := uint32(1); attempt <= 2; attempt++ {
		c.Step(startTime, btclaim.ExecutorChosen{Executor: self})
		g := grantAt("k", startTime)
		g.Attempt = attempt
		reply := btclaim.AcquireReply{Request: s.Request, Ask: attempt, Grant: &g}
		assert.DeepEqual(t, c.Step(startTime, reply), []btclaim.ClientEffect{btclaim.SendRequest{Grant: g}})
		refused := btclaim.Refused{Claim: s.Claim, Attempt: attempt, Reason: "queue_full"}
		refused.Sealed = &btclaim.Sealed{Claim: s.Claim, Attempt: attempt, Executor: self, By: self}
		next := c.Step(startTime, refused)[0]
		if attempt == 1 {
			assert.DeepEqual(t, next, btclaim.ChooseExecutor{Exclude: []btid.Target{"t1"}})
			continue
		}
		assert.Equal(t, next.(btclaim.SendRelease).Message.Next, btid.Executor{})
	}
	reply := btclaim.AcquireReply{Request: s.Request, Ask: 3, Outcome: btrequest.NotRun, Reason: btclaim.NoExecutor, Hold: time.Second}
	want := btclaim.Result{Outcome: btrequest.NotRun, Reason: "queue_full"}
	assert.DeepEqual(t, c.Step(startTime, reply), []btclaim.ClientEffect{want})
}

// TestOutcomeIsUnknownWithoutHomeReply: the outcome is unknown if the home never answers.
func TestOutcomeIsUnknownWithoutHomeReply(t *testing.T) {
	c, s := newClient()
	c.Step(startTime, btclaim.ClientStarted{})
	c.Step(startTime, btclaim.ExecutorChosen{})
	for ask := uint32(1); ask < s.MaxAsks; ask++ {
		assert.Equal(t, len(c.Step(startTime, btclaim.HomeTimedOut{Ask: ask})), 1)
	}
	result := c.Step(startTime, btclaim.HomeTimedOut{Ask: s.MaxAsks})[0].(btclaim.Result)
	assert.Equal(t, result.Outcome, btrequest.Unknown)
	assert.Equal(t, result.Reason, btclaim.HomeUnreachable)
}
