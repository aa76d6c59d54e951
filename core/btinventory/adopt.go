package btinventory

import "time"

// ReplaceFromPeer takes in the whole list of another register, which has already given
// missing targets their grace: what it lacks is gone. A record that this register
// has dropped stays dropped, though the other one, whose reading was interrupted,
// still gives it its grace. Without this a target that had left got seven requests
// more than three seconds after its leaving was listed.
func (r *Registry) ReplaceFromPeer(now time.Time, list []Target) []Change {
	changes := r.Expire(now)
	listed := make(map[ID]bool, len(list))
	for _, t := range list {
		if r.hasLeft(t) || r.missedElsewhere(now, t) {
			continue
		}
		if r.outdated(now, t) {
			listed[t.ID] = true
			continue
		}
		listed[t.ID] = true
		changes = append(changes, r.putTold(t)...)
	}
	for _, id := range r.ids() {
		if !listed[id] && !r.mayReturn(now, id) {
			changes = append(changes, r.drop(id)...)
		}
	}
	return changes
}

// putTold takes in a record that another register has. If it is the very one that is
// missing here, the other gives it its grace too: two of them would clear each other's doubt
// for good.
func (r *Registry) putTold(t Target) []Change {
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
