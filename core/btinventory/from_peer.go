package btinventory

import "time"

// ReplaceFromPeer applies the whole list of another process's registry. The peer has
// already given missing targets their grace period, so targets that its list lacks are
// dropped. Records that this registry dropped stay dropped, even if the peer, whose
// watch was interrupted, still holds them in grace: without this rule a removed target
// got seven requests over three seconds after its removal was listed.
func (r *Registry) ReplaceFromPeer(now time.Time, list []Target) []Change {
	changes := r.Expire(now)
	listed := make(map[ID]bool, len(list))
	for _, t := range list {
		if r.wasDropped(t) || r.missingAtPeer(now, t) {
			continue
		}
		if r.mayBeStale(now, t) {
			listed[t.ID] = true
			continue
		}
		listed[t.ID] = true
		changes = append(changes, r.putFromPeer(t)...)
	}
	for _, id := range r.ids() {
		if !listed[id] && !r.keepAsMissing(now, id) {
			changes = append(changes, r.drop(id)...)
		}
	}
	return changes
}

// putFromPeer stores a peer's record. If the same record is missing here, it keeps its
// deadline, as the peer may hold it in grace too: two peers that cleared each other's
// deadlines would keep a removed target for good.
func (r *Registry) putFromPeer(t Target) []Change {
	var until time.Time
	if rec, found := r.records[t.ID]; found && rec.target.Start == t.Start && t.Created <= rec.target.Created {
		until = rec.missingUntil
	}
	changes := r.Put(t)
	if rec, found := r.records[t.ID]; found {
		rec.missingUntil = until
	}
	return changes
}
