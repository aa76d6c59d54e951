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

// listedByPeer reports whether this entry need not read the source, because another
// entry has passed on a recent list.
func (sc *sourceCache) listedByPeer(now time.Time) bool {
	if sc.isReader() {
		return false
	}
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.hasList && sc.index.Load() != nil && now.Sub(sc.listedAt) < peerListTTL
}

// digest returns the digest of the cached targets.
func (sc *sourceCache) digest() uint64 {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.listDigest()
}

// listDigest returns the digest of the cached list, computed once per change: for
// 192 targets it takes a third of a millisecond, and other entries ask for it a hundred
// times a second. sc.mu must be held.
func (sc *sourceCache) listDigest() uint64 {
	if !sc.digestValid {
		sc.targetsDigest = digestOf(sc.register.Targets(), sc.drained)
		sc.digestValid = true
	}
	return sc.targetsDigest
}

// errNoList means that no list has been read yet.
var errNoList = errors.New("no list of targets read yet")

// roster returns the roster of a service for its agents, without the entries. It is
// built once per change, as 192 agents ask each second.
func (sc *sourceCache) roster(name btid.Service) (btinventory.Roster, error) {
	index := sc.index.Load()
	if index == nil {
		return btinventory.Roster{}, errNoList
	}
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if r, found := sc.rosters[name]; found {
		return r, nil
	}
	var r btinventory.Roster
	for _, t := range sc.register.Targets() {
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
	if len(sc.rosters) < maxRosters {
		sc.rosters[name] = r
	}
	return r, nil
}

// maxRosters limits the services whose rosters are kept.
const maxRosters = 256

// invalidate discards what was computed from the targets and the catalog. sc.mu must be
// held.
func (sc *sourceCache) invalidate() {
	sc.digestValid = false
	clear(sc.rosters)
}

// digestOf returns the digest of a list of targets and the drained data centres.
func digestOf(list []btinventory.Target, drained btinventory.DrainedDataCentres) uint64 {
	data, err := btwire.Encode(btinventory.Roster{Targets: list})
	if err != nil {
		// A list that can't be encoded equals no other.
		return 0
	}
	digest := xxhash.New()
	// Writing to a digest never fails.
	_, _ = digest.Write(data)
	for _, c := range drained {
		_, _ = digest.WriteString(string(c) + "\n")
	}
	return digest.Sum64()
}

// ownList returns the list for an entry that has the targets of the given digest, if
// this entry has read it from the source itself. It doesn't pass on a list that it
// received, so that the age can't grow from one entry to the next.
func (sc *sourceCache) ownList(known uint64) ReadList {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if !sc.hasList || sc.storeLost || sc.readAt.IsZero() {
		return ReadList{}
	}
	l := ReadList{Position: sc.position, Age: max(sc.clock().Sub(sc.readAt), 0)}
	if sc.listDigest() == known {
		l.Same = true
		return l
	}
	l.Targets = sc.register.Targets()
	l.Drained = sc.drained
	return l
}

// mergeList adopts a newer list that another entry has read. askedAt is when it was
// asked, so that transit time counts towards the list's age.
func (sc *sourceCache) mergeList(l ReadList, askedAt time.Time, from netip.AddrPort) {
	if l.Position == 0 {
		return
	}
	sc.mu.Lock()
	defer sc.mu.Unlock()
	readAt := askedAt.Add(-l.Age)
	if l.Position < sc.position || !readAt.After(sc.listedAt) {
		return
	}
	now := sc.clock()
	sc.setPosition(now, l.Position, from.String())
	sc.listedAt = readAt
	sc.hasList = true
	if l.Same {
		return
	}
	changes := sc.register.ReplaceFromPeer(now, l.Targets)
	for _, c := range changes {
		sc.log.Info(c.What, "target", c.Target.Instance(), "service", c.Target.Service, "address", c.Target.Address, "position", l.Position.String(), "from", from, "age_ms", now.Sub(readAt).Milliseconds())
	}
	drainsChanged := sc.setDrained(l.Drained, l.Position, from.String())
	if drainsChanged || len(changes) > 0 {
		sc.publish()
	}
}

// setPosition sets the position of the cached list. A change of era means that the
// store was restored from a copy. sc.mu must be held.
func (sc *sourceCache) setPosition(now time.Time, p btinventory.Position, from string) {
	before := sc.position
	sc.position = p
	if before == 0 || p.Era() == before.Era() {
		return
	}
	sc.register.Restored(now, p.Era())
	sc.meter.Counter(metricEras).Inc(1)
	sc.log.Warn("store era changed", "before", before.String(), "position", p.String(), "from", from, "age_ms", now.Sub(sc.listedAt).Milliseconds(), "targets", len(sc.register.Targets()), "catalog", sc.version())
}
