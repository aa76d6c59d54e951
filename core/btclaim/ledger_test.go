package btclaim_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btassert"
	"bilberrytide/core/btclaim"
	"bilberrytide/core/btid"
	"bilberrytide/core/btrequest"
)

var self = btid.Executor{Target: "t1", Incarnation: 100}

func newLedger(change func(*btclaim.LedgerSettings)) *btclaim.Ledger {
	s := btclaim.LedgerSettings{
		Self:        self,
		Retention:   time.Hour,
		ClockError:  clockError,
		MaxRecords:  3,
		AnswerBytes: 100,
		MaxAnswer:   60,
	}
	if change != nil {
		change(&s)
	}
	return btclaim.NewLedger(startTime, s, btassert.New(btassert.Panic()))
}

func grantAt(key btrequest.Key, issued time.Time) btclaim.Grant {
	return btclaim.Grant{
		Claim:    btclaim.Claim{Service: service, Account: "families", Key: key},
		Executor: self,
		Attempt:  1,
		IssuedAt: issued,
		NotAfter: issued.Add(30 * time.Second),
	}
}

// TestLedgerSealsOnlyGrantsThatNeverRun lists which refusals are sealed, that is,
// prove that the grant never runs.
func TestLedgerSealsOnlyGrantsThatNeverRun(t *testing.T) {
	now := startTime.Add(time.Minute)
	cases := map[string]struct {
		change func(*btclaim.Grant)
		at     time.Time
		reason btrequest.Reason
		sealed bool
	}{
		"another target": {func(g *btclaim.Grant) { g.Executor.Target = "t2" }, now, btclaim.WrongExecutor, false},
		"earlier incarnation, exited before grant": {func(g *btclaim.Grant) { g.Executor.Incarnation = 99 }, now, btclaim.WrongIncarnation, true},
		"later incarnation":                        {func(g *btclaim.Grant) { g.Executor.Incarnation = 101 }, now, btclaim.WrongIncarnation, false},
		"late":                                     {func(*btclaim.Grant) {}, now.Add(31 * time.Second), btclaim.GrantExpired, true},
		"older than the retention":                 {func(*btclaim.Grant) {}, now.Add(2 * time.Hour), btclaim.GrantForgotten, false},
		"issued in the future":                     {func(*btclaim.Grant) {}, now.Add(-time.Second), btclaim.GrantInFuture, false},
		"earlier incarnation, alive at grant":      {func(g *btclaim.Grant) { g.Executor.Incarnation, g.IssuedAt = 99, startTime }, now, btclaim.WrongIncarnation, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			l := newLedger(nil)
			g := grantAt("k", now)
			c.change(&g)
			refused := l.Step(c.at, btclaim.RunRequested{Grant: g})[0].(btclaim.Refused)
			assert.Equal(t, refused.Reason, c.reason)
			assert.Equal(t, refused.Sealed != nil, c.sealed)
			assert.NilError(t, refused.Validate())
		})
	}
}

// TestLedgerRunsOnceAndReplays: a repeated grant gets the run in progress or its kept
// answer and never starts a second run.
func TestLedgerRunsOnceAndReplays(t *testing.T) {
	l := newLedger(nil)
	g := grantAt("k", startTime)
	assert.DeepEqual(t, l.Step(startTime, btclaim.RunRequested{Grant: g}), []btclaim.LedgerEffect{btclaim.Start{Grant: g}})
	assert.DeepEqual(t, l.Step(startTime, btclaim.RunRequested{Grant: g}), []btclaim.LedgerEffect{btclaim.InProgress{Grant: g}})
	assert.Equal(t, len(l.Step(startTime, btclaim.RunFinished{Claim: g.Claim, Bytes: 60})), 0)
	sealed := l.Step(startTime, btclaim.SealRequested{Grant: g, Reason: "queue_full"})
	assert.DeepEqual(t, sealed, []btclaim.LedgerEffect{btclaim.Replay{Grant: g, Bytes: 60}})
	other := grantAt("k2", startTime)
	l.Step(startTime, btclaim.RunRequested{Grant: other})
	dropped := l.Step(startTime, btclaim.RunFinished{Claim: other.Claim, Bytes: 50})
	assert.DeepEqual(t, dropped, []btclaim.LedgerEffect{btclaim.DropAnswer{Claim: g.Claim}})
	refused := l.Step(startTime, btclaim.RunRequested{Grant: g})[0].(btclaim.Refused)
	assert.Equal(t, refused.Reason, btclaim.AnswerDropped)
	assert.Assert(t, refused.Sealed == nil)
	changed := g
	changed.Content[0] = 1
	refused = l.Step(startTime, btclaim.RunRequested{Grant: changed})[0].(btclaim.Refused)
	assert.Equal(t, refused.Reason, btclaim.KeyReused)
}

// TestLedgerNeverRunsSealedGrant: a sealed grant never runs, also if it was sealed
// for lack of memory or because nothing of it reached the target. The next attempt of
// its claim does run, and can't be sealed once it has finished.
func TestLedgerNeverRunsSealedGrant(t *testing.T) {
	l := newLedger(func(s *btclaim.LedgerSettings) { s.MaxRecords = 1 })
	first, second := grantAt("k", startTime), grantAt("k2", startTime.Add(time.Millisecond))
	l.Step(startTime, btclaim.RunRequested{Grant: first})
	unsent := l.Step(startTime, btclaim.RunNotSent{Grant: first, Reason: "target_unreachable"})[0].(btclaim.Refused)
	assert.Assert(t, unsent.Sealed != nil && unsent.Reason == "target_unreachable")
	full := l.Step(startTime, btclaim.RunRequested{Grant: second})[0].(btclaim.Refused)
	assert.Equal(t, full.Reason, btclaim.LedgerFull)
	assert.Assert(t, full.Sealed != nil)
	for _, g := range []btclaim.Grant{first, second} {
		again := l.Step(startTime, btclaim.RunRequested{Grant: g})[0].(btclaim.Refused)
		assert.Equal(t, again.Reason, btclaim.GrantSealed)
	}
	next := grantAt("k", startTime.Add(time.Second))
	next.Attempt = 2
	assert.DeepEqual(t, l.Step(startTime.Add(time.Second), btclaim.RunRequested{Grant: next}),
		[]btclaim.LedgerEffect{btclaim.Start{Grant: next}})
	expired := startTime.Add(time.Hour + 2*clockError)
	assert.DeepEqual(t, l.Step(expired, btclaim.RunRequested{Grant: next}),
		[]btclaim.LedgerEffect{btclaim.InProgress{Grant: next}})
	l.Step(expired, btclaim.RunLost{Claim: next.Claim})
	defer func() {
		violation, _ := recover().(btassert.Violation)
		assert.Equal(t, violation.Name, btclaim.SealsOnlyRunInProgress)
	}()
	l.Step(expired, btclaim.RunNotSent{Grant: next})
}
