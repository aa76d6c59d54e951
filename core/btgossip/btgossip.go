// Package btgossip tracks the entries of a fleet by gossip: which ones exist, and when
// each was last seen by any of them.
//
// Each entry sends others not only the entries that it knows but the time since each was
// last seen by anyone. So a live entry is known everywhere although most pairs never
// communicate, and a stopped one expires everywhere at about the same time, because an
// age only grows in transit. The size of a message is bounded, so an entry's traffic doesn't
// grow with the number of entries.
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
	// ExpireAfter is the time after which an entry that no one has seen expires, if one
	// message covers all entries. Sightings are sent twice a second, to three entries,
	// and so reach all within two seconds.
	ExpireAfter = 4 * time.Second
	// MaxSightings bounds the sightings in one message, about 11 B each: three
	// messages, twice a second, stay below 8 KB/s.
	MaxSightings = 96
	// MaxEntries bounds the entries that are tracked.
	MaxEntries = 1024
)

// Sighting reports how long ago an entry was last seen by any entry.
type Sighting struct {
	_       struct{}       `cbor:",toarray"`
	Address netip.AddrPort `cbor:"address"`
	// AgeMillis is the age, in milliseconds, when the sighting was sent.
	AgeMillis uint16 `cbor:"age_ms"`
}

// Age returns the age at the time of the report.
func (s Sighting) Age() time.Duration { return time.Duration(s.AgeMillis) * time.Millisecond }

// errSighting is returned for a sighting without a valid address.
var errSighting = errors.New("sighting of no entry")

// Validate checks that the sighting has a valid address.
func (s Sighting) Validate() error {
	if !s.Address.IsValid() {
		return errSighting
	}
	return nil
}

// Change is an entry that has become known or has expired.
type Change struct {
	Address netip.AddrPort
	Known   bool
	// Age is how long ago an expired entry was last seen by any entry.
	Age time.Duration
}

// Membership tracks the live entries, without its own. It is not safe for concurrent
// use.
type Membership struct {
	self     netip.AddrPort
	lastSeen map[netip.AddrPort]time.Time
	// sorted lists the entries by address, readingOrder by CompareReaders.
	sorted, readingOrder []netip.AddrPort
	// supplier is the entry that sent the platform's list last; zero if it has stopped.
	// probes counts the entries contacted in search of another one.
	supplier netip.AddrPort
	probes   int
}

// New returns the membership as seen by the entry at the address, without other
// entries.
func New(self netip.AddrPort) *Membership {
	return &Membership{self: self, lastSeen: make(map[netip.AddrPort]time.Time)}
}

// Observe records that a message of an entry was received at the given time.
func (m *Membership) Observe(at time.Time, a netip.AddrPort) []Change {
	known, found := m.lastSeen[a]
	if a == m.self || !a.IsValid() || !found && len(m.lastSeen) >= MaxEntries {
		return nil
	}
	if found && !at.After(known) {
		return nil
	}
	m.lastSeen[a] = at
	if found {
		return nil
	}
	i, _ := slices.BinarySearchFunc(m.sorted, a, netip.AddrPort.Compare)
	m.sorted = slices.Insert(m.sorted, i, a)
	i, _ = slices.BinarySearchFunc(m.readingOrder, a, CompareReaders)
	m.readingOrder = slices.Insert(m.readingOrder, i, a)
	return []Change{{Address: a, Known: true}}
}

// Merge adds the sightings that another entry sent. requestedAt is when they
// were requested, so that transit time counts towards the ages.
func (m *Membership) Merge(now, requestedAt time.Time, sightings []Sighting) []Change {
	var changes []Change
	limit := m.expireAfter()
	for _, s := range sightings {
		at := requestedAt.Add(-s.Age())
		if now.Sub(at) <= limit {
			changes = append(changes, m.Observe(at, s.Address)...)
		}
	}
	return changes
}

// Expire removes the entries that no one has seen recently.
func (m *Membership) Expire(now time.Time) []Change {
	var changes []Change
	limit := m.expireAfter()
	m.sorted = slices.DeleteFunc(m.sorted, func(a netip.AddrPort) bool {
		age := now.Sub(m.lastSeen[a])
		if age <= limit {
			return false
		}
		delete(m.lastSeen, a)
		changes = append(changes, Change{Address: a, Age: age})
		return true
	})
	if len(changes) > 0 {
		m.readingOrder = slices.DeleteFunc(m.readingOrder, func(a netip.AddrPort) bool { return m.lastSeen[a].IsZero() })
	}
	return changes
}

// Count returns the number of entries known.
func (m *Membership) Count() int { return len(m.lastSeen) }

// List lists the known entries by address.
func (m *Membership) List() []netip.AddrPort { return slices.Clone(m.sorted) }

// Sample returns the sightings for one message: at most MaxSightings, chosen at random
// if there are more.
func (m *Membership) Sample(now time.Time, random *rand.Rand) []Sighting {
	limit := m.expireAfter()
	list := slices.DeleteFunc(m.List(), func(a netip.AddrPort) bool { return now.Sub(m.lastSeen[a]) > limit })
	if len(list) > MaxSightings {
		random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		list = list[:MaxSightings]
	}
	sightings := make([]Sighting, len(list))
	for i, a := range list {
		age := min(max(now.Sub(m.lastSeen[a]), 0), maxAge)
		sightings[i] = Sighting{Address: a, AgeMillis: uint16(age.Milliseconds())}
	}
	return sightings
}

// maxAge is the largest age that a sighting can hold.
const maxAge = math.MaxUint16 * time.Millisecond

// expireAfter returns the time after which an entry expires. It is multiplied by the
// number of messages needed to cover all entries, as each sighting takes that much longer
// to spread.
func (m *Membership) expireAfter() time.Duration {
	messages := (len(m.lastSeen) + MaxSightings) / MaxSightings
	return min(time.Duration(messages)*ExpireAfter, maxAge)
}

// Peers chooses the entries to contact: one seed, the one that supplies the platform's
// list, and one random other. It returns all seeds while no entry is known.
func (m *Membership) Peers(seeds []netip.AddrPort, readers int, random *rand.Rand) []netip.AddrPort {
	list := m.sorted
	var chosen []netip.AddrPort
	if len(list) == 0 {
		chosen = slices.Clone(seeds)
	} else {
		if len(seeds) > 0 {
			chosen = append(chosen, seeds[random.IntN(len(seeds))])
		}
		chosen = append(chosen, m.supplierOrProbe(readers, random), list[random.IntN(len(list))])
	}
	chosen = slices.DeleteFunc(chosen, func(a netip.AddrPort) bool { return a == m.self })
	slices.SortFunc(chosen, netip.AddrPort.Compare)
	return slices.Compact(chosen)
}
