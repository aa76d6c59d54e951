package btinventory

import "time"

// PeerList is the whole list of another process.
type PeerList struct {
	// ReadAt is when that process read it.
	ReadAt time.Time
	// Targets have InGrace set if that process keeps them although its list lacks them, until
	// GraceEnds.
	Targets   []Target
	GraceEnds time.Time
}

// ReplaceFromPeer applies the list of another process. Targets that it lacks are dropped. Those in
// its grace period are kept until the end of that, unless this registry has dropped the record or
// its own list is too recent for a lapse: unlike the peer, it may have had no outage.
func (r *Registry) ReplaceFromPeer(now time.Time, l PeerList) []Change {
	changes := r.Expire(now)
	lapsePossible := r.lapsePossible(l.ReadAt)
	r.ListedByPeer(l.ReadAt)
	listed := make(map[ID]bool, len(l.Targets))
	// peersGrace is the end of the peer's grace periods; zero if it has none.
	var peersGrace time.Time
	for _, t := range l.Targets {
		if t.InGrace {
			peersGrace = l.GraceEnds
		}
		if r.wasDropped(t) || r.missingAtPeer(now, t) || t.InGrace && !lapsePossible && !r.inGrace(t.ID) {
			continue
		}
		listed[t.ID] = true
		if r.mayBeStale(now, t) {
			continue
		}
		changes = append(changes, r.putFromPeer(t, l.GraceEnds)...)
	}
	for _, id := range r.ids() {
		if !listed[id] && !r.keepAsMissing(now, id, peersGrace) {
			changes = append(changes, r.drop(id)...)
		}
	}
	return changes
}

// ListedByPeer records when another process read a list that equals the known one.
func (r *Registry) ListedByPeer(readAt time.Time) {
	if readAt.After(r.listedAt) {
		r.listedAt = readAt
	}
}

// inGrace reports whether the target is kept although the list lacks it.
func (r *Registry) inGrace(id ID) bool {
	rec, found := r.records[id]
	return found && !rec.missingUntil.IsZero()
}

// putFromPeer stores a peer's record. If the same record is missing here, it keeps its
// deadline, as the peer may hold it in grace too: two peers that cleared each other's
// deadlines would keep a removed target indefinitely.
func (r *Registry) putFromPeer(t Target, graceEnds time.Time) []Change {
	var until time.Time
	if t.InGrace {
		until = graceEnds
	}
	if rec, found := r.records[t.ID]; found && rec.target.Start == t.Start && t.Created <= rec.target.Created && !rec.missingUntil.IsZero() {
		if until.IsZero() || rec.missingUntil.Before(until) {
			until = rec.missingUntil
		}
	}
	t.InGrace = false
	changes := r.Put(t)
	if rec, found := r.records[t.ID]; found {
		rec.missingUntil = until
	}
	return changes
}
