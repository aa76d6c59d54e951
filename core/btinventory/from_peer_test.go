package btinventory_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btinventory"
)

// peerInGrace returns the list of a peer that was read after an outage and keeps a target that
// it lacks.
func peerInGrace(readAt time.Time) btinventory.PeerList {
	t := listed("a", 3)
	t.InGrace = true
	return btinventory.PeerList{ReadAt: readAt, Targets: []btinventory.Target{t}, GraceEnds: readAt.Add(grace)}
}

// TestPeerGracePeriodIsIgnoredWithoutLocalOutage guards against requests to a removed
// target at a process that could read the list throughout, because the peer that sent its
// list could not.
func TestPeerGracePeriodIsIgnoredWithoutLocalOutage(t *testing.T) {
	r := newRegistry()
	r.Resumed(start)
	r.Put(listed("a", 3))
	changes := r.ReplaceFromPeer(start, peerInGrace(start.Add(minLapse)))
	assert.Equal(t, len(changes), 1)
	assert.Equal(t, changes[0].What, btinventory.Gone)
}

// TestPeerGracePeriodEndsAtPeerDeadline guards against a process that keeps a removed target
// until it receives the peer's removal, however late.
func TestPeerGracePeriodEndsAtPeerDeadline(t *testing.T) {
	r := newRegistry()
	r.Resumed(start)
	r.Put(listed("a", 3))
	back := start.Add(2 * minLapse)
	assert.Equal(t, len(r.ReplaceFromPeer(back, peerInGrace(back))), 0)
	assert.DeepEqual(t, ids(r), []btinventory.ID{"a"})
	assert.Equal(t, r.NextExpiry(), back.Add(grace))
	// The next list of the peer, of the same outage, doesn't extend it.
	again := peerInGrace(back.Add(time.Second))
	again.GraceEnds = back.Add(2 * grace)
	r.ReplaceFromPeer(back.Add(time.Second), again)
	assert.Equal(t, len(r.Expire(back.Add(grace))), 1)
	assert.Equal(t, len(ids(r)), 0)
}

// TestListMarksTargetsInGracePeriod guards against a peer that treats a missing target as
// listed.
func TestListMarksTargetsInGracePeriod(t *testing.T) {
	r := newRegistry()
	r.Resumed(start)
	r.Put(listed("a", 3))
	r.Interrupted(start.Add(minLapse))
	back := start.Add(2 * minLapse)
	r.Resumed(back)
	listed := r.List()
	assert.Equal(t, r.Remove(back, "a")[0].What, btinventory.Missing)
	assert.Assert(t, !listed[0].InGrace)
	assert.Assert(t, r.List()[0].InGrace)
	assert.Assert(t, !r.Targets()[0].InGrace)
	assert.Assert(t, string(btinventory.NewCellDigests(listed)) != string(btinventory.NewCellDigests(r.List())))
}

// TestReadAfterPeerListsGrantsNoGracePeriod guards against a grace period for a
// removed target at an entry that couldn't read the list itself but received it from
// others.
func TestReadAfterPeerListsGrantsNoGracePeriod(t *testing.T) {
	r := newRegistry()
	r.Resumed(start)
	r.Put(listed("a", 3))
	r.Interrupted(start.Add(time.Second))
	now := start.Add(10 * time.Second)
	r.ReplaceFromPeer(now, btinventory.PeerList{ReadAt: now.Add(-time.Second), Targets: []btinventory.Target{listed("a", 3)}})
	r.Resumed(now)
	assert.Equal(t, r.Remove(now, "a")[0].What, btinventory.Gone)
}

// TestGracePeriodEndsWithinRecovery guards against a grace period that starts late,
// because the first read came late after the outage, and so extends beyond the recovery
// time, after which requests to a removed target violate the platform's bounds.
func TestGracePeriodEndsWithinRecovery(t *testing.T) {
	r := btinventory.NewRegistry(btinventory.LapsePolicy{Grace: grace, MinLapse: minLapse, Recovery: 3 * time.Second})
	r.Resumed(start)
	r.Put(target("a"))
	away := start.Add(5 * time.Second)
	r.Interrupted(away)
	back := away.Add(1600 * time.Millisecond)
	r.Resumed(back)
	assert.Equal(t, r.Remove(back, "a")[0].What, btinventory.Missing)
	assert.Equal(t, r.NextExpiry(), away.Add(3*time.Second))
}

// TestRelistedTargetKeepsItsLastDroppedRecord guards against restoring a removed target from
// a peer's list, because evicting an earlier drop of its ID discarded the last one.
func TestRelistedTargetKeepsItsLastDroppedRecord(t *testing.T) {
	const remembered = 1024
	r := newRegistry()
	r.Put(listed("a", 1))
	r.Remove(start, "a")
	for i := range remembered - 1 {
		id := btinventory.ID(fmt.Sprint(i))
		r.Put(listed(id, btinventory.Position(2+i)))
		r.Remove(start, id)
	}
	r.Put(listed("a", 5000))
	r.Remove(start, "a")
	r.Put(listed("last", 5001))
	r.Remove(start, "last")
	r.ReplaceFromPeer(start, peerList(listed("a", 5000)))
	assert.Equal(t, len(ids(r)), 0)
}

// TestPeerGracePeriodAfterRestoreEndsAtPeerDeadline guards against a target that is kept too
// long by an entry that detects the restore of the platform's list from a peer's list.
func TestPeerGracePeriodAfterRestoreEndsAtPeerDeadline(t *testing.T) {
	old, err := btinventory.NewPosition(1, 3)
	assert.NilError(t, err)
	r := newRegistry()
	r.Resumed(start)
	r.Put(listed("a", old))
	learned := start.Add(time.Second)
	r.Restored(learned, 2)
	l := peerInGrace(start.Add(500 * time.Millisecond))
	l.Targets[0] = listed("a", old)
	l.Targets[0].InGrace = true
	r.ReplaceFromPeer(learned, l)
	assert.DeepEqual(t, ids(r), []btinventory.ID{"a"})
	assert.Equal(t, r.NextExpiry(), l.GraceEnds)
}
