package btdirect

import (
	"errors"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"bilberrytide/core/btgossip"
	"bilberrytide/core/btid"
	"bilberrytide/core/btinventory"
	"bilberrytide/core/btwire"
)

// listedByPeer reports whether this entry need not read the source, because another
// entry has passed on a recent list.
func (sc *sourceCache) listedByPeer(now time.Time) bool {
	r := sc.reading()
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if r.rank < listReaders || now.Before(sc.readsUntil) {
		return false
	}
	return sc.hasList && sc.index.Load() != nil && now.Sub(sc.listedAt) < peerListTTL+r.extraWait
}

// digests returns the digests of the cached targets and of their cells.
func (sc *sourceCache) digests() (uint64, btinventory.CellDigests) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.listDigest(), sc.cellDigests
}

// listDigest returns the digest of the cached targets, computed once per change: for
// 192 targets it takes a third of a millisecond, and other entries ask for it a hundred
// times a second. sc.mu must be held.
func (sc *sourceCache) listDigest() uint64 {
	if !sc.digestValid {
		list := sc.register.List()
		sc.targetsDigest = targetsDigest(list)
		sc.cellDigests = btinventory.NewCellDigests(list)
		sc.digestValid = true
	}
	return sc.targetsDigest
}

// errNoList means that no list has been read yet.
var errNoList = errors.New("no list of targets read yet")

// rosterKey identifies a roster: that of a service's group, or of the whole service if
// the group is empty.
type rosterKey struct {
	service btid.Service
	group   string
}

// includes reports whether the roster lists the target.
func (k rosterKey) includes(t btinventory.Target) bool {
	return t.Service == k.service && (k.group == "" || t.Member != nil && t.Member.Group == k.group)
}

// cachedRoster is a roster without the entries, and the digests of its cells.
type cachedRoster struct {
	btinventory.Roster
	cells btinventory.CellDigests
}

// roster returns a roster for agents. It is built once per change, as all agents of a
// group ask each second.
func (sc *sourceCache) roster(key rosterKey) (cachedRoster, error) {
	index := sc.index.Load()
	if index == nil {
		return cachedRoster{}, errNoList
	}
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if r, found := sc.rosters[key]; found {
		return r, nil
	}
	var r cachedRoster
	for _, t := range sc.register.Targets() {
		if key.includes(t) {
			r.Targets = append(r.Targets, t)
		}
	}
	if s, found := index.Service(key.service); found && s.Engine != nil {
		r.Group = s.Engine.Group
	}
	var err error
	if r.Digest, err = r.ContentDigest(); err != nil {
		return r, err
	}
	r.cells = btinventory.NewCellDigests(r.Targets)
	if len(sc.rosters) < maxRosters {
		sc.rosters[key] = r
	}
	return r, nil
}

// answer returns what an agent that has another roster lacks.
func (r cachedRoster) answer(q RosterRequest) btinventory.Roster {
	answer := r.Roster
	switch {
	case r.Digest == q.Known:
		answer.Targets = nil
		answer.Group = nil
	case len(q.Cells) > 0:
		answer.Cells = r.cells.Differing(q.Cells)
		answer.Targets = answer.Cells.Select(r.Targets)
	}
	return answer
}

// maxRosters limits the rosters that are kept.
const maxRosters = 256

// invalidate discards what was computed from the targets and the catalog. sc.mu must be
// held.
func (sc *sourceCache) invalidate() {
	sc.digestValid = false
	clear(sc.rosters)
}

func targetsDigest(list []btinventory.Target) uint64 {
	data, err := btwire.Encode(btinventory.Roster{Targets: list})
	if err != nil {
		// A list that can't be encoded equals no other.
		return 0
	}
	return xxhash.Sum64(data)
}

// ownList returns the list for an entry that has the targets of the given digests, if
// this entry has read it from the source itself. It doesn't pass on a list that it
// received, so that the age can't grow from one entry to the next.
func (sc *sourceCache) ownList(known uint64, cells btinventory.CellDigests) ReadList {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if !sc.hasList || sc.storeLost || sc.readAt.IsZero() {
		return ReadList{}
	}
	now := sc.clock()
	l := ReadList{Position: sc.position, Age: max(now.Sub(sc.readAt), 0), Drained: sc.drains.Set(), HasDrained: true}
	if ends := sc.register.NextExpiry(); !ends.IsZero() {
		l.Grace = max(ends.Sub(now), 0)
	}
	if sc.listDigest() == known {
		l.Same = true
		return l
	}
	l.Targets = sc.register.List()
	if len(cells) > 0 {
		l.Cells = sc.cellDigests.Differing(cells)
		l.Targets = l.Cells.Select(l.Targets)
	}
	return l
}

// mergeList adopts a newer list that another entry has read, in reply to a hello with the
// known digest of the targets. askedAt is when it was asked, so that transit time counts
// towards the list's age.
func (sc *sourceCache) mergeList(l ReadList, known uint64, askedAt time.Time, from netip.AddrPort) {
	if l.Position == 0 {
		return
	}
	sc.mu.Lock()
	defer sc.mu.Unlock()
	readAt := askedAt.Add(-l.Age)
	if l.Position < sc.position || !readAt.After(sc.listedAt) {
		return
	}
	if (l.Same || l.Cells != 0) && sc.listDigest() != known {
		// The list has changed since it was compared; the next hello compares it again.
		return
	}
	now := sc.clock()
	if btgossip.CompareReaders(from, sc.self) < 0 {
		// One substitute is enough.
		sc.readsUntil = time.Time{}
	}
	sc.setPosition(now, l.Position, from.String())
	sc.listedAt = readAt
	sc.hasList = true
	sc.historyGone = false
	var changes []btinventory.Change
	if l.Same {
		sc.register.ListedByPeer(readAt)
	} else {
		changes = sc.register.ReplaceFromPeer(now, btinventory.PeerList{
			ReadAt: readAt, Targets: l.Cells.Replace(sc.register.List(), l.Targets), GraceEnds: askedAt.Add(l.Grace),
		})
	}
	for _, c := range changes {
		sc.log.Info(c.What, "target", c.Target.Instance(), "service", c.Target.Service, "address", c.Target.Address, "position", l.Position.String(), "from", from, "age_ms", now.Sub(readAt).Milliseconds())
	}
	drainsChanged := sc.mergeDrains(now, l, from.String())
	if drainsChanged || len(changes) > 0 {
		sc.publish()
	}
	sc.scheduleExpiry(now)
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
