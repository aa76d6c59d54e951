// Package btgossip keeps what the entries of a fleet know of each other: who is
// there, and when anybody last heard from it.
//
// Each entry tells others not only whom it knows but how long ago each was heard
// from, by whomever. So an entry that lives is known everywhere though most pairs
// never talk, and one that is gone is forgotten everywhere at about the same time:
// an age only grows on its way. What is told at a time is bounded, so that the
// traffic of an entry does not grow with their number.
package btgossip

import (
	"errors"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

const (
	// ForgetAfter is after how long without a word from it, heard by anybody, an entry is
	// forgotten, where one message tells of all. A word passes from one to another
	// twice a second, to three, so that it has reached all within two seconds.
	ForgetAfter = 4 * time.Second
	// MaxSightings bounds the entries that one message tells of, some 11 B each: three
	// messages, twice a second, stay below 8 KB/s.
	MaxSightings = 96
	// MaxEntries bounds the entries that are remembered.
	MaxEntries = 1024
)

// Sighting tells how long ago somebody heard from an entry.
type Sighting struct {
	_       struct{}       `cbor:",toarray"`
	Address netip.AddrPort `cbor:"address"`
	// AgeMillis is in milliseconds.
	AgeMillis uint16 `cbor:"age_ms"`
}

// Age returns how long ago it was.
func (s Sighting) Age() time.Duration { return time.Duration(s.AgeMillis) * time.Millisecond }

// errSighting means that a sighting names no entry.
var errSighting = errors.New("sighting of no entry")

// Validate reports a sighting that names no entry.
func (s Sighting) Validate() error {
	if !s.Address.IsValid() {
		return errSighting
	}
	return nil
}

// Change is an entry that has become known or was forgotten.
type Change struct {
	Address netip.AddrPort
	Known   bool
	// Age is how long ago anybody heard from it.
	Age time.Duration
}

// Membership keeps the entries that are there, without the own one. It is not safe
// for concurrent use.
type Membership struct {
	self     netip.AddrPort
	lastSeen map[netip.AddrPort]time.Time
	// sorted lists the entries in the sorted of their addresses.
	sorted []netip.AddrPort
}

// New returns the register of the entry of the address.
func New(self netip.AddrPort) *Membership {
	return &Membership{self: self, lastSeen: make(map[netip.AddrPort]time.Time)}
}

// Observe notes that an entry was heard from at the moment.
func (r *Membership) Observe(at time.Time, a netip.AddrPort) []Change {
	known, found := r.lastSeen[a]
	if a == r.self || !a.IsValid() || !found && len(r.lastSeen) >= MaxEntries {
		return nil
	}
	if found && !at.After(known) {
		return nil
	}
	r.lastSeen[a] = at
	if found {
		return nil
	}
	i, _ := slices.BinarySearchFunc(r.sorted, a, netip.AddrPort.Compare)
	r.sorted = slices.Insert(r.sorted, i, a)
	return []Change{{Address: a, Known: true}}
}

// Merge takes in what another entry tells. Asked is when it was asked, so that the
// way counts towards the ages.
func (r *Membership) Merge(now, asked time.Time, told []Sighting) []Change {
	var changes []Change
	away := r.forgetAfter()
	for _, s := range told {
		at := asked.Add(-s.Age())
		if now.Sub(at) <= away {
			changes = append(changes, r.Observe(at, s.Address)...)
		}
	}
	return changes
}

// Expire forgets the entries that nobody has heard from.
func (r *Membership) Expire(now time.Time) []Change {
	var changes []Change
	away := r.forgetAfter()
	r.sorted = slices.DeleteFunc(r.sorted, func(a netip.AddrPort) bool {
		age := now.Sub(r.lastSeen[a])
		if age <= away {
			return false
		}
		delete(r.lastSeen, a)
		changes = append(changes, Change{Address: a, Age: age})
		return true
	})
	return changes
}

// Count returns how many entries are known.
func (r *Membership) Count() int { return len(r.lastSeen) }

// List lists the entries known, in order.
func (r *Membership) List() []netip.AddrPort { return slices.Clone(r.sorted) }

// Sample returns what one message tells: at most MaxTold entries, chosen by chance
// among more.
func (r *Membership) Sample(now time.Time, random *rand.Rand) []Sighting {
	away := r.forgetAfter()
	list := slices.DeleteFunc(r.List(), func(a netip.AddrPort) bool { return now.Sub(r.lastSeen[a]) > away })
	if len(list) > MaxSightings {
		random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		list = list[:MaxSightings]
	}
	told := make([]Sighting, len(list))
	for i, a := range list {
		age := min(max(now.Sub(r.lastSeen[a]), 0), maxAge)
		told[i] = Sighting{Address: a, AgeMillis: uint16(age.Milliseconds())}
	}
	return told
}

// maxAge is the largest age that a sighting can tell.
const maxAge = math.MaxUint16 * time.Millisecond

// forgetAfter returns after how long an entry is forgotten: where one message can't tell of
// all, a word of each takes so many messages more.
func (r *Membership) forgetAfter() time.Duration {
	messages := (len(r.lastSeen) + MaxSightings) / MaxSightings
	return min(time.Duration(messages)*ForgetAfter, maxAge)
}

// Peers chooses whom to greet: one of the seeds, one of the first few entries by
// address, which read the platform's list, and one other by chance. All seeds are
// greeted while nobody is known.
func (r *Membership) Peers(seeds []netip.AddrPort, readers int, random *rand.Rand) []netip.AddrPort {
	list := r.sorted
	var chosen []netip.AddrPort
	if len(list) == 0 {
		chosen = slices.Clone(seeds)
	} else {
		if len(seeds) > 0 {
			chosen = append(chosen, seeds[random.IntN(len(seeds))])
		}
		chosen = append(chosen, list[random.IntN(min(readers, len(list)))], list[random.IntN(len(list))])
	}
	chosen = slices.DeleteFunc(chosen, func(a netip.AddrPort) bool { return a == r.self })
	slices.SortFunc(chosen, netip.AddrPort.Compare)
	return slices.Compact(chosen)
}
