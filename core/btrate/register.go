package btrate

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"bilberrytide/core/btinventory"
)

// endedKept is for how long it is remembered that a target has ended its limit, so that
// an entry which had not heard of it doesn't bring it back.
const endedKept = 10 * time.Minute

// Change is what the register has learned of a target's rate.
type Change struct {
	Target        btinventory.Instance
	Before, After Limit
	// PassedOver is how often the target was passed over under the limit before.
	PassedOver int
}

// Register is what an entry knows of the rates that targets name, and keeps to. It is not
// safe for concurrent use.
type Register struct {
	shares *Shares
	random *rand.Rand
	known  map[btinventory.Instance]*allowance
	// digest and cells are those of the limits in force, limited is how many there are.
	digest  uint64
	cells   [cellCount]byte
	limited int
}

// allowance is what the entry may send to one target.
type allowance struct {
	limit  Limit
	bucket Bucket
	// changed is when the limit last did, heard that it was by an answer to this entry.
	changed time.Time
	heard   bool
	// share is the entry's part, as of a generation of the others and a rate.
	share      float64
	generation uint64
	perSecond  float64
	shared     bool
	passedOver int
}

// New returns a register that knows of no limit.
func New(s *Shares, random *rand.Rand) *Register {
	return &Register{shares: s, random: random, known: make(map[btinventory.Instance]*allowance)}
}

// Keep forgets the targets that are not listed.
func (r *Register) Keep(listed func(btinventory.Instance) bool) {
	for i, a := range r.known {
		if !listed(i) {
			r.count(i, a.limit, Limit{})
			delete(r.known, i)
		}
	}
}

// Limit returns what is known of a target's rate.
func (r *Register) Limit(i btinventory.Instance) Limit {
	if a, found := r.known[i]; found {
		return a.limit
	}
	return Limit{}
}

// Heard takes in what an answer says that has arrived now to a request that was sent
// before, and tells whether that is news.
func (r *Register) Heard(now, sent time.Time, i btinventory.Instance, w Word) (Change, bool) {
	before := r.Limit(i)
	after, news := before.After(now, sent, w)
	change := Change{Target: i, Before: before, After: after}
	if after != before {
		change.PassedOver = r.put(now, i, after, news)
		r.known[i].heard = r.known[i].heard || news
	}
	return change, news
}

// Told takes in what another entry tells that was asked before, of targets that are
// listed. Of two words the later one holds.
func (r *Register) Told(now, asked time.Time, records Records, listed func(btinventory.Instance) bool) []Change {
	var changes []Change
	for _, record := range records {
		i := record.instance()
		before := r.Limit(i)
		at := asked.Add(-time.Duration(record.AgeMillis) * time.Millisecond)
		if !listed(i) || !at.After(before.At) || record.Ended && !before.Named {
			continue
		}
		after := Limit{PerSecond: record.PerSecond, Named: !record.Ended, At: at}
		news := after.Named != before.Named || after.PerSecond != before.PerSecond
		passedOver := r.put(now, i, after, news)
		if news {
			r.known[i].heard = false
			changes = append(changes, Change{Target: i, Before: before, After: after, PassedOver: passedOver})
		}
	}
	return changes
}

// put keeps a limit, and returns how often the target was passed over under the one
// before.
func (r *Register) put(now time.Time, i btinventory.Instance, l Limit, news bool) (passedOver int) {
	a, found := r.known[i]
	if !found {
		a = &allowance{}
		r.known[i] = a
	}
	r.count(i, a.limit, l)
	a.limit = l
	if news {
		a.changed = now
		passedOver, a.passedOver = a.passedOver, 0
	}
	return passedOver
}

// PassedOver notes that a request went elsewhere, or nowhere, for the target's limit.
func (r *Register) PassedOver(i btinventory.Instance) {
	if a, found := r.known[i]; found {
		a.passedOver++
	}
}

// Wait returns how long it takes until the entry may send a request to the target, zero
// where it may now.
func (r *Register) Wait(now time.Time, i btinventory.Instance) time.Duration {
	a, found := r.known[i]
	if !found || !a.limit.Named {
		return 0
	}
	settled := r.shares.settledAt(now)
	if now.Before(settled) {
		return settled.Sub(now)
	}
	r.refresh(now, i, a)
	return a.bucket.Wait()
}

// refresh brings the entry's part of a target's rate up to date.
func (r *Register) refresh(now time.Time, i btinventory.Instance, a *allowance) {
	if !a.shared || a.generation != r.shares.generation || a.perSecond != a.limit.PerSecond {
		a.share = r.shares.Of(i.String(), a.limit.PerSecond)
		a.generation = r.shares.generation
		a.perSecond = a.limit.PerSecond
		a.shared = true
	}
	a.bucket.Set(now, a.share, r.random.Float64())
}

// Take notes that a request is sent to the target, or will be once it may.
func (r *Register) Take(i btinventory.Instance) {
	if a, found := r.known[i]; found && a.limit.Named {
		a.bucket.Take()
	}
}

// GiveBack notes that a request which was taken is not sent.
func (r *Register) GiveBack(i btinventory.Instance) {
	if a, found := r.known[i]; found && a.limit.Named {
		a.bucket.GiveBack()
	}
}

// Limited returns how many targets name a rate.
func (r *Register) Limited() int { return r.limited }

// count notes that a limit takes another's place.
func (r *Register) count(i btinventory.Instance, before, after Limit) {
	change := fingerprint(i, before) ^ fingerprint(i, after)
	r.digest ^= change
	r.cells[cell(i)] ^= byte(change >> 56)
	if before.Named {
		r.limited--
	}
	if after.Named {
		r.limited++
	}
}

// Summary stands for the limits that are known to be in force.
func (r *Register) Summary() Summary {
	if r.limited == 0 {
		return Summary{}
	}
	return Summary{Digest: r.digest, Cells: slices.Clone(r.cells[:])}
}

// Tell returns what is told to an entry whose limits the summary stands for: some of those
// that may differ.
func (r *Register) Tell(now time.Time, s Summary) Records {
	r.expire(now)
	if s.Digest == r.digest {
		return nil
	}
	differs := r.Summary().differs(s)
	list := r.list(func(i btinventory.Instance, _ *allowance) bool { return differs(i) })
	if len(list) == 0 {
		// Two differences may look alike in a cell.
		list = r.list(func(btinventory.Instance, *allowance) bool { return true })
	}
	return r.records(now, r.some(list))
}

// News returns changes of late that the entry has heard itself, which it tells unasked:
// if entries only asked, a change would take 4.5 s to all of 380, and a limit must be kept
// to after three. Those who are told wait to be asked: else all would tell the few entries
// that everybody greets.
func (r *Register) News(now time.Time) Records {
	list := r.list(func(_ btinventory.Instance, a *allowance) bool { return a.heard && now.Sub(a.changed) <= newsFor })
	return r.records(now, r.some(list))
}

// some returns as many of a list as a message holds, by chance: messages of one moment
// differ, so that together they tell of more.
func (r *Register) some(list []btinventory.Instance) []btinventory.Instance {
	r.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(len(list), MaxTold)]
}

// list lists the targets that are wanted, in the order of their names.
func (r *Register) list(wanted func(btinventory.Instance, *allowance) bool) []btinventory.Instance {
	var list []btinventory.Instance
	for i, a := range r.known {
		if wanted(i, a) {
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
		l := r.known[i].limit
		age := min(max(now.Sub(l.At), 0), maxAge)
		records[n] = Record{Target: i.ID, Start: i.Start, PerSecond: l.PerSecond, Ended: !l.Named, AgeMillis: age.Milliseconds()}
	}
	return records
}

// expire forgets limits that have ended long ago.
func (r *Register) expire(now time.Time) {
	for i, a := range r.known {
		if !a.limit.Named && now.Sub(a.limit.At) > endedKept {
			delete(r.known, i)
		}
	}
}
