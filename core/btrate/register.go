package btrate

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"bilberrytide/core/btinventory"
)

// endedTTL is how long the end of a limit is remembered, so that an entry that has not
// learned of it doesn't restore the limit.
const endedTTL = 10 * time.Minute

// Change is a change of a target's limit.
type Change struct {
	Target        btinventory.Instance
	Before, After Limit
	// Skipped is how often the target was skipped under the previous limit.
	Skipped int
}

// Register holds the limits that an entry knows, and enforces them. A Register is not
// safe for concurrent use.
type Register struct {
	shares     *Shares
	random     *rand.Rand
	allowances map[btinventory.Instance]*allowance
	// digest and cells summarise the active limits; activeLimits is their number.
	digest       uint64
	cells        [cellCount]byte
	activeLimits int
}

// allowance is the state of one target at this entry.
type allowance struct {
	limit  Limit
	bucket Bucket
	// changedAt is when the limit last changed; direct reports that the change came
	// with an answer to this entry.
	changedAt time.Time
	direct    bool
	// share is the entry's share of the rate. It is valid for a generation of the
	// entries and for sharedRate.
	share      float64
	generation uint64
	sharedRate float64
	shareValid bool
	skipped    int
}

// New returns a register without limits.
func New(s *Shares, random *rand.Rand) *Register {
	return &Register{shares: s, random: random, allowances: make(map[btinventory.Instance]*allowance)}
}

// Retain removes the targets that are not listed.
func (r *Register) Retain(listed func(btinventory.Instance) bool) {
	for i, a := range r.allowances {
		if !listed(i) {
			r.updateSummary(i, a.limit, Limit{})
			delete(r.allowances, i)
		}
	}
}

// Limit returns the known limit of a target.
func (r *Register) Limit(i btinventory.Instance) Limit {
	if a, found := r.allowances[i]; found {
		return a.limit
	}
	return Limit{}
}

// ObserveAnswer records the advertisement of an answer that arrives now to a request
// sent at sentAt, and reports whether the limit changed.
func (r *Register) ObserveAnswer(now, sentAt time.Time, i btinventory.Instance, a Advertisement) (Change, bool) {
	before := r.Limit(i)
	after, changed := before.Update(now, sentAt, a)
	change := Change{Target: i, Before: before, After: after}
	if after != before {
		change.Skipped = r.setLimit(now, i, after, changed)
		r.allowances[i].direct = r.allowances[i].direct || changed
	}
	return change, changed
}

// Merge records what another entry sent in reply to a message of askedAt, and returns
// the changes. Targets that are not listed are ignored. Of two observations the later
// one wins.
func (r *Register) Merge(now, askedAt time.Time, records Records, listed func(btinventory.Instance) bool) []Change {
	var changes []Change
	for _, record := range records {
		i := record.instance()
		before := r.Limit(i)
		observedAt := askedAt.Add(-time.Duration(record.AgeMillis) * time.Millisecond)
		if !listed(i) || !observedAt.After(before.ObservedAt) || record.Ended && !before.Active {
			continue
		}
		after := Limit{PerSecond: record.PerSecond, Active: !record.Ended, ObservedAt: observedAt}
		changed := after.Active != before.Active || after.PerSecond != before.PerSecond
		skipped := r.setLimit(now, i, after, changed)
		if changed {
			r.allowances[i].direct = false
			changes = append(changes, Change{Target: i, Before: before, After: after, Skipped: skipped})
		}
	}
	return changes
}

// setLimit stores a limit and returns how often the target was skipped under the
// previous one.
func (r *Register) setLimit(now time.Time, i btinventory.Instance, l Limit, changed bool) (skipped int) {
	a, found := r.allowances[i]
	if !found {
		a = &allowance{}
		r.allowances[i] = a
	}
	r.updateSummary(i, a.limit, l)
	a.limit = l
	if changed {
		a.changedAt = now
		skipped, a.skipped = a.skipped, 0
	}
	return skipped
}

// CountSkipped records that the limit kept a request from the target.
func (r *Register) CountSkipped(i btinventory.Instance) {
	if a, found := r.allowances[i]; found {
		a.skipped++
	}
}

// Wait returns the time until the entry may send a request to the target; zero means
// now.
func (r *Register) Wait(now time.Time, i btinventory.Instance) time.Duration {
	a, found := r.allowances[i]
	if !found || !a.limit.Active {
		return 0
	}
	allowedAt := r.shares.sendingAllowedAt(now)
	if now.Before(allowedAt) {
		return allowedAt.Sub(now)
	}
	r.updateBucket(now, i, a)
	return a.bucket.Wait()
}

// updateBucket recomputes the entry's share if necessary and refills the bucket.
func (r *Register) updateBucket(now time.Time, i btinventory.Instance, a *allowance) {
	if !a.shareValid || a.generation != r.shares.generation || a.sharedRate != a.limit.PerSecond {
		a.share = r.shares.Share(i.String(), a.limit.PerSecond)
		a.generation = r.shares.generation
		a.sharedRate = a.limit.PerSecond
		a.shareValid = true
	}
	a.bucket.SetRate(now, a.share, r.random.Float64())
}

// Take debits a token for a request that is sent to the target now or after its wait.
func (r *Register) Take(i btinventory.Instance) {
	if a, found := r.allowances[i]; found && a.limit.Active {
		a.bucket.Take()
	}
}

// Refund returns the token of a request that is not sent.
func (r *Register) Refund(i btinventory.Instance) {
	if a, found := r.allowances[i]; found && a.limit.Active {
		a.bucket.Refund()
	}
}

// ActiveLimits returns the number of targets with an active limit.
func (r *Register) ActiveLimits() int { return r.activeLimits }

// updateSummary replaces a limit in the summary.
func (r *Register) updateSummary(i btinventory.Instance, before, after Limit) {
	change := fingerprint(i, before) ^ fingerprint(i, after)
	r.digest ^= change
	r.cells[cellOf(i)] ^= byte(change >> 56)
	if before.Active {
		r.activeLimits--
	}
	if after.Active {
		r.activeLimits++
	}
}

// Summary returns the summary of the active limits.
func (r *Register) Summary() Summary {
	if r.activeLimits == 0 {
		return Summary{}
	}
	return Summary{Digest: r.digest, Cells: slices.Clone(r.cells[:])}
}

// RecordsFor returns records for an entry with the given summary: some of those that
// may differ.
func (r *Register) RecordsFor(now time.Time, s Summary) Records {
	r.expire(now)
	if s.Digest == r.digest {
		return nil
	}
	differs := r.Summary().differs(s)
	list := r.matching(func(i btinventory.Instance, _ *allowance) bool { return differs(i) })
	if len(list) == 0 {
		// Two differences may have the same digest in a cell.
		list = r.matching(func(btinventory.Instance, *allowance) bool { return true })
	}
	return r.records(now, r.sample(list))
}

// RecentRecords returns recent changes that this entry learned from its own answers. It
// sends them unasked: on request alone a change took 4.5 s to reach all of 380 entries,
// and a limit must be enforced after three. Entries that learn a change from others send it
// only on request, or all of them would send it to the few entries that everyone
// contacts.
func (r *Register) RecentRecords(now time.Time) Records {
	list := r.matching(func(_ btinventory.Instance, a *allowance) bool {
		return a.direct && now.Sub(a.changedAt) <= recentPeriod
	})
	return r.records(now, r.sample(list))
}

// sample returns a random part of the list that fits into a message, so that concurrent
// messages together cover more of it.
func (r *Register) sample(list []btinventory.Instance) []btinventory.Instance {
	r.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(len(list), MaxRecords)]
}

// matching returns the targets that match, ordered by ID and start.
func (r *Register) matching(match func(btinventory.Instance, *allowance) bool) []btinventory.Instance {
	var list []btinventory.Instance
	for i, a := range r.allowances {
		if match(i, a) {
			list = append(list, i)
		}
	}
	slices.SortFunc(list, func(a, b btinventory.Instance) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Start, b.Start))
	})
	return list
}

// records returns the records of the targets.
func (r *Register) records(now time.Time, list []btinventory.Instance) Records {
	records := make(Records, len(list))
	for n, i := range list {
		l := r.allowances[i].limit
		age := min(max(now.Sub(l.ObservedAt), 0), maxAge)
		records[n] = Record{Target: i.ID, Start: i.Start, PerSecond: l.PerSecond, Ended: !l.Active, AgeMillis: age.Milliseconds()}
	}
	return records
}

// expire removes limits that ended long ago.
func (r *Register) expire(now time.Time) {
	for i, a := range r.allowances {
		if !a.limit.Active && now.Sub(a.limit.ObservedAt) > endedTTL {
			delete(r.allowances, i)
		}
	}
}
