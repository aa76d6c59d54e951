package btclaim_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btclaim"
	"bilberrytide/core/btid"
	"bilberrytide/core/btrequest"
)

// movedKey returns a new claim whose home moves from t0 to t3 with version 2.
func (cl *cluster) movedKey() btclaim.Claim {
	for {
		c := btclaim.Claim{Service: service, Account: "families", Key: cl.newKey(cl.now)}
		before, _ := btclaim.HomeOf(epochs[0], c)
		after, _ := btclaim.HomeOf(epochs[1], c)
		if before == "t0" && after == "t3" {
			return c
		}
	}
}

// sendAndWait submits a claim at an entry and waits for the result.
func (cl *cluster) sendAndWait(e *entry, c btclaim.Claim) btclaim.Result {
	var result btclaim.Result
	e.submit(c, func(m btclaim.Result) {
		cl.checkResult(c, m)
		result = m
	})
	cl.advance(8 * time.Second)
	return result
}

// newFaultFree returns a cluster without faults at version 1 whose homes hold their
// leases.
func newFaultFree(v variant) *cluster {
	cl := newCluster(0, v)
	cl.faultFree = true
	cl.advance(10 * time.Second)
	return cl
}

// partition separates the named targets and the first entry from the others, and then
// publishes version 2 to the others.
func (cl *cluster) partition(names ...btid.Target) {
	cl.entries[0].partition = 1
	for _, t := range names {
		cl.agent(t).partition = 1
	}
	cl.published = 2
	for _, p := range cl.processes() {
		if p.partition == 0 {
			cl.scheduleUpdate(p)
		}
	}
}

func (cl *cluster) heal() {
	for _, p := range cl.processes() {
		p.partition = 0
	}
}

// sendUntilGranted submits a new claim of movedKey every 100 ms until one is granted,
// and returns how long that took.
func (cl *cluster) sendUntilGranted(e *entry) time.Duration {
	start := cl.now
	done := false
	for !done && cl.now.Sub(start) < time.Minute {
		e.submit(cl.movedKey(), func(m btclaim.Result) { done = done || m.Outcome == btrequest.Done })
		cl.advance(100 * time.Millisecond)
	}
	return cl.now.Sub(start)
}

// TestPartitionedOldHomeRefusesMovedKeys: version 2 moves a key range from t0 to t3 while t0
// is partitioned at version 1 together with some callers. Both homes could grant the
// same key. The new home must grant within seconds, and the old one must refuse.
func TestPartitionedOldHomeRefusesMovedKeys(t *testing.T) {
	cl := newFaultFree(variant{home: realHome})
	isolated, connected := cl.entries[0], cl.entries[1]
	old := cl.movedKey()
	assert.Equal(t, cl.sendAndWait(connected, old).Outcome, btrequest.Done)
	cl.partition("t0")

	waited := cl.sendUntilGranted(connected)
	t.Logf("the new home granted %s after the partition", waited)
	assert.Assert(t, waited < 6*time.Second)
	fresh := cl.movedKey()
	assert.Equal(t, cl.sendAndWait(connected, fresh).Outcome, btrequest.Done)

	refused := cl.sendAndWait(isolated, cl.movedKey())
	assert.Equal(t, refused.Outcome, btrequest.Unknown)
	assert.Equal(t, refused.Reason, btclaim.LeaseMissing)
	assert.Equal(t, cl.sendAndWait(isolated, fresh).Outcome, btrequest.Unknown)
	silent := cl.sendAndWait(connected, old)
	assert.Equal(t, silent.Outcome, btrequest.Unknown)
	assert.Equal(t, silent.Reason, btclaim.EarlierHomeUnresponsive)

	cl.heal()
	assert.Equal(t, cl.sendAndWait(connected, old).Outcome, btrequest.Done, "replayed from the old home's record")
	cl.scheduleUpdate(cl.agent("t0").process)
	cl.advance(5 * time.Second)
	assert.Equal(t, cl.sendAndWait(isolated, fresh).Outcome, btrequest.Done, "replayed by redirection")
	assert.Equal(t, cl.violation, "")
}

// TestPartitionedMajorityOfOldHomesKeepsGranting: with most of the old homes on the other side of
// the partition, these continue to grant and the new home refuses.
func TestPartitionedMajorityOfOldHomesKeepsGranting(t *testing.T) {
	cl := newFaultFree(variant{home: realHome})
	cl.partition("t0", "t1", "t4", "t5")
	cl.advance(time.Minute)
	assert.Equal(t, cl.sendAndWait(cl.entries[0], cl.movedKey()).Outcome, btrequest.Done)
	refused := cl.sendAndWait(cl.entries[1], cl.movedKey())
	assert.Equal(t, refused.Outcome, btrequest.Unknown)
	assert.Equal(t, refused.Reason, btclaim.LeaseMissing)
	assert.Equal(t, cl.violation, "")
}

// TestPartitionedHashOnlyHomeRunsTwice shows that homes which decide by the hash
// alone run a key twice in this partition.
func TestPartitionedHashOnlyHomeRunsTwice(t *testing.T) {
	cl := newFaultFree(variant{home: naiveHashHome})
	cl.partition("t0")
	cl.advance(10 * time.Second)
	key := cl.movedKey()
	cl.sendAndWait(cl.entries[0], key)
	cl.sendAndWait(cl.entries[1], key)
	assert.Assert(t, cl.runs[key] == 2 && cl.violation != "")
}

// TestCachedReplyWithoutLeaseRunsTwice: the old home replies that it no longer grants
// in the moved range, then restarts on the stale bundle and grants there
// again. Homes that cache such replies run a key twice; homes with leases don't.
func TestCachedReplyWithoutLeaseRunsTwice(t *testing.T) {
	for name, want := range map[string]int{"cached reply": 2, "lease": 1} {
		t.Run(name, func(t *testing.T) {
			v := variant{home: realHome}
			if name == "cached reply" {
				v.home = naiveReplyHome
			}
			cl := newFaultFree(v)
			cl.partition()
			cl.advance(10 * time.Second)
			cl.sendAndWait(cl.entries[1], cl.movedKey()) // the new home caches the old home's reply
			cl.entries[0].version = 1
			cl.entries[0].partition = 1
			old := cl.agent("t0")
			old.partition = 1
			old.version = 1
			old.start()
			cl.advance(20 * time.Second)
			key := cl.movedKey()
			cl.sendAndWait(cl.entries[0], key)
			cl.sendAndWait(cl.entries[1], key)
			assert.Equal(t, cl.runs[key], want)
		})
	}
}

// TestGrantToEarlierIncarnationDoesNotRunAgain: an executor that restarts during a
// run has no record of it and must not run the grant again. Executors that ignore the
// incarnation do.
func TestGrantToEarlierIncarnationDoesNotRunAgain(t *testing.T) {
	for _, naive := range []bool{false, true} {
		cl := newFaultFree(variant{home: realHome, ignoreIncarnation: naive})
		key := cl.movedKey()
		cl.entries[1].submit(key, func(btclaim.Result) {})
		for cl.runs[key] == 0 {
			cl.advance(time.Millisecond)
		}
		for _, a := range cl.agents {
			if a.target != "t0" {
				a.start()
			}
		}
		cl.advance(10 * time.Second)
		result := cl.sendAndWait(cl.entries[2], key)
		if naive {
			assert.Equal(t, cl.runs[key], 2)
			continue
		}
		assert.Equal(t, result.Outcome, btrequest.Unknown)
		assert.Equal(t, result.Reason, btclaim.WrongIncarnation)
		assert.Equal(t, cl.runs[key], 1)
	}
}

// TestHomeWithStaleBundleDoesNotGrantAgain: the new home took over a record and ran its
// next attempt, and ran another key that the old home never saw. Then the old home's
// voters restart on the stale bundle, so that it regains its lease with an outdated
// record. It must not grant either key again.
func TestHomeWithStaleBundleDoesNotGrantAgain(t *testing.T) {
	cl := newFaultFree(variant{home: realHome})
	isolated, connected, old, key := cl.entries[0], cl.entries[1], cl.agent("t0"), cl.movedKey()
	executor := cl.agent("t5")
	reply := old.home.Step(old.localTime(), btclaim.Acquire{
		Request:  btid.Request{Entry: "e0", Incarnation: 1, Number: 1},
		Claim:    key,
		Executor: btid.Executor{Target: "t5", Incarnation: executor.incarnation},
		Accepted: cl.now,
	})[0].(btclaim.AcquireReply)
	executor.stepLedger(btclaim.SealRequested{Grant: *reply.Grant, Reason: "queue_full"}, func(btclaim.ClientEvent) {})

	cl.published = 2
	for _, p := range cl.processes() {
		if p != old.process && p != isolated.process {
			cl.scheduleUpdate(p)
		}
	}
	cl.advance(10 * time.Second)
	unseen := cl.movedKey()
	assert.Equal(t, cl.sendAndWait(connected, key).Outcome, btrequest.Done)
	assert.Equal(t, cl.sendAndWait(connected, unseen).Outcome, btrequest.Done)

	cl.published = 1
	for _, name := range []btid.Target{"t1", "t2"} {
		cl.agent(name).version = 1
		cl.agent(name).start()
	}
	for _, name := range []btid.Target{"t0", "t1", "t2", "t5"} {
		cl.agent(name).partition = 1
	}
	isolated.partition = 1
	cl.advance(10 * time.Second)
	assert.Equal(t, cl.sendAndWait(isolated, cl.movedKey()).Outcome, btrequest.Done, "the old home holds the lease")
	for _, claim := range []btclaim.Claim{key, unseen} {
		result := cl.sendAndWait(isolated, claim)
		assert.Equal(t, result.Outcome, btrequest.Unknown)
		assert.Equal(t, result.Reason, btclaim.HistoryLost)
	}
	assert.Equal(t, cl.violation, "")
}

// TestReplyOfRestartedHomeDoesNotCoverEarlierIncarnation: "never granted" from a home
// that restarted after the key was made doesn't cover its previous incarnation, which
// did grant the key.
func TestReplyOfRestartedHomeDoesNotCoverEarlierIncarnation(t *testing.T) {
	cl := newFaultFree(variant{home: realHome})
	key := cl.movedKey()
	assert.Equal(t, cl.sendAndWait(cl.entries[1], key).Outcome, btrequest.Done)
	cl.agent("t0").start()
	cl.partition()
	cl.advance(10 * time.Second)
	result := cl.sendAndWait(cl.entries[1], key)
	assert.Equal(t, result.Outcome, btrequest.Unknown)
	assert.Equal(t, result.Reason, btclaim.HistoryLost)
}
