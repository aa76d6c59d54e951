package btinventory_test

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btinventory"
)

const (
	grace    = 2 * time.Second
	minLapse = 2400 * time.Millisecond
)

var start = time.Unix(1000, 0)

func target(id btinventory.ID) btinventory.Target {
	return btinventory.Target{ID: id, Service: "s", Address: netip.MustParseAddrPort("127.0.0.1:80"), State: btinventory.Ready}
}

// listed returns a target whose record was created at the position.
func listed(id btinventory.ID, since btinventory.Position) btinventory.Target {
	t := target(id)
	t.Created = since
	return t
}

func newRegistry() *btinventory.Registry {
	return btinventory.NewRegistry(btinventory.LapsePolicy{Grace: grace, MinLapse: minLapse})
}

// peerList returns the list of a peer that has just read it and keeps no missing target.
func peerList(targets ...btinventory.Target) btinventory.PeerList {
	return btinventory.PeerList{ReadAt: start, Targets: targets}
}

func ids(r *btinventory.Registry) []btinventory.ID {
	var list []btinventory.ID
	for _, t := range r.Targets() {
		list = append(list, t.ID)
	}
	return list
}

func TestRemoveDropsTargetImmediately(t *testing.T) {
	r := newRegistry()
	r.Put(target("a"))
	r.Put(target("b"))
	changes := r.Remove(start, "a")
	assert.Equal(t, len(changes), 1)
	assert.Equal(t, changes[0].What, btinventory.Gone)
	assert.DeepEqual(t, ids(r), []btinventory.ID{"b"})
}

// Guards against dropping live targets whose records lapsed because the list was
// unavailable: they need time to write their records again.
func TestRecordLapsedDuringOutageIsKeptForGracePeriod(t *testing.T) {
	r := newRegistry()
	r.Put(target("back"))
	r.Put(target("dead"))
	r.Interrupted(start)
	r.Resumed(start)
	r.Remove(start, "back")
	r.Remove(start, "dead")
	assert.Equal(t, len(ids(r)), 2)
	r.Put(target("back"))
	assert.Equal(t, len(r.Expire(start.Add(grace-1))), 0)
	changes := r.Expire(start.Add(grace))
	assert.Equal(t, len(changes), 1)
	assert.DeepEqual(t, ids(r), []btinventory.ID{"back"})
	// After the grace period a removal drops the target at once.
	r.Remove(start.Add(grace), "back")
	assert.Equal(t, len(ids(r)), 0)
}

func TestRemoveBeforeReadsResumeGrantsNoGracePeriod(t *testing.T) {
	r := newRegistry()
	r.Put(target("a"))
	r.Interrupted(start)
	r.Remove(start, "a")
	assert.Equal(t, len(ids(r)), 0)
}

func TestDrainingTargetGetsNoGracePeriod(t *testing.T) {
	r := newRegistry()
	a := target("a")
	r.Put(a)
	a.State = btinventory.Draining
	changes := r.Put(a)
	assert.Equal(t, changes[0].What, btinventory.Drained)
	r.Interrupted(start)
	r.Resumed(start)
	r.Remove(start, "a")
	assert.Equal(t, len(ids(r)), 0)
}

func TestReplaceDropsUnlistedTargets(t *testing.T) {
	r := newRegistry()
	r.Replace(start, []btinventory.Target{target("a"), target("b")})
	changes := r.Replace(start, []btinventory.Target{target("b"), target("c")})
	assert.Equal(t, len(changes), 2)
	assert.DeepEqual(t, ids(r), []btinventory.ID{"b", "c"})
}

func TestReplaceFromPeerDropsUnlistedTargets(t *testing.T) {
	r := newRegistry()
	r.Put(target("a"))
	r.Put(target("b"))
	r.Interrupted(start)
	r.Resumed(start)
	assert.Equal(t, len(r.ReplaceFromPeer(start, peerList([]btinventory.Target{target("b"), target("c")}...))), 2)
	assert.DeepEqual(t, ids(r), []btinventory.ID{"b", "c"})
	assert.Equal(t, len(r.ReplaceFromPeer(start, peerList([]btinventory.Target{target("b"), target("c")}...))), 0)
}

func TestRenewedRecordIsNotReportedAsChanged(t *testing.T) {
	r := newRegistry()
	a := target("a")
	a.Member = &btinventory.Member{Group: "g", Rank: 1, Size: 2}
	r.Put(a)
	b := a
	b.Member = &btinventory.Member{Group: "g", Rank: 1, Size: 2}
	assert.Equal(t, len(r.Put(b)), 0)
	b.Member = &btinventory.Member{Group: "g", Rank: 0, Size: 2}
	assert.Equal(t, len(r.Put(b)), 1)
}

func TestValidateRejectsIncompleteTargets(t *testing.T) {
	for _, change := range []func(*btinventory.Target){
		func(t *btinventory.Target) { t.ID = "" },
		func(t *btinventory.Target) { t.Service = "" },
		func(t *btinventory.Target) { t.Address = netip.AddrPort{} },
		func(t *btinventory.Target) { t.State = "unknown" },
	} {
		a := target("a")
		change(&a)
		assert.Assert(t, a.Validate() != nil)
		assert.Assert(t, btinventory.Roster{Targets: []btinventory.Target{a}}.Validate() != nil)
	}
}

// Two records with one address are two starts of a target, of which the later one runs.
func TestPutDropsEarlierRecordWithSameAddress(t *testing.T) {
	r := newRegistry()
	r.Put(listed("old", 3))
	changes := r.Put(listed("new", 7))
	assert.Equal(t, changes[0].What, btinventory.Gone)
	assert.Equal(t, changes[0].ID, btinventory.ID("old"))
	assert.Equal(t, changes[1].What, btinventory.Added)
	assert.DeepEqual(t, ids(r), []btinventory.ID{"new"})
	assert.Equal(t, len(r.Put(listed("old", 3))), 0, "the dropped record is listed again")
	assert.DeepEqual(t, ids(r), []btinventory.ID{"new"})
	r.Replace(start, []btinventory.Target{listed("new", 7), listed("old", 3)})
	assert.DeepEqual(t, ids(r), []btinventory.ID{"new"})
	r.Replace(start, []btinventory.Target{listed("old", 3), listed("new", 7)})
	assert.DeepEqual(t, ids(r), []btinventory.ID{"new"})
}

// One registry reads that a target was removed; a peer, whose watch was interrupted
// meanwhile, still holds it in grace and must not bring it back. Otherwise
// requests reach the target three seconds after its removal is listed.
func TestPeerListDoesNotRestoreDroppedRecord(t *testing.T) {
	gone := target("gone")
	gone.Created = 7
	stays := target("stays")
	stays.Created = 3
	stays.Address = netip.MustParseAddrPort("127.0.0.1:81")
	interrupted := newRegistry()
	reader := newRegistry()
	for _, r := range []*btinventory.Registry{interrupted, reader} {
		r.Put(gone)
		r.Put(stays)
	}
	interrupted.Interrupted(start)
	interrupted.Resumed(start)
	interrupted.Remove(start, "gone")
	reader.Remove(start, "gone")
	assert.Equal(t, len(interrupted.Targets()), 2)

	reader.ReplaceFromPeer(start, peerList(interrupted.Targets()...))
	assert.DeepEqual(t, ids(reader), []btinventory.ID{"stays"})

	// A record that was created again is accepted: the earlier one had only lapsed.
	gone.Created = 9
	changes := reader.ReplaceFromPeer(start, peerList([]btinventory.Target{gone, stays}...))
	assert.Equal(t, len(changes), 1)
	assert.Equal(t, changes[0].What, btinventory.Added)
	assert.DeepEqual(t, ids(reader), []btinventory.ID{"gone", "stays"})
}

// A record that the list itself holds again after its removal must no longer count as
// dropped when a peer sends it.
func TestPeerListRestoresRelistedRecord(t *testing.T) {
	back := target("back")
	back.Created = 7
	r := newRegistry()
	r.Put(back)
	r.Remove(start, "back")
	r.Put(back)
	r.ReplaceFromPeer(start, peerList([]btinventory.Target{back}...))
	assert.DeepEqual(t, ids(r), []btinventory.ID{"back"})
}

// Two entries hold the same missing target in grace. A peer's copy of the record must not
// clear the deadline: each would clear the other's, and a removed target would be kept
// indefinitely.
func TestPeerListDoesNotExtendGracePeriod(t *testing.T) {
	r := newRegistry()
	r.Put(listed("a", 3))
	r.Interrupted(start)
	r.Resumed(start)
	assert.Equal(t, r.Remove(start, "a")[0].What, btinventory.Missing)
	r.ReplaceFromPeer(start.Add(grace/2), peerList([]btinventory.Target{listed("a", 3)}...))
	assert.Equal(t, len(r.Expire(start.Add(grace))), 1)
	assert.Equal(t, len(ids(r)), 0)
	// A target that is listed again after its record lapsed has a newer record.
	r.Put(listed("b", 4))
	r.Interrupted(start)
	r.Resumed(start)
	r.Remove(start, "b")
	r.ReplaceFromPeer(start.Add(grace/2), peerList([]btinventory.Target{listed("b", 9)}...))
	assert.Equal(t, len(r.Expire(start.Add(grace))), 0)
	assert.DeepEqual(t, ids(r), []btinventory.ID{"b"})
}
