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

// newSingleHome returns the only home of a service, which gains its lease a second
// after since.
func newSingleHome(t *testing.T, since time.Time, retention time.Duration, records int) *btclaim.Home {
	s := btclaim.DefaultHomeSettings(btid.Executor{Target: "t0", Incarnation: 1}, service, since)
	s.MaxLease = time.Second
	s.MaxRecords = records
	r := singleHomeRules()
	r.Lease = time.Second
	r.Retention = retention
	r.ClockError = time.Second
	home, err := btclaim.NewHome(since, s, r, btassert.New(btassert.Panic()))
	assert.NilError(t, err)
	home.Step(since.Add(time.Second), btclaim.Tick{})
	return home
}

// tickBetween ticks the home from one time to another, which renews its lease.
func tickBetween(home *btclaim.Home, from, to time.Time) {
	for now := from; !now.After(to); now = now.Add(btclaim.TickInterval) {
		home.Step(now, btclaim.Tick{})
	}
}

func acquireKey(home *btclaim.Home, now, made time.Time) btclaim.AcquireReply {
	a := newAcquires(1, made)[0]
	a.Accepted = now
	return home.Step(now, a)[0].(btclaim.AcquireReply)
}

// TestLeaseExpiresBeforeVotes: the holder uses 15/16 of the lease, so that a
// slower clock doesn't let it grant after its votes have expired.
func TestLeaseExpiresBeforeVotes(t *testing.T) {
	const used = time.Second * 15 / 16
	for late, want := range map[time.Duration]btrequest.Reason{used - 1: "", used: btclaim.LeaseMissing} {
		home := newSingleHome(t, startTime, time.Hour, 10)
		asked := startTime.Add(10 * time.Second)
		tickBetween(home, startTime.Add(time.Second), asked)
		home.Step(asked.Add(time.Second/3), btclaim.Tick{})
		now := asked.Add(time.Second/3 + late)
		assert.Equal(t, acquireKey(home, now, now).Reason, want)
	}
}

// TestKeyFromClockAheadIsNotGrantedTwice: an incarnation whose clock is ahead grants a key
// with a time that is further ahead. The next incarnation, whose clock is behind,
// must not treat the key as newer than its own lease and grant it again.
func TestKeyFromClockAheadIsNotGrantedTwice(t *testing.T) {
	const maxClockError = time.Second
	ahead, behind := startTime.Add(maxClockError/2), startTime.Add(-maxClockError/2)
	early := newSingleHome(t, ahead.Add(-10*time.Second), time.Hour, 10)
	tickBetween(early, ahead.Add(-9*time.Second), ahead)
	made := ahead.Add(maxClockError)
	assert.Assert(t, acquireKey(early, ahead, made).Grant != nil)

	late := newSingleHome(t, behind.Add(time.Millisecond), time.Hour, 10)
	leased := behind.Add(time.Second + time.Millisecond)
	reply := acquireKey(late, leased, made)
	assert.Assert(t, reply.Grant == nil && made.After(leased))
	assert.Equal(t, reply.Outcome, btrequest.Unknown)
	assert.Equal(t, reply.Reason, btclaim.HistoryLost)
	tickBetween(late, leased, leased.Add(maxClockError))
	newer := leased.Add(2*maxClockError + time.Millisecond)
	assert.Assert(t, acquireKey(late, leased.Add(maxClockError+time.Millisecond), newer).Grant != nil)
}

// TestFullHomeDoesNotGrantDuringHold: a claim refused as not_run for lack of memory isn't
// granted within the hold, even if a record has expired in the meantime.
func TestFullHomeDoesNotGrantDuringHold(t *testing.T) {
	home := newSingleHome(t, startTime, time.Second, 1)
	start := startTime.Add(5 * time.Second)
	made := start.Add(3900 * time.Millisecond)
	tickBetween(home, startTime.Add(time.Second), start)
	assert.Assert(t, acquireKey(home, start, start).Grant != nil)
	tickBetween(home, start, made)
	refused := acquireKey(home, made, made)
	assert.Equal(t, refused.Reason, btclaim.RecordsFull)
	assert.Equal(t, refused.Outcome, btrequest.NotRun)
	afterExpiry := made.Add(500 * time.Millisecond)
	tickBetween(home, made, afterExpiry)
	again := acquireKey(home, afterExpiry, made)
	assert.Equal(t, home.Status().Records, 0)
	assert.Equal(t, again.Reason, btclaim.RecordsFull)
	assert.Assert(t, again.Grant == nil)
}

// TestKeysOutsideRetentionOrClockErrorAreRefused: a key older than the retention never
// runs again, although its record is gone, and a key with a time in the future isn't
// treated as newer than any lease.
func TestKeysOutsideRetentionOrClockErrorAreRefused(t *testing.T) {
	const retention = 5 * time.Second
	home := newSingleHome(t, startTime, retention, 10)
	now := startTime.Add(15 * time.Second)
	tickBetween(home, startTime.Add(time.Second), now)
	cases := map[time.Duration]btclaim.AcquireReply{
		-retention - time.Millisecond:               {Outcome: btrequest.Unknown, Reason: btclaim.KeyExpired},
		time.Second + time.Millisecond:              {Outcome: btrequest.Unknown, Reason: btclaim.KeyInFuture},
		2*time.Second + 2*time.Second + time.Second: {Outcome: btrequest.NotRun, Reason: btclaim.KeyInFuture},
	}
	for age, want := range cases {
		reply := acquireKey(home, now, now.Add(age))
		assert.Assert(t, reply.Grant == nil)
		assert.Equal(t, reply.Outcome, want.Outcome)
		assert.Equal(t, reply.Reason, want.Reason)
	}
	assert.Assert(t, acquireKey(home, now, now.Add(-retention)).Grant != nil)
}

// TestLongerRetentionDoesNotRevalidateExpiredKeys: records that expired under a shorter retention
// are gone, so a longer one must not make their keys and grants valid again.
func TestLongerRetentionDoesNotRevalidateExpiredKeys(t *testing.T) {
	home := newSingleHome(t, startTime, 5*time.Second, 10)
	made := startTime.Add(10 * time.Second)
	tickBetween(home, startTime.Add(time.Second), made)
	granted := acquireKey(home, made, made)
	assert.Assert(t, granted.Grant != nil)
	ledger := newLedger(func(s *btclaim.LedgerSettings) { s.Retention = 5 * time.Second })
	run := grantAt("k", made)
	ledger.Step(made, btclaim.RunRequested{Grant: run})

	later := made.Add(20 * time.Second)
	tickBetween(home, made, later)
	rules := singleHomeRules()
	rules.Lease = time.Second
	home.Step(later, btclaim.RulesChanged{Rules: rules})
	ledger.Step(later, btclaim.RulesChanged{Rules: rules})
	assert.Equal(t, acquireKey(home, later, made).Reason, btclaim.HistoryLost)
	refused := ledger.Step(later, btclaim.RunRequested{Grant: run})[0].(btclaim.Refused)
	assert.Equal(t, refused.Reason, btclaim.GrantForgotten)
}
