package btclaim_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btclaim"
	"bilberrytide/core/btid"
	"bilberrytide/core/btrequest"
)

// movedKey returns a new key whose home moves from t0 to t3 with version 2.
func (w *world) movedKey() btclaim.Claim {
	for {
		c := btclaim.Claim{Service: service, Account: "families", Key: w.newKey(w.now)}
		before, _ := btclaim.HomeOf(epochs[0], c)
		after, _ := btclaim.HomeOf(epochs[1], c)
		if before == "t0" && after == "t3" {
			return c
		}
	}
}

// ask sends a claim by an entry and waits for the outcome.
func (w *world) ask(e *entry, c btclaim.Claim) btclaim.Result {
	var ended btclaim.Result
	e.take(c, func(m btclaim.Result) {
		w.told(c, m)
		ended = m
	})
	w.run(8 * time.Second)
	return ended
}

// quiet is a world without failures at version 1 whose homes hold their leases.
func quiet(v variant) *world {
	w := newWorld(0, v)
	w.calm = true
	w.run(10 * time.Second)
	return w
}

// cutOff cuts the named targets and the first entry off, then publishes version
// 2 to the others.
func (w *world) cutOff(names ...btid.Target) {
	w.entries[0].side = 1
	for _, t := range names {
		w.agent(t).side = 1
	}
	w.published = 2
	for _, p := range w.processes() {
		if p.side == 0 {
			w.catchUp(p)
		}
	}
}

func (w *world) heal() {
	for _, p := range w.processes() {
		p.side = 0
	}
}

// untilGranted sends a new moved key every 100 ms until one is granted.
func (w *world) untilGranted(e *entry) time.Duration {
	start := w.now
	done := false
	for !done && w.now.Sub(start) < time.Minute {
		e.take(w.movedKey(), func(m btclaim.Result) { done = done || m.Outcome == btrequest.Done })
		w.run(100 * time.Millisecond)
	}
	return w.now.Sub(start)
}

// TestCutOffHomeOfAMovedRange is the hardest case: version 2 moves a range from
// t0 to t3 while t0 is cut off at version 1 with callers on its side.
func TestCutOffHomeOfAMovedRange(t *testing.T) {
	w := quiet(variant{home: chosen})
	far, near := w.entries[0], w.entries[1]
	old := w.movedKey()
	assert.Equal(t, w.ask(near, old).Outcome, btrequest.Done)
	w.cutOff("t0")

	waited := w.untilGranted(near)
	t.Logf("the new home granted %s after the cut", waited)
	assert.Assert(t, waited < 6*time.Second)
	fresh := w.movedKey()
	assert.Equal(t, w.ask(near, fresh).Outcome, btrequest.Done)

	refused := w.ask(far, w.movedKey())
	assert.Equal(t, refused.Outcome, btrequest.Unknown)
	assert.Equal(t, refused.Reason, btclaim.LeaseMissing)
	assert.Equal(t, w.ask(far, fresh).Outcome, btrequest.Unknown)
	silent := w.ask(near, old)
	assert.Equal(t, silent.Outcome, btrequest.Unknown)
	assert.Equal(t, silent.Reason, btclaim.EarlierHomeSilent)

	w.heal()
	assert.Equal(t, w.ask(near, old).Outcome, btrequest.Done, "replayed on the old home's word")
	w.catchUp(w.agent("t0").process)
	w.run(5 * time.Second)
	assert.Equal(t, w.ask(far, fresh).Outcome, btrequest.Done, "replayed by redirection")
	assert.Equal(t, w.violation, "")
}

// TestCutOffMajorityKeepsTheRange: with most of the old homes on the far side,
// they go on and the new home refuses.
func TestCutOffMajorityKeepsTheRange(t *testing.T) {
	w := quiet(variant{home: chosen})
	w.cutOff("t0", "t1", "t4", "t5")
	w.run(time.Minute)
	assert.Equal(t, w.ask(w.entries[0], w.movedKey()).Outcome, btrequest.Done)
	refused := w.ask(w.entries[1], w.movedKey())
	assert.Equal(t, refused.Outcome, btrequest.Unknown)
	assert.Equal(t, refused.Reason, btclaim.LeaseMissing)
	assert.Equal(t, w.violation, "")
}

// TestCutOffHomeRunsTwiceByHash shows the cut's danger.
func TestCutOffHomeRunsTwiceByHash(t *testing.T) {
	w := quiet(variant{home: byHash})
	w.cutOff("t0")
	w.run(10 * time.Second)
	key := w.movedKey()
	w.ask(w.entries[0], key)
	w.ask(w.entries[1], key)
	assert.Assert(t, w.ran[key] == 2 && w.violation != "")
}

// TestWordWithoutLeaseRunsTwice: the old home gives its word, restarts onto the
// stale bundle and grants in the moved range again.
func TestWordWithoutLeaseRunsTwice(t *testing.T) {
	for name, want := range map[string]int{"word": 2, "lease": 1} {
		t.Run(name, func(t *testing.T) {
			v := variant{home: chosen}
			if name == "word" {
				v.home = byWord
			}
			w := quiet(v)
			w.cutOff()
			w.run(10 * time.Second)
			w.ask(w.entries[1], w.movedKey()) // fetches the word
			w.entries[0].version = 1
			w.entries[0].side = 1
			old := w.agent("t0")
			old.side = 1
			old.version = 1
			old.start()
			w.run(20 * time.Second)
			key := w.movedKey()
			w.ask(w.entries[0], key)
			w.ask(w.entries[1], key)
			assert.Equal(t, w.ran[key], want)
		})
	}
}

// TestGrantToAnEarlierLife: an executor dies in the middle of a run; the next
// life must not run the grant again.
func TestGrantToAnEarlierLife(t *testing.T) {
	for _, naive := range []bool{false, true} {
		w := quiet(variant{home: chosen, noIncarnation: naive})
		key := w.movedKey()
		w.entries[1].take(key, func(btclaim.Result) {})
		for w.ran[key] == 0 {
			w.run(time.Millisecond)
		}
		for _, a := range w.agents {
			if a.target != "t0" {
				a.start()
			}
		}
		w.run(10 * time.Second)
		ended := w.ask(w.entries[2], key)
		if naive {
			assert.Equal(t, w.ran[key], 2)
			continue
		}
		assert.Equal(t, ended.Outcome, btrequest.Unknown)
		assert.Equal(t, ended.Reason, btclaim.WrongIncarnation)
		assert.Equal(t, w.ran[key], 1)
	}
}

// TestRollbackByStaleRestarts: the new home took a record over and ran the next
// attempt, and ran another key of its own; then the old home's voters restart
// onto the stale bundle and it gains its lease again, with its record as it was.
func TestRollbackByStaleRestarts(t *testing.T) {
	w := quiet(variant{home: chosen})
	far, near, old, key := w.entries[0], w.entries[1], w.agent("t0"), w.movedKey()
	executor := w.agent("t5")
	reply := old.home.Step(old.local(), btclaim.Acquire{
		Request:  btid.Request{Entry: "e0", Incarnation: 1, Number: 1},
		Claim:    key,
		Executor: btid.Executor{Target: "t5", Incarnation: executor.incarnation},
		Accepted: w.now,
	})[0].(btclaim.AcquireReply)
	executor.stepLedger(btclaim.SealRequested{Grant: *reply.Grant, Reason: "queue_full"}, func(btclaim.ClientEvent) {})

	w.published = 2
	for _, p := range w.processes() {
		if p != old.process && p != far.process {
			w.catchUp(p)
		}
	}
	w.run(10 * time.Second)
	unseen := w.movedKey()
	assert.Equal(t, w.ask(near, key).Outcome, btrequest.Done)
	assert.Equal(t, w.ask(near, unseen).Outcome, btrequest.Done)

	w.published = 1
	for _, name := range []btid.Target{"t1", "t2"} {
		w.agent(name).version = 1
		w.agent(name).start()
	}
	for _, name := range []btid.Target{"t0", "t1", "t2", "t5"} {
		w.agent(name).side = 1
	}
	far.side = 1
	w.run(10 * time.Second)
	assert.Equal(t, w.ask(far, w.movedKey()).Outcome, btrequest.Done, "the old home holds the lease")
	for _, claim := range []btclaim.Claim{key, unseen} {
		ended := w.ask(far, claim)
		assert.Equal(t, ended.Outcome, btrequest.Unknown)
		assert.Equal(t, ended.Reason, btclaim.HistoryLost)
	}
	assert.Equal(t, w.violation, "")
}

// TestRestartedEarlierHomeProvesNothing: "never" from a life that began after
// the key was made says nothing of the life before.
func TestRestartedEarlierHomeProvesNothing(t *testing.T) {
	w := quiet(variant{home: chosen})
	key := w.movedKey()
	assert.Equal(t, w.ask(w.entries[1], key).Outcome, btrequest.Done)
	w.agent("t0").start()
	w.cutOff()
	w.run(10 * time.Second)
	ended := w.ask(w.entries[1], key)
	assert.Equal(t, ended.Outcome, btrequest.Unknown)
	assert.Equal(t, ended.Reason, btclaim.HistoryLost)
}
