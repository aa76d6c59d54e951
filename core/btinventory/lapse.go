package btinventory

import "time"

// LapsePolicy configures how long a target is kept whose record may have lapsed.
type LapsePolicy struct {
	// Grace is how long after the first read after an outage a target is kept that the list
	// lacks then. Live targets write their records again in this time.
	Grace time.Duration
	// MinLapse is the shortest time after which the record of a live target that can't renew it
	// lapses. A shorter interruption doesn't count as an outage.
	MinLapse time.Duration
	// Recovery is how long after an outage the platform's bounds on requests to removed targets
	// don't apply yet; zero if unknown. A grace period ends by then.
	Recovery time.Duration
}

// graceEnds returns when the grace period ends of targets that the first read after an outage
// lacks. The outage continued at unavailableAt at least.
func (p LapsePolicy) graceEnds(readAt, unavailableAt time.Time) time.Time {
	end := readAt.Add(p.Grace)
	if bound := unavailableAt.Add(p.Recovery); p.Recovery > 0 && bound.Before(end) {
		return bound
	}
	return end
}

// Interrupted records that a read sent at the given time failed because the platform was
// unavailable.
func (r *Registry) Interrupted(sentAt time.Time) {
	if sentAt.After(r.unavailableAt) {
		r.unavailableAt = sentAt
	}
}

// Resumed records that this process has read the list, before what it read is applied. What
// the list lacks in the first read after an outage may have lapsed. Later removals were written
// when targets could renew their records again.
func (r *Registry) Resumed(now time.Time) {
	r.mayHaveLapsed = !r.unavailableAt.IsZero() && r.lapsePossible(now)
	r.graceEnds = r.policy.graceEnds(now, r.unavailableAt)
	r.unavailableAt = time.Time{}
	r.listedAt = now
}

// lapsePossible reports whether the record of a live target may have lapsed between the known
// list and one that was read at the given time.
func (r *Registry) lapsePossible(readAt time.Time) bool {
	return r.listedAt.IsZero() || readAt.Sub(r.listedAt) > r.policy.MinLapse
}
