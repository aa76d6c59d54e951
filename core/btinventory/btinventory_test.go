package btinventory_test

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btinventory"
)

const grace = 2 * time.Second

var start = time.Unix(1000, 0)

func target(id btinventory.ID) btinventory.Target {
	return btinventory.Target{ID: id, Service: "s", Address: netip.MustParseAddrPort("127.0.0.1:80"), State: btinventory.Ready}
}

// listed returns a target whose record was made at a revision of the list.
func listed(id btinventory.ID, since btinventory.Position) btinventory.Target {
	t := target(id)
	t.Created = since
	return t
}

func ids(r *btinventory.Registry) []btinventory.ID {
	var list []btinventory.ID
	for _, t := range r.Targets() {
		list = append(list, t.ID)
	}
	return list
}

func TestRemovedTargetsAreGoneAtOnce(t *testing.T) {
	r := btinventory.NewRegistry(grace)
	r.Put(target("a"))
	r.Put(target("b"))
	changes := r.Remove(start, "a")
	assert.Equal(t, len(changes), 1)
	assert.Equal(t, changes[0].What, btinventory.Gone)
	assert.DeepEqual(t, ids(r), []btinventory.ID{"b"})
}

// A target that can't renew its record while the list is away vanishes from it,
// and must not be lost to callers for that.
func TestTargetsThatLapsedMeanwhileStayForAGrace(t *testing.T) {
	r := btinventory.NewRegistry(grace)
	r.Put(target("back"))
	r.Put(target("dead"))
	r.Interrupted()
	r.Resumed(start)
	r.Remove(start, "back")
	r.Remove(start, "dead")
	assert.Equal(t, len(ids(r)), 2)
	r.Put(target("back"))
	assert.Equal(t, len(r.Expire(start.Add(grace-1))), 0)
	changes := r.Expire(start.Add(grace))
	assert.Equal(t, len(changes), 1)
	assert.DeepEqual(t, ids(r), []btinventory.ID{"back"})
	// Later removals are final again.
	r.Remove(start.Add(grace), "back")
	assert.Equal(t, len(ids(r)), 0)
}

func TestAnInterruptionWithoutAnEndForgivesNothing(t *testing.T) {
	r := btinventory.NewRegistry(grace)
	r.Put(target("a"))
	r.Interrupted()
	r.Remove(start, "a")
	assert.Equal(t, len(ids(r)), 0)
}

func TestDrainingTargetsGetNoGrace(t *testing.T) {
	r := btinventory.NewRegistry(grace)
	a := target("a")
	r.Put(a)
	a.State = btinventory.Draining
	changes := r.Put(a)
	assert.Equal(t, changes[0].What, btinventory.Drained)
	r.Interrupted()
	r.Resumed(start)
	r.Remove(start, "a")
	assert.Equal(t, len(ids(r)), 0)
}

func TestAWholeListRemovesWhatItLacks(t *testing.T) {
	r := btinventory.NewRegistry(grace)
	r.Replace(start, []btinventory.Target{target("a"), target("b")})
	changes := r.Replace(start, []btinventory.Target{target("b"), target("c")})
	assert.Equal(t, len(changes), 2)
	assert.DeepEqual(t, ids(r), []btinventory.ID{"b", "c"})
}

func TestAnotherRegistersListIsTakenAsItIs(t *testing.T) {
	r := btinventory.NewRegistry(grace)
	r.Put(target("a"))
	r.Put(target("b"))
	r.Interrupted()
	r.Resumed(start)
	assert.Equal(t, len(r.ReplaceFromPeer(start, []btinventory.Target{target("b"), target("c")})), 2)
	assert.DeepEqual(t, ids(r), []btinventory.ID{"b", "c"})
	assert.Equal(t, len(r.ReplaceFromPeer(start, []btinventory.Target{target("b"), target("c")})), 0)
}

func TestRenewalsAreNoChange(t *testing.T) {
	r := btinventory.NewRegistry(grace)
	a := target("a")
	a.Member = &btinventory.Member{Group: "g", Rank: 1, Size: 2}
	r.Put(a)
	b := a
	b.Member = &btinventory.Member{Group: "g", Rank: 1, Size: 2}
	assert.Equal(t, len(r.Put(b)), 0)
	b.Member = &btinventory.Member{Group: "g", Rank: 0, Size: 2}
	assert.Equal(t, len(r.Put(b)), 1)
}

func TestIncompleteTargetsAreRefused(t *testing.T) {
	for _, change := range []func(*btinventory.Target){
		func(t *btinventory.Target) { t.ID = "" },
		func(t *btinventory.Target) { t.Service = "" },
		func(t *btinventory.Target) { t.Address = netip.AddrPort{} },
		func(t *btinventory.Target) { t.State = "asleep" },
	} {
		a := target("a")
		change(&a)
		assert.Assert(t, a.Validate() != nil)
		assert.Assert(t, btinventory.Roster{Targets: []btinventory.Target{a}}.Validate() != nil)
	}
}

// Two records with one address are two incarnations, of which the later one runs.
func TestALaterIncarnationReplacesTheFormer(t *testing.T) {
	r := btinventory.NewRegistry(grace)
	r.Put(listed("old", 3))
	changes := r.Put(listed("new", 7))
	assert.Equal(t, changes[0].What, btinventory.Gone)
	assert.Equal(t, changes[0].ID, btinventory.ID("old"))
	assert.Equal(t, changes[1].What, btinventory.Added)
	assert.DeepEqual(t, ids(r), []btinventory.ID{"new"})
	assert.Equal(t, len(r.Put(listed("old", 3))), 0, "its record comes once more")
	assert.DeepEqual(t, ids(r), []btinventory.ID{"new"})
	r.Replace(start, []btinventory.Target{listed("new", 7), listed("old", 3)})
	assert.DeepEqual(t, ids(r), []btinventory.ID{"new"})
	r.Replace(start, []btinventory.Target{listed("old", 3), listed("new", 7)})
	assert.DeepEqual(t, ids(r), []btinventory.ID{"new"})
}

// One register reads that a target has left; another, whose reading was interrupted
// meanwhile, lists it for its grace. Seen on a day on which requests reached the
// target three seconds after its leaving was listed.
func TestATargetThatLeftIsNotAdoptedAgain(t *testing.T) {
	gone := target("gone")
	gone.Created = 7
	stays := target("stays")
	stays.Created = 3
	stays.Address = netip.MustParseAddrPort("127.0.0.1:81")
	interrupted := btinventory.NewRegistry(grace)
	reader := btinventory.NewRegistry(grace)
	for _, r := range []*btinventory.Registry{interrupted, reader} {
		r.Put(gone)
		r.Put(stays)
	}
	interrupted.Interrupted()
	interrupted.Resumed(start)
	interrupted.Remove(start, "gone")
	reader.Remove(start, "gone")
	assert.Equal(t, len(interrupted.Targets()), 2)

	reader.ReplaceFromPeer(start, interrupted.Targets())
	assert.DeepEqual(t, ids(reader), []btinventory.ID{"stays"})

	// Its record is made anew: it only had lapsed.
	gone.Created = 9
	changes := reader.ReplaceFromPeer(start, []btinventory.Target{gone, stays})
	assert.Equal(t, len(changes), 1)
	assert.Equal(t, changes[0].What, btinventory.Added)
	assert.DeepEqual(t, ids(reader), []btinventory.ID{"gone", "stays"})
}

// What was read to be listed again counts, whatever was read before.
func TestATargetThatIsReadAgainIsBack(t *testing.T) {
	back := target("back")
	back.Created = 7
	r := btinventory.NewRegistry(grace)
	r.Put(back)
	r.Remove(start, "back")
	r.Put(back)
	r.ReplaceFromPeer(start, []btinventory.Target{back})
	assert.DeepEqual(t, ids(r), []btinventory.ID{"back"})
}

// Two entries miss a target and still give it its grace. What one tells the other is no
// new word of the target: each would clear the other's doubt, and a target that is gone
// stayed known for good.
func TestAnotherEntrysGraceIsNoNewRecord(t *testing.T) {
	r := btinventory.NewRegistry(grace)
	r.Put(listed("a", 3))
	r.Interrupted()
	r.Resumed(start)
	assert.Equal(t, r.Remove(start, "a")[0].What, btinventory.Missing)
	r.ReplaceFromPeer(start.Add(grace/2), []btinventory.Target{listed("a", 3)})
	assert.Equal(t, len(r.Expire(start.Add(grace))), 1)
	assert.Equal(t, len(ids(r)), 0)
	// One that is listed again after its record had lapsed has a newer one.
	r.Put(listed("b", 4))
	r.Interrupted()
	r.Resumed(start)
	r.Remove(start, "b")
	r.ReplaceFromPeer(start.Add(grace/2), []btinventory.Target{listed("b", 9)})
	assert.Equal(t, len(r.Expire(start.Add(grace))), 0)
	assert.DeepEqual(t, ids(r), []btinventory.ID{"b"})
}
