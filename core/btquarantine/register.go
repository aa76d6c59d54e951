package btquarantine

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Life is for how long the end of a target counts against a request. Callers'
	// own retries come within seconds, people and batch jobs come back within
	// minutes; a request that is refused wrongly is refused for that long at most.
	Life = 10 * time.Minute
	// MaxEnds bounds the ends that are remembered of a request: what decides by any
	// policy, and one to spare.
	MaxEnds = 4
	// MaxRecords bounds the requests that are remembered: the requests at work at
	// some forty targets of a dozen places each; 106 KB of heap.
	MaxRecords = 512
	// MaxTold bounds the records of one message, some 3 KB.
	MaxTold = 64
	// sameEnd is within which time two words on one target's end are of the same one.
	// A platform that doesn't tell starts apart shows one target that ends twice,
	// seconds apart; words of one end differ by their way.
	sameEnd = time.Second
)

// Policy is how many targets must have ended under a request for it to be held.
type Policy struct {
	// Begun counts targets that had begun to answer it.
	Begun int
	// Sent counts all that it was sent to, begun or not: callers see a plain target's
	// answer begin only once its work is done.
	Sent int
	// Suspect is for how long one end holds a request that a member of a group had only
	// begun to answer; zero for not at all.
	Suspect time.Duration
}

// Usual is the policy of a register whose memory is whole. One end alone may be another
// request's doing, as a target has up to some dozen at work, and most are served when
// they are tried again. Only where the target was about to begin with the request is the
// suspicion strong enough to wait: a second end costs all callers of the group seconds.
func Usual() Policy { return Policy{Begun: 2, Sent: 3, Suspect: SuspectFor} }

// Cautious is the policy of a register that may have forgotten what was known, as all
// that knew it started anew: the first end may be the fourth in truth.
func Cautious() Policy { return Policy{Begun: 1, Sent: 1} }

// Register remembers under which requests targets have ended, of late. It is not safe
// for concurrent use.
type Register struct {
	policy  Policy
	records map[Fingerprint]*record
	// suspects are held for a shorter time.
	suspects suspects
	// served are the requests that were answered whole here within the last minute.
	served recent
	// digest identifies what is remembered.
	digest uint64
}

// record is what is remembered of one request.
type record struct {
	ends []end
	// served is when a target last answered the request whole; zero for never.
	served time.Time
}

// end is a target's end.
type end struct {
	target uint64
	began  bool
	at     time.Time
}

// New returns an empty register that goes by the policy.
func New(p Policy) *Register {
	return &Register{policy: p, records: make(map[Fingerprint]*record), suspects: make(suspects)}
}

// SetPolicy has the register go by another policy, also for what it remembers.
func (r *Register) SetPolicy(p Policy) { r.policy = p }

// Empty tells whether nothing is remembered, so that no fingerprint need be computed.
func (r *Register) Empty() bool { return len(r.records) == 0 && len(r.suspects) == 0 }

// Len returns how many requests are remembered.
func (r *Register) Len() int { return len(r.records) }

// Digest identifies what is remembered, whatever its age: registers of the same digest
// need tell each other nothing.
func (r *Register) Digest() uint64 { return r.digest }

// TargetID stands for the start of a target in records.
func TargetID(instance string) uint64 { return xxhash.Sum64String(instance) }

// Ended notes that a target ended with the request sent to it. It returns whether the
// request is held for that from now on.
func (r *Register) Ended(now time.Time, f Fingerprint, target uint64, p Progress) (newly bool) {
	before := r.hold(now, f)
	r.change(f, func(c *record) { c.add(end{target: target, began: p != Sent, at: now}) })
	r.bound()
	if p == Beginning {
		r.suspects.add(f, now)
	}
	return r.hold(now, f) > before
}

// Served notes that a target answered the request whole: what ended before did not end
// by it. It tells whether anything was remembered of the request.
func (r *Register) Served(now time.Time, f Fingerprint) bool {
	r.served.add(now, f)
	c, found := r.records[f]
	_, suspected := r.suspects[f]
	if !suspected && (!found || len(c.ends) == 0) {
		return false
	}
	r.change(f, func(c *record) { c.clear(now) })
	return true
}

// Held tells whether the request is kept from targets.
func (r *Register) Held(now time.Time, f Fingerprint) bool {
	return r.Until(now, f).After(now)
}

// Until returns until when the request is kept from targets; zero where it isn't. One
// that was served here within the last minute isn't: a request that many callers send
// alike is at work at all targets, also at several that end at once for another reason.
func (r *Register) Until(now time.Time, f Fingerprint) time.Time {
	if r.served.has(now, f) {
		return time.Time{}
	}
	if until := r.decidedUntil(now, f); !until.IsZero() {
		return until
	}
	return r.suspectedUntil(f)
}

// decidedUntil returns until when a request's ends keep it from targets; zero where they
// don't.
func (r *Register) decidedUntil(now time.Time, f Fingerprint) time.Time {
	c, found := r.records[f]
	if !found {
		return time.Time{}
	}
	return c.until(now, r.policy)
}

// hold tells how a request is held: not at all, as a suspect, or by its ends.
func (r *Register) hold(now time.Time, f Fingerprint) int {
	switch {
	case !r.Held(now, f):
		return notHeld
	case r.decidedUntil(now, f).IsZero():
		return heldAsSuspect
	}
	return heldByEnds
}

// How a request is held, the more strongly the later.
const (
	notHeld = iota
	heldAsSuspect
	heldByEnds
)

// Expire drops what is no longer of use.
func (r *Register) Expire(now time.Time) {
	r.suspects.expire(now)
	for f, c := range r.records {
		if c.latest().Add(Life).Before(now) {
			r.change(f, nil)
		}
	}
}

// Tell returns the latest records, for another entry.
func (r *Register) Tell(now time.Time) Records {
	fingerprints := r.latestFirst()
	told := make(Records, 0, min(len(fingerprints), MaxTold))
	for _, f := range fingerprints[:min(len(fingerprints), MaxTold)] {
		told = append(told, r.told(now, f))
	}
	return told
}

// TellOf returns the record of one request.
func (r *Register) TellOf(now time.Time, f Fingerprint) Record { return r.told(now, f) }

// told returns a record as it is told.
func (r *Register) told(now time.Time, f Fingerprint) Record {
	told := Record{Fingerprint: f, ServedMillis: -1}
	c, found := r.records[f]
	if !found {
		return told
	}
	if !c.served.IsZero() && now.Sub(c.served) <= Life {
		told.ServedMillis = age(now, c.served)
	}
	for _, e := range c.ends {
		if now.Sub(e.at) <= Life {
			told.Ends = append(told.Ends, End{Target: e.target, Began: e.began, AgeMillis: age(now, e.at)})
		}
	}
	return told
}

// Heard takes in what another entry tells. It returns the requests that are held from
// now on.
func (r *Register) Heard(now time.Time, told Records) []Fingerprint {
	var newly []Fingerprint
	for _, t := range told {
		before := r.hold(now, t.Fingerprint)
		r.change(t.Fingerprint, func(c *record) { c.merge(now, t) })
		if r.hold(now, t.Fingerprint) > before {
			newly = append(newly, t.Fingerprint)
		}
	}
	r.bound()
	return newly
}

// change changes a record, or drops it where change is nil, and keeps the digest.
func (r *Register) change(f Fingerprint, change func(*record)) {
	c, found := r.records[f]
	if found {
		r.digest ^= c.digest(f)
	}
	if change == nil {
		delete(r.records, f)
		return
	}
	if !found {
		c = &record{}
	}
	change(c)
	if c.empty() {
		delete(r.records, f)
		return
	}
	r.records[f] = c
	r.digest ^= c.digest(f)
}

// bound drops the oldest records where there are too many, those of held requests
// last.
func (r *Register) bound() {
	if len(r.records) <= MaxRecords {
		return
	}
	for _, f := range r.latestFirst()[MaxRecords:] {
		r.change(f, nil)
	}
}

// latestFirst lists the requests, those that are held first, then by their last end.
func (r *Register) latestFirst() []Fingerprint {
	list := make([]Fingerprint, 0, len(r.records))
	for f := range r.records {
		list = append(list, f)
	}
	slices.SortFunc(list, func(a, b Fingerprint) int {
		x, y := r.records[a], r.records[b]
		if held := x.decided(r.policy); held != y.decided(r.policy) {
			if held {
				return -1
			}
			return 1
		}
		return cmp.Or(y.latest().Compare(x.latest()), slices.Compare(a[:], b[:]))
	})
	return list
}

// add notes an end, unless it is known or before the request was served.
func (c *record) add(e end) {
	if !e.at.After(c.served) {
		return
	}
	for i, known := range c.ends {
		if known.target == e.target && e.at.Sub(known.at).Abs() < sameEnd {
			c.ends[i].began = known.began || e.began
			return
		}
	}
	c.ends = append(c.ends, e)
	slices.SortFunc(c.ends, func(a, b end) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.target, b.target)) })
	c.ends = c.ends[max(len(c.ends)-MaxEnds, 0):]
}

// clear notes that the request was served.
func (c *record) clear(at time.Time) {
	if !at.After(c.served) {
		return
	}
	c.served = at
	c.ends = slices.DeleteFunc(c.ends, func(e end) bool { return !e.at.After(at) })
}

// merge takes another entry's record in.
func (c *record) merge(now time.Time, told Record) {
	if told.ServedMillis >= 0 {
		c.heardServed(before(now, told.ServedMillis))
	}
	for _, e := range told.Ends {
		c.add(end{target: e.Target, began: e.Began, at: before(now, e.AgeMillis)})
	}
}

// heardServed notes a word that the request was served. One that is known comes back
// with another age, which changes nothing.
func (c *record) heardServed(at time.Time) {
	older := func(e end) bool { return !e.at.After(at) }
	if c.served.IsZero() || at.Sub(c.served) >= sameEnd || slices.ContainsFunc(c.ends, older) {
		c.clear(at)
	}
}

// decided tells whether the ends that are remembered keep the request from targets.
func (c *record) decided(p Policy) bool {
	begun := 0
	for _, e := range c.ends {
		if e.began {
			begun++
		}
	}
	return begun >= p.Begun || len(c.ends) >= p.Sent
}

// until returns until when the request is kept from targets.
func (c *record) until(now time.Time, p Policy) time.Time {
	fresh := record{}
	for _, e := range c.ends {
		if now.Sub(e.at) < Life {
			fresh.ends = append(fresh.ends, e)
		}
	}
	if len(fresh.ends) == 0 || !fresh.decided(p) {
		return time.Time{}
	}
	return fresh.latest().Add(Life)
}

// latest returns when the last thing that is remembered was.
func (c *record) latest() time.Time {
	latest := c.served
	for _, e := range c.ends {
		if e.at.After(latest) {
			latest = e.at
		}
	}
	return latest
}

func (c *record) empty() bool { return len(c.ends) == 0 && c.served.IsZero() }

// digest identifies the record, without ages and whatever the order in which its ends
// became known.
func (c *record) digest(f Fingerprint) uint64 {
	sum := uint64(0)
	for _, e := range c.ends {
		data := binary.BigEndian.AppendUint64(f[:], e.target)
		if e.began {
			data = append(data, 1)
		}
		sum += xxhash.Sum64(data)
	}
	if !c.served.IsZero() {
		sum += xxhash.Sum64(append(f[:], 2))
	}
	return sum
}
