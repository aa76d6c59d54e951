package btinventory

import "time"

// staleWindow is how long after the list was restored from a snapshot its records may be
// older than the known ones: live targets write theirs again within two seconds, and the
// others' lapse after three missed renewals, about 1.2 s apart.
const staleWindow = 5 * time.Second

// Restored records that the list was restored from a snapshot, which begins a new era. The
// list may lack recent writes and hold records that were changed or removed since. For
// staleWindow, known records take precedence over whole lists: a missing target stays usable
// for the grace period, one that was removed or is draining gets no requests, and an earlier
// start doesn't replace a later one. Records that targets write from now on apply at once.
func (r *Registry) Restored(now time.Time, era uint64) {
	r.unavailableAt = time.Time{}
	r.listedAt = now
	r.mayHaveLapsed = true
	r.graceEnds = now.Add(r.policy.Grace)
	r.restoredAt = now
	r.era = era
}

// missingAtPeer reports whether a peer's record is one that the peer holds in grace: after a
// restore, only records that the list lacks still have a position of an earlier era.
func (r *Registry) missingAtPeer(now time.Time, t Target) bool {
	return r.recentlyRestored(now) && t.Created != 0 && t.Created.Era() < r.era
}

// RecentlyRestored reports whether a whole list may still lack recent writes, because the list
// was restored from a snapshot.
func (r *Registry) RecentlyRestored(now time.Time) bool { return r.recentlyRestored(now) }

// recentlyRestored reports whether a list may still hold records older than the known ones.
func (r *Registry) recentlyRestored(now time.Time) bool {
	return !r.restoredAt.IsZero() && now.Before(r.restoredAt.Add(staleWindow))
}

// mayBeStale reports whether a record of a list may be older than the known ones.
func (r *Registry) mayBeStale(now time.Time, t Target) bool {
	if !r.recentlyRestored(now) {
		return false
	}
	if known, found := r.dropped[t.ID]; found && t.Start <= known.Start {
		return true
	}
	if rec, found := r.records[t.ID]; found {
		known := rec.target
		return t.Start < known.Start || t.Start == known.Start && known.State == Draining && t.State == Ready
	}
	for _, rec := range r.records {
		if rec.target.Created.Era() < t.Created.Era() && t.conflictsWith(rec.target) {
			// The listed target had the address before the snapshot was taken, the known one after.
			return true
		}
	}
	return false
}

// keepAsMissing starts the grace period of a ready target that a restored list lacks, as it
// may write its record again. It ends by the given time, if that isn't zero. It returns false
// if the target is to be dropped instead.
func (r *Registry) keepAsMissing(now time.Time, id ID, latest time.Time) bool {
	if r.records[id].target.State != Ready || !r.recentlyRestored(now) {
		return false
	}
	ends := r.restoredAt.Add(r.policy.Grace)
	if !latest.IsZero() && latest.Before(ends) {
		ends = latest
	}
	if !now.Before(ends) {
		return false
	}
	r.records[id].missingUntil = ends
	return true
}
