package btinventory_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btid"
	"bilberrytide/core/btinventory"
)

// storeEvent is a change of the list in the store; its revision is its place.
type storeEvent struct {
	id      btinventory.ID
	target  btinventory.Target
	removed bool
	refused bool
}

// store is the list as it was written, and what it named at each revision.
type store struct {
	events []storeEvent
	truth  []map[btinventory.ID]btid.Incarnation
}

func (s *store) write(random *rand.Rand) {
	revision := uint64(len(s.events) + 1)
	number := random.IntN(5)
	id := btinventory.ID(fmt.Sprint(number))
	e := storeEvent{id: id}
	named := map[btinventory.ID]btid.Incarnation{}
	if len(s.truth) > 0 {
		maps.Copy(named, s.truth[len(s.truth)-1])
	}
	switch random.IntN(6) {
	case 0:
		e.removed = true
		delete(named, id)
	case 1:
		e.refused = true
		delete(named, id)
	default:
		// A start may have a lower number than the one before it.
		e.target = started(id, btinventory.Position(revision), btid.Incarnation(1+random.IntN(4)))
		e.target.Address = netip.AddrPortFrom(e.target.Address.Addr(), uint16(1000+number))
		named[id] = e.target.Start
	}
	s.events = append(s.events, e)
	s.truth = append(s.truth, named)
}

// learner is an entry: it reads the store itself, or hears of it from another one.
type learner struct {
	register *btinventory.Registry
	revision uint64
}

// read takes in some of the changes that the entry hasn't read.
func (l *learner) read(s *store, random *rand.Rand) {
	to := l.revision + uint64(random.IntN(len(s.events)-int(l.revision)+1))
	for ; l.revision < to; l.revision++ {
		e := s.events[l.revision]
		switch {
		case e.removed:
			l.register.Remove(start, e.id)
		case e.refused:
			l.register.Invalidate(e.id)
		default:
			l.register.Put(e.target)
		}
	}
}

// hear takes another entry's list in, unless it is older than the own one and the entry
// minds that.
func (l *learner) hear(other *learner, minds bool) {
	if minds && other.revision < l.revision {
		return
	}
	l.register.ReplaceFromPeer(start, other.register.Targets())
	l.revision = max(l.revision, other.revision)
}

// knows tells whether the entry knows what the store named at the revision that it has
// heard of.
func (l *learner) knows(s *store) bool {
	if l.revision == 0 {
		return true
	}
	named := map[btinventory.ID]btid.Incarnation{}
	for _, target := range l.register.Targets() {
		named[target.ID] = target.Start
	}
	return maps.Equal(named, s.truth[l.revision-1])
}

// learn has four entries read the store at their own pace and learn from each other,
// and tells whether each always knew what it should.
func learn(seed uint64, minds bool) bool {
	random := rand.New(rand.NewPCG(seed, 7))
	s := &store{}
	entries := make([]*learner, 4)
	for i := range entries {
		entries[i] = &learner{register: btinventory.NewRegistry(grace)}
	}
	for range 120 {
		l := entries[random.IntN(len(entries))]
		switch random.IntN(4) {
		case 0, 1:
			s.write(random)
		case 2:
			l.read(s, random)
		case 3:
			l.hear(entries[random.IntN(len(entries))], minds)
		}
		if slices.ContainsFunc(entries, func(l *learner) bool { return !l.knows(s) }) {
			return false
		}
	}
	return true
}

// Entries that learn the list from each other in any order each know just what it named
// at the revision that they have heard of: of each ID the start that was written last,
// and none that was removed or refused since. Where they don't mind how old a list is
// that they hear, they don't.
func TestEntriesLearnTheListFromEachOther(t *testing.T) {
	broken := 0
	for seed := range uint64(300) {
		assert.Assert(t, learn(seed, true), "seed %d", seed)
		if !learn(seed, false) {
			broken++
		}
	}
	assert.Assert(t, broken > 0, "a list of any age breaks nothing")
}
