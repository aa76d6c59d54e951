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

// storeEvent is a change of the list in the store; its revision is its index plus one.
type storeEvent struct {
	id      btinventory.ID
	target  btinventory.Target
	removed bool
	invalid bool
}

// store holds the changes of the list and the expected starts by ID after each.
type store struct {
	events   []storeEvent
	expected []map[btinventory.ID]btid.Incarnation
}

func (s *store) write(random *rand.Rand) {
	revision := uint64(len(s.events) + 1)
	number := random.IntN(5)
	id := btinventory.ID(fmt.Sprint(number))
	e := storeEvent{id: id}
	current := map[btinventory.ID]btid.Incarnation{}
	if len(s.expected) > 0 {
		maps.Copy(current, s.expected[len(s.expected)-1])
	}
	switch random.IntN(6) {
	case 0:
		e.removed = true
		delete(current, id)
	case 1:
		e.invalid = true
		delete(current, id)
	default:
		// A start may have a lower number than the one before it.
		e.target = started(id, btinventory.Position(revision), btid.Incarnation(1+random.IntN(4)))
		e.target.Address = netip.AddrPortFrom(e.target.Address.Addr(), uint16(1000+number))
		current[id] = e.target.Start
	}
	s.events = append(s.events, e)
	s.expected = append(s.expected, current)
}

// entry is an entry that reads the store or gets the list from another entry.
type entry struct {
	registry *btinventory.Registry
	revision uint64
}

// watch applies a random number of the changes that the entry hasn't read.
func (l *entry) watch(s *store, random *rand.Rand) {
	to := l.revision + uint64(random.IntN(len(s.events)-int(l.revision)+1))
	for ; l.revision < to; l.revision++ {
		e := s.events[l.revision]
		switch {
		case e.removed:
			l.registry.Remove(start, e.id)
		case e.invalid:
			l.registry.Invalidate(e.id)
		default:
			l.registry.Put(e.target)
		}
	}
}

// mergeFrom applies another entry's list, unless checkAge is set and the list is older than
// the entry's own.
func (l *entry) mergeFrom(other *entry, checkAge bool) {
	if checkAge && other.revision < l.revision {
		return
	}
	l.registry.ReplaceFromPeer(start, peerList(other.registry.Targets()...))
	l.revision = max(l.revision, other.revision)
}

// upToDate reports whether the entry's list equals the store's at the entry's revision.
func (l *entry) upToDate(s *store) bool {
	if l.revision == 0 {
		return true
	}
	named := map[btinventory.ID]btid.Incarnation{}
	for _, target := range l.registry.Targets() {
		named[target.ID] = target.Start
	}
	return maps.Equal(named, s.expected[l.revision-1])
}

// simulateSync makes four entries read the store at their own pace and get the list from each
// other, and reports whether each was up to date after every step.
func simulateSync(seed uint64, checkAge bool) bool {
	random := rand.New(rand.NewPCG(seed, 7))
	s := &store{}
	entries := make([]*entry, 4)
	for i := range entries {
		entries[i] = &entry{registry: newRegistry()}
	}
	for range 120 {
		l := entries[random.IntN(len(entries))]
		switch random.IntN(4) {
		case 0, 1:
			s.write(random)
		case 2:
			l.watch(s, random)
		case 3:
			l.mergeFrom(entries[random.IntN(len(entries))], checkAge)
		}
		if slices.ContainsFunc(entries, func(l *entry) bool { return !l.upToDate(s) }) {
			return false
		}
	}
	return true
}

// Entries that get the list from each other in any order must each know exactly the list of
// the latest revision that reached them: the last written start of each ID, and none that was
// removed or invalid since. An entry that applies lists older than its own must fail this.
func TestEntriesConvergeThroughPeerLists(t *testing.T) {
	uncheckedFailures := 0
	for seed := range uint64(300) {
		assert.Assert(t, simulateSync(seed, true), "seed %d", seed)
		if !simulateSync(seed, false) {
			uncheckedFailures++
		}
	}
	assert.Assert(t, uncheckedFailures > 0, "no run fails when older lists are applied")
}
