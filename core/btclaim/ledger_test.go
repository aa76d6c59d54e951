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
	return btclaim.NewLedger(epoch, s, btassert.New(btassert.Panic()))
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

// TestLedgerRefusals lists which refusals are proofs that the grant didn't run.
func TestLedgerRefusals(t *testing.T) {
	now := epoch.Add(time.Minute)
	cases := map[string]struct {
		change func(*btclaim.Grant)
		at     time.Time
		reason btrequest.Reason
		sealed bool
	}{
		"another target":      {func(g *btclaim.Grant) { g.Executor.Target = "t2" }, now, btclaim.WrongExecutor, false},
		"earlier life, dead":  {func(g *btclaim.Grant) { g.Executor.Incarnation = 99 }, now, btclaim.WrongIncarnation, true},
		"later life":          {func(g *btclaim.Grant) { g.Executor.Incarnation = 101 }, now, btclaim.WrongIncarnation, false},
		"late":                {func(*btclaim.Grant) {}, now.Add(31 * time.Second), btclaim.GrantExpired, true},
		"beyond the memory":   {func(*btclaim.Grant) {}, now.Add(2 * time.Hour), btclaim.GrantForgotten, false},
		"from the future":     {func(*btclaim.Grant) {}, now.Add(-time.Second), btclaim.GrantInFuture, false},
		"earlier life, alive": {func(g *btclaim.Grant) { g.Executor.Incarnation, g.IssuedAt = 99, epoch }, now, btclaim.WrongIncarnation, false},
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

func TestLedgerRunsOnceAndReplays(t *testing.T) {
	l := newLedger(nil)
	g := grantAt("k", epoch)
	assert.DeepEqual(t, l.Step(epoch, btclaim.RunRequested{Grant: g}), []btclaim.LedgerEffect{btclaim.Start{Grant: g}})
	assert.DeepEqual(t, l.Step(epoch, btclaim.RunRequested{Grant: g}), []btclaim.LedgerEffect{btclaim.InProgress{Grant: g}})
	assert.Equal(t, len(l.Step(epoch, btclaim.RunFinished{Claim: g.Claim, Bytes: 60})), 0)
	sealed := l.Step(epoch, btclaim.SealRequested{Grant: g, Reason: "queue_full"})
	assert.DeepEqual(t, sealed, []btclaim.LedgerEffect{btclaim.Replay{Grant: g, Bytes: 60}})
	other := grantAt("k2", epoch)
	l.Step(epoch, btclaim.RunRequested{Grant: other})
	dropped := l.Step(epoch, btclaim.RunFinished{Claim: other.Claim, Bytes: 50})
	assert.DeepEqual(t, dropped, []btclaim.LedgerEffect{btclaim.DropAnswer{Claim: g.Claim}})
	refused := l.Step(epoch, btclaim.RunRequested{Grant: g})[0].(btclaim.Refused)
	assert.Equal(t, refused.Reason, btclaim.AnswerDropped)
	assert.Assert(t, refused.Sealed == nil)
	changed := g
	changed.Content[0] = 1
	refused = l.Step(epoch, btclaim.RunRequested{Grant: changed})[0].(btclaim.Refused)
	assert.Equal(t, refused.Reason, btclaim.KeyReused)
}

// TestLedgerSealBinds: a sealed grant never runs, also when it was sealed for
// want of memory or because its target saw nothing; its claim's next attempt
// does, and no seal follows the end of that.
func TestLedgerSealBinds(t *testing.T) {
	l := newLedger(func(s *btclaim.LedgerSettings) { s.MaxRecords = 1 })
	first, second := grantAt("k", epoch), grantAt("k2", epoch.Add(time.Millisecond))
	l.Step(epoch, btclaim.RunRequested{Grant: first})
	unsent := l.Step(epoch, btclaim.RunNotSent{Grant: first, Reason: "target_unreachable"})[0].(btclaim.Refused)
	assert.Assert(t, unsent.Sealed != nil && unsent.Reason == "target_unreachable")
	full := l.Step(epoch, btclaim.RunRequested{Grant: second})[0].(btclaim.Refused)
	assert.Equal(t, full.Reason, btclaim.LedgerFull)
	assert.Assert(t, full.Sealed != nil)
	for _, g := range []btclaim.Grant{first, second} {
		again := l.Step(epoch, btclaim.RunRequested{Grant: g})[0].(btclaim.Refused)
		assert.Equal(t, again.Reason, btclaim.GrantSealed)
	}
	next := grantAt("k", epoch.Add(time.Second))
	next.Attempt = 2
	assert.DeepEqual(t, l.Step(epoch.Add(time.Second), btclaim.RunRequested{Grant: next}),
		[]btclaim.LedgerEffect{btclaim.Start{Grant: next}})
	expired := epoch.Add(time.Hour + 2*clockError)
	assert.DeepEqual(t, l.Step(expired, btclaim.RunRequested{Grant: next}),
		[]btclaim.LedgerEffect{btclaim.InProgress{Grant: next}})
	l.Step(expired, btclaim.RunLost{Claim: next.Claim})
	defer func() {
		violation, _ := recover().(btassert.Violation)
		assert.Equal(t, violation.Name, btclaim.SealsNoEndedRun)
	}()
	l.Step(expired, btclaim.RunNotSent{Grant: next})
}
