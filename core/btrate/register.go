package btrate

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"bilberrytide/core/btinventory"
)

// endedTTL is for how long it is remembered that a target has ended its limit, so that
// an entry which had not heard of it doesn't bring it back.
const endedTTL = 10 * time.Minute

// Change is what the register has learned of a target's rate.
type Change struct {
	Target        btinventory.Instance
	Before, After Limit
	// Skipped is how often the target was passed over under the limit before.
	Skipped int
}

// Register is what an entry knows of the rates that targets name, and keeps to. It is not
// safe for concurrent use.
type Register struct {
	shares     *Shares
	random     *rand.Rand
	allowances map[btinventory.Instance]*allowance
	// digest and cells are those of the limits in force, limited is how many there are.
	digest       uint64
	cells        [cellCount]byte
	activeLimits int
}

// allowance is what the entry may send to one target.
type allowance struct {
	limit  Limit
	bucket Bucket
	// changedAt is when the limit last did, heard that it was by an answer to this entry.
	changedAt time.Time
	direct    bool
	// share is the entry's part, as of a generation of the others and a rate.
	share      float64
	generation uint64
	sharedRate float64
	shareValid bool
	skipped    int
}

// New returns a register that knows of no limit.
func New(s *Shares, random *rand.Rand) *Register {
	return &Register{shares: s, random: random, allowances: make(map[btinventory.Instance]*allowance)}
}

// Retain forgets the targets that are not listed.
func (r *Register) Retain(listed func(btinventory.Instance) bool) {
	for i, a := range r.allowances {
		if !listed(i) {
			r.updateSummary(i, a.limit, Limit{})
			delete(r.allowances, i)
		}
	}
}

// Limit returns what is known of a target's rate.
func (r *Register) Limit(i btinventory.Instance) Limit {
	if a, found := r.allowances[i]; found {
		return a.limit
	}
	return Limit{}
}

// ObserveAnswer takes in what an answer says that has arrived now to a request that was sent
// before, and tells whether that is news.
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

// Merge takes in what another entry tells that was asked before, of targets that are
// listed. Of two words the later one holds.
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

// setLimit keeps a limit, and returns how often the target was passed over under the one
// before.
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

// CountSkipped notes that a request went elsewhere, or nowhere, for the target's limit.
func (r *Register) CountSkipped(i btinventory.Instance) {
	if a, found := r.allowances[i]; found {
		a.skipped++
	}
}

// Wait returns how long it takes until the entry may send a request to the target, zero
// where it may now.
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

// updateBucket brings the entry's part of a target's rate up to date.
func (r *Register) updateBucket(now time.Time, i btinventory.Instance, a *allowance) {
	if !a.shareValid || a.generation != r.shares.generation || a.sharedRate != a.limit.PerSecond {
		a.share = r.shares.Share(i.String(), a.limit.PerSecond)
		a.generation = r.shares.generation
		a.sharedRate = a.limit.PerSecond
		a.shareValid = true
	}
	a.bucket.SetRate(now, a.share, r.random.Float64())
}

// Take notes that a request is sent to the target, or will be once it may.
func (r *Register) Take(i btinventory.Instance) {
	if a, found := r.allowances[i]; found && a.limit.Active {
		a.bucket.Take()
	}
}

// Refund notes that a request which was taken is not sent.
func (r *Register) Refund(i btinventory.Instance) {
	if a, found := r.allowances[i]; found && a.limit.Active {
		a.bucket.Refund()
	}
}

// ActiveLimits returns how many targets name a rate.
func (r *Register) ActiveLimits() int { return r.activeLimits }

// updateSummary notes that a limit takes another's place.
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

// Summary stands for the limits that are known to be in force.
func (r *Register) Summary() Summary {
	if r.activeLimits == 0 {
		return Summary{}
	}
	return Summary{Digest: r.digest, Cells: slices.Clone(r.cells[:])}
}

// RecordsFor returns what is told to an entry whose limits the summary stands for: some of those
// that may differ.
func (r *Register) RecordsFor(now time.Time, s Summary) Records {
	r.expire(now)
	if s.Digest == r.digest {
		return nil
	}
	differs := r.Summary().differs(s)
	list := r.matching(func(i btinventory.Instance, _ *allowance) bool { return differs(i) })
	if len(list) == 0 {
		// Two differences may look alike in a cell.
		list = r.matching(func(btinventory.Instance, *allowance) bool { return true })
	}
	return r.records(now, r.sample(list))
}

// RecentRecords returns changes of late that the entry has heard itself, which it tells unasked:
// if entries only asked, a change would take 4.5 s to all of 380, and a limit must be kept
// to after three. Those who are told wait to be asked: else all would tell the few entries
// that everybody greets.
func (r *Register) RecentRecords(now time.Time) Records {
	list := r.matching(func(_ btinventory.Instance, a *allowance) bool {
		return a.direct && now.Sub(a.changedAt) <= recentPeriod
	})
	return r.records(now, r.sample(list))
}

// sample returns as many of a list as a message holds, by chance: messages of one moment
// differ, so that together they tell of more.
func (r *Register) sample(list []btinventory.Instance) []btinventory.Instance {
	r.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(len(list), MaxRecords)]
}

// matching lists the targets that are wanted, in the order of their names.
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

// records returns what is known of the targets.
func (r *Register) records(now time.Time, list []btinventory.Instance) Records {
	records := make(Records, len(list))
	for n, i := range list {
		l := r.allowances[i].limit
		age := min(max(now.Sub(l.ObservedAt), 0), maxAge)
		records[n] = Record{Target: i.ID, Start: i.Start, PerSecond: l.PerSecond, Ended: !l.Active, AgeMillis: age.Milliseconds()}
	}
	return records
}

// expire forgets limits that have ended long ago.
func (r *Register) expire(now time.Time) {
	for i, a := range r.allowances {
		if !a.limit.Active && now.Sub(a.limit.ObservedAt) > endedTTL {
			delete(r.allowances, i)
		}
	}
}
