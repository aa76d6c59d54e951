package btdirect

import (
	"errors"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"bilberrytide/core/btid"
	"bilberrytide/core/btinventory"
	"bilberrytide/core/btwire"
)

// listedByPeer tells whether the list that is known is fresh though this entry
// doesn't read it: another entry has.
func (k *knowledge) listedByPeer(now time.Time) bool {
	if k.reads() {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.known && k.index.Load() != nil && now.Sub(k.listedAt) < heardFresh
}

// digest identifies the targets that are known.
func (k *knowledge) digest() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.listDigest()
}

// listDigest returns the digest of the targets, which is computed once for each
// change: with 192 targets it takes a third of a millisecond, and an entry that
// others greet is asked for it a hundred times a second. The lock is held.
func (k *knowledge) listDigest() uint64 {
	if !k.digested {
		k.targetsDigest = digestOf(k.register.Targets())
		k.digested = true
	}
	return k.targetsDigest
}

// errNothingKnown means that the entry has read no list yet.
var errNothingKnown = errors.New("no list of targets read yet")

// rosterOf returns what agents are told of a service, but for the entries. It is put
// together once for each change, as 192 agents ask each second.
func (k *knowledge) rosterOf(name btid.Service) (btinventory.Roster, error) {
	index := k.index.Load()
	if index == nil {
		return btinventory.Roster{}, errNothingKnown
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if r, found := k.rosters[name]; found {
		return r, nil
	}
	var r btinventory.Roster
	for _, t := range k.register.Targets() {
		if t.Service == name {
			r.Targets = append(r.Targets, t)
		}
	}
	if s, found := index.Service(name); found && s.Engine != nil {
		r.Group = s.Engine.Group
	}
	data, err := btwire.Encode(r)
	if err != nil {
		return r, err
	}
	r.Digest = xxhash.Sum64(data)
	if len(k.rosters) < maxRosters {
		k.rosters[name] = r
	}
	return r, nil
}

// maxRosters bounds the services whose rosters are kept ready.
const maxRosters = 256

// changed forgets what was computed of the targets and the catalog. The lock is
// held.
func (k *knowledge) changed() {
	k.digested = false
	clear(k.rosters)
}

func digestOf(list []btinventory.Target) uint64 {
	data, err := btwire.Encode(btinventory.Roster{Targets: list})
	if err != nil {
		// A list that can't be encoded is like no other.
		return 0
	}
	return xxhash.Sum64(data)
}

// readList returns what this entry has read of the list, for one that knows the
// targets of the digest. An entry that only heard of it says nothing, so that no
// age grows on the way from one to the next.
func (k *knowledge) readList(known uint64) ReadList {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.known || k.lost || k.readAt.IsZero() {
		return ReadList{}
	}
	l := ReadList{Position: k.position, Age: max(k.clock().Sub(k.readAt), 0)}
	if k.listDigest() == known {
		l.Same = true
		return l
	}
	l.Targets = k.register.Targets()
	return l
}

// learnList takes in what another entry has read. Asked is when it was asked, so
// that the way counts towards the list's age.
func (k *knowledge) learnList(l ReadList, asked time.Time, from netip.AddrPort) {
	if l.Position == 0 {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	readAt := asked.Add(-l.Age)
	if l.Position < k.position || !readAt.After(k.listedAt) {
		return
	}
	now := k.clock()
	k.moved(now, l.Position, from.String())
	k.listedAt = readAt
	k.known = true
	if l.Same {
		return
	}
	changes := k.register.Adopt(now, l.Targets)
	for _, c := range changes {
		k.log.Info(c.What, "target", c.Target.Instance(), "service", c.Target.Service, "address", c.Target.Address, "position", l.Position.String(), "from", from, "age_ms", now.Sub(readAt).Milliseconds())
	}
	if len(changes) > 0 {
		k.publish()
	}
}

// moved notes up to where the list is known from now on. In another era the store has come
// back from a copy. The lock is held.
func (k *knowledge) moved(now time.Time, p btinventory.Position, from string) {
	before := k.position
	k.position = p
	if before == 0 || p.Era() == before.Era() {
		return
	}
	k.register.Restored(now, p.Era())
	k.meter.Counter(metricEras).Inc(1)
	k.log.Warn("store era changed", "before", before.String(), "position", p.String(), "from", from, "age_ms", now.Sub(k.listedAt).Milliseconds(), "targets", len(k.register.Targets()), "catalog", k.version())
}
