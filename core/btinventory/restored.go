package btinventory

import "time"

// restoredFor is for how long after the list came back from a copy its records may be
// older than what is known: targets that live write theirs again within two seconds, and
// those that don't lapse after three missed renewals of some 1.2 s.
const restoredFor = 5 * time.Second

// Restored notes that the list has come back from a copy, in another era, which may lack
// what was written of late and have what was changed or removed since. For a while what is known holds
// against whole lists: a target that is missing keeps its work for the grace, one that has
// left or drains gets none, and an earlier start doesn't replace a later one. What a target
// writes from now on holds at once.
func (r *Registry) Restored(now time.Time, era uint64) {
	r.Interrupted()
	r.Resumed(now)
	r.restored = now
	r.era = era
}

// missedElsewhere tells whether another register, which told of the record, gives it its
// grace: the list that came back has no such record.
func (r *Registry) missedElsewhere(now time.Time, t Target) bool {
	return r.recentlyRestored(now) && t.Created != 0 && t.Created.Era() < r.era
}

// recentlyRestored tells whether a list may still have older records than what is known.
func (r *Registry) recentlyRestored(now time.Time) bool {
	return !r.restored.IsZero() && now.Before(r.restored.Add(restoredFor))
}

// outdated tells whether a record of a list may be older than what is known.
func (r *Registry) outdated(now time.Time, t Target) bool {
	if !r.recentlyRestored(now) {
		return false
	}
	if known, left := r.left[t.ID]; left && t.Start <= known.Start {
		return true
	}
	if rec, found := r.records[t.ID]; found {
		known := rec.target
		return t.Start < known.Start || t.Start == known.Start && known.State == Draining && t.State == Ready
	}
	for _, rec := range r.records {
		if rec.target.Created.Era() < t.Created.Era() && t.takesPlaceOf(rec.target) {
			// It had the address before the copy was made, the one that is known after.
			return true
		}
	}
	return false
}

// mayReturn tells whether a target that a list lacks may write its record again.
func (r *Registry) mayReturn(now time.Time, id ID) bool {
	if r.records[id].target.State != Ready || !r.recentlyRestored(now) || !now.Before(r.restored.Add(r.grace)) {
		return false
	}
	r.records[id].missingUntil = r.restored.Add(r.grace)
	return true
}
