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

// oneHome is the only home of its service; it gains its lease a second after
// since.
func oneHome(t *testing.T, since time.Time, retention time.Duration, records int) *btclaim.Home {
	s := btclaim.DefaultHomeSettings(btid.Executor{Target: "t0", Incarnation: 1}, service, since)
	s.MaxLease = time.Second
	s.MaxRecords = records
	r := loneRules()
	r.Lease = time.Second
	r.Retention = retention
	r.ClockError = time.Second
	home, err := btclaim.NewHome(since, s, r, btassert.New(btassert.Panic()))
	assert.NilError(t, err)
	home.Step(since.Add(time.Second), btclaim.Tick{})
	return home
}

// keep renews the lease from one time to another.
func keep(home *btclaim.Home, from, to time.Time) {
	for now := from; !now.After(to); now = now.Add(btclaim.TickInterval) {
		home.Step(now, btclaim.Tick{})
	}
}

func askKey(home *btclaim.Home, now, made time.Time) btclaim.AcquireReply {
	a := acquires(1, made)[0]
	a.Accepted = now
	return home.Step(now, a)[0].(btclaim.AcquireReply)
}

// TestLeaseEndsBeforeItsVotes: the holder uses 15/16 of it.
func TestLeaseEndsBeforeItsVotes(t *testing.T) {
	const used = time.Second * 15 / 16
	for late, want := range map[time.Duration]btrequest.Reason{used - 1: "", used: btclaim.LeaseMissing} {
		home := oneHome(t, epoch, time.Hour, 10)
		asked := epoch.Add(10 * time.Second)
		keep(home, epoch.Add(time.Second), asked)
		home.Step(asked.Add(time.Second/3), btclaim.Tick{})
		now := asked.Add(time.Second/3 + late)
		assert.Equal(t, askKey(home, now, now).Reason, want)
	}
}

// TestYouthMargin: an earlier life whose clock was ahead granted a key that was
// made ahead of that. A later life whose clock is behind must not take the key
// for younger than itself.
func TestYouthMargin(t *testing.T) {
	const clocks = time.Second
	ahead, behind := epoch.Add(clocks/2), epoch.Add(-clocks/2)
	early := oneHome(t, ahead.Add(-10*time.Second), time.Hour, 10)
	keep(early, ahead.Add(-9*time.Second), ahead)
	made := ahead.Add(clocks)
	assert.Assert(t, askKey(early, ahead, made).Grant != nil)

	late := oneHome(t, behind.Add(time.Millisecond), time.Hour, 10)
	leased := behind.Add(time.Second + time.Millisecond)
	reply := askKey(late, leased, made)
	assert.Assert(t, reply.Grant == nil && made.After(leased))
	assert.Equal(t, reply.Outcome, btrequest.Unknown)
	assert.Equal(t, reply.Reason, btclaim.HistoryLost)
	keep(late, leased, leased.Add(clocks))
	young := leased.Add(2*clocks + time.Millisecond)
	assert.Assert(t, askKey(late, leased.Add(clocks+time.Millisecond), young).Grant != nil)
}

// TestFullHomeKeepsItsWord: what was refused as not_run for want of memory is
// not granted within the hold, also when there is room again.
func TestFullHomeKeepsItsWord(t *testing.T) {
	home := oneHome(t, epoch, time.Second, 1)
	start := epoch.Add(5 * time.Second)
	made := start.Add(3900 * time.Millisecond)
	keep(home, epoch.Add(time.Second), start)
	assert.Assert(t, askKey(home, start, start).Grant != nil)
	keep(home, start, made)
	refused := askKey(home, made, made)
	assert.Equal(t, refused.Reason, btclaim.RecordsFull)
	assert.Equal(t, refused.Outcome, btrequest.NotRun)
	room := made.Add(500 * time.Millisecond)
	keep(home, made, room)
	again := askKey(home, room, made)
	assert.Equal(t, home.Status().Records, 0)
	assert.Equal(t, again.Reason, btclaim.RecordsFull)
	assert.Assert(t, again.Grant == nil)
}

// TestKeyTimes: a key older than the retention never runs again, though its
// record is gone; one from the future can't be younger than anybody's lease.
func TestKeyTimes(t *testing.T) {
	const retention = 5 * time.Second
	home := oneHome(t, epoch, retention, 10)
	now := epoch.Add(15 * time.Second)
	keep(home, epoch.Add(time.Second), now)
	cases := map[time.Duration]btclaim.AcquireReply{
		-retention - time.Millisecond:               {Outcome: btrequest.Unknown, Reason: btclaim.KeyExpired},
		time.Second + time.Millisecond:              {Outcome: btrequest.Unknown, Reason: btclaim.KeyInFuture},
		2*time.Second + 2*time.Second + time.Second: {Outcome: btrequest.NotRun, Reason: btclaim.KeyInFuture},
	}
	for age, want := range cases {
		reply := askKey(home, now, now.Add(age))
		assert.Assert(t, reply.Grant == nil)
		assert.Equal(t, reply.Outcome, want.Outcome)
		assert.Equal(t, reply.Reason, want.Reason)
	}
	assert.Assert(t, askKey(home, now, now.Add(-retention)).Grant != nil)
}

// TestLongerRetentionBringsNothingBack: keys and grants that were forgotten
// under a shorter retention stay refused.
func TestLongerRetentionBringsNothingBack(t *testing.T) {
	home := oneHome(t, epoch, 5*time.Second, 10)
	made := epoch.Add(10 * time.Second)
	keep(home, epoch.Add(time.Second), made)
	granted := askKey(home, made, made)
	assert.Assert(t, granted.Grant != nil)
	ledger := newLedger(func(s *btclaim.LedgerSettings) { s.Retention = 5 * time.Second })
	run := grantAt("k", made)
	ledger.Step(made, btclaim.RunRequested{Grant: run})

	later := made.Add(20 * time.Second)
	keep(home, made, later)
	rules := loneRules()
	rules.Lease = time.Second
	home.Step(later, btclaim.RulesChanged{Rules: rules})
	ledger.Step(later, btclaim.RulesChanged{Rules: rules})
	assert.Equal(t, askKey(home, later, made).Reason, btclaim.HistoryLost)
	refused := ledger.Step(later, btclaim.RunRequested{Grant: run})[0].(btclaim.Refused)
	assert.Equal(t, refused.Reason, btclaim.GrantForgotten)
}
