package btinventory_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btid"
	"bilberrytide/core/btinventory"
)

// started returns a target with the given start whose record was created at the position.
func started(id btinventory.ID, since btinventory.Position, start btid.Incarnation) btinventory.Target {
	t := listed(id, since)
	t.Start = start
	return t
}

func ExampleInstance() {
	t := btinventory.Target{ID: "i-1", Start: 0x2a}
	fmt.Println(t.Instance())
	text, _ := json.Marshal(t.Instance())
	fmt.Println(string(text))
	// Output:
	// i-1@2a
	// "i-1@2a"
}

// A restart under the same ID must be reported as one instance gone and another added, so
// that state kept by instance isn't carried over to the new start.
func TestPutReportsRestartAsGoneAndAdded(t *testing.T) {
	r := newRegistry()
	r.Put(started("a", 3, 100))
	changes := r.Put(started("a", 3, 50))
	assert.Equal(t, len(changes), 2)
	assert.Equal(t, changes[0].What, btinventory.Gone)
	assert.Equal(t, changes[0].Target.Instance(), btinventory.Instance{ID: "a", Start: 100})
	assert.Equal(t, changes[1].What, btinventory.Added)
	assert.Equal(t, changes[1].Target.Instance(), btinventory.Instance{ID: "a", Start: 50}, "the later record is the later start, even if the clock was set back")
	assert.Equal(t, len(r.Put(started("a", 3, 50))), 0)
}

// Guards against dropping a restarted target at the grace deadline of its earlier start.
func TestGraceDeadlineOfEarlierStartDoesNotDropRestartedTarget(t *testing.T) {
	r := newRegistry()
	r.Put(started("a", 3, 1))
	r.Interrupted(start)
	r.Resumed(start)
	r.Remove(start, "a")
	r.Put(started("a", 9, 2))
	assert.Equal(t, len(r.Expire(start.Add(2*grace))), 0)
	assert.DeepEqual(t, ids(r), []btinventory.ID{"a"})
}

// A record that can't be used drops the target at once, also within the grace period of
// a lapsed record.
func TestInvalidateDropsTargetInGracePeriod(t *testing.T) {
	r := newRegistry()
	r.Put(target("a"))
	r.Put(target("b"))
	r.Interrupted(start)
	r.Resumed(start)
	assert.Equal(t, len(r.Invalidate("a")), 1)
	assert.Equal(t, len(r.Invalidate("never listed")), 0)
	assert.DeepEqual(t, ids(r), []btinventory.ID{"b"})
	r.Put(target("a"))
	assert.DeepEqual(t, ids(r), []btinventory.ID{"a", "b"})
}

// A record with the address of another target must not drop that target unless both have
// the same service and rank.
func TestPutKeepsTargetOfOtherServiceOrRankWithSameAddress(t *testing.T) {
	other := listed("foreign", 9)
	other.Service = "another"
	rank := listed("rank", 9)
	rank.Member = &btinventory.Member{Group: "g", Rank: 1, Size: 2}
	for _, foreign := range []btinventory.Target{other, rank} {
		r := newRegistry()
		r.Put(listed("a", 3))
		r.Put(foreign)
		r.Put(listed("a", 3))
		assert.Assert(t, len(ids(r)) == 2, "%v", ids(r))
	}
}

// In any order of records, removals, invalid records and interruptions, the registry must
// hold the last listed start of each ID and report the addition and removal of each start once.
func TestRegistryMatchesListAcrossRestarts(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		r := newRegistry()
		now := start
		last := map[btinventory.ID]btid.Incarnation{}
		alive := map[btinventory.Instance]bool{}
		apply := func(changes []btinventory.Change) {
			for _, c := range changes {
				switch c.What {
				case btinventory.Added:
					assert.Assert(t, !alive[c.Target.Instance()], "seed %d: %s added twice", seed, c.Target.Instance())
					alive[c.Target.Instance()] = true
				case btinventory.Gone:
					assert.Assert(t, alive[c.Target.Instance()], "seed %d: %s gone twice", seed, c.Target.Instance())
					delete(alive, c.Target.Instance())
				}
			}
		}
		for i := range 200 {
			now = now.Add(grace / 8)
			number := random.IntN(4)
			id := btinventory.ID(fmt.Sprint(number))
			apply(r.Expire(now))
			switch random.IntN(8) {
			case 0:
				apply(r.Remove(now, id))
			case 1:
				apply(r.Invalidate(id))
				delete(last, id)
			case 2:
				r.Interrupted(start)
			case 3:
				r.Resumed(now)
			default:
				next := started(id, btinventory.Position(i+1), btid.Incarnation(1+random.IntN(3)))
				next.Address = netip.AddrPortFrom(next.Address.Addr(), uint16(1000+number))
				apply(r.Put(next))
				last[id] = next.Start
			}
			for _, known := range r.Targets() {
				assert.Equal(t, known.Start, last[known.ID], "seed %d, step %d", seed, i)
				assert.Assert(t, alive[known.Instance()], "seed %d, step %d: %s was never reported as added", seed, i, known.Instance())
			}
			assert.Equal(t, len(alive), len(r.Targets()), "seed %d, step %d", seed, i)
		}
	}
}
