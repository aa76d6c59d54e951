package btquarantine

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// TTL is how long a crash counts against a request.
	TTL = 10 * time.Minute
	// MaxCrashReports bounds the reports of crashes that are kept of a request: what decides by
	// any policy and one to spare, each reported by two processes.
	MaxCrashReports = 8
	// MaxRecords bounds the requests that are remembered: those in flight at some forty
	// targets of a dozen places each.
	MaxRecords = 512
	// MaxRecordsPerMessage bounds the records of one message.
	MaxRecordsPerMessage = 64
	// sameEnd is within which time the reports of two processes on one target are of the
	// same crash. A platform that doesn't tell starts apart shows one target that crashes
	// twice, seconds apart.
	sameEnd = time.Second
)

// Policy is how many targets must have ended under a request for it to be held.
type Policy struct {
	// BegunCrashes counts targets that had begun to answer it.
	BegunCrashes int
	// AllCrashes counts all that it was sent to, begun or not: callers see a plain target's
	// answer begin only once its work is done.
	AllCrashes int
	// SuspectTime is for how long one end holds a request that a member of a group had only
	// begun to answer; zero for not at all.
	SuspectTime time.Duration
}

// DefaultPolicy is the policy of a register that has lost no state. One crash alone may be
// due to any request in flight at the target; only one that the target had just begun to
// answer is suspected after it.
func DefaultPolicy() Policy { return Policy{BegunCrashes: 2, AllCrashes: 3, SuspectTime: SuspectFor} }

// ConservativePolicy is the policy of a register that may have lost state: it quarantines
// a request after its first crash.
func ConservativePolicy() Policy { return Policy{BegunCrashes: 1, AllCrashes: 1} }

// Register remembers under which requests targets have ended, of late. It is not safe
// for concurrent use.
type Register struct {
	policy  Policy
	records map[Fingerprint]*record
	// observer identifies this process in its reports.
	observer uint64
	// suspects are held for a shorter time.
	suspects suspects
	// served are the requests that were answered whole here within the last minute.
	served recent
	// digest identifies what is remembered.
	digest uint64
}

// New returns an empty register that goes by the policy.
func New(p Policy) *Register {
	return &Register{policy: p, records: make(map[Fingerprint]*record), suspects: make(suspects)}
}

// SetObserver sets the number that identifies this process in its reports. Processes draw
// one as they start.
func (r *Register) SetObserver(observer uint64) { r.observer = observer }

// observe returns the identity of a crash that this process sees.
func (r *Register) observe(now time.Time, f Fingerprint, target uint64) Observation {
	data := binary.BigEndian.AppendUint64(f[:], r.observer)
	data = binary.BigEndian.AppendUint64(data, target)
	data = binary.BigEndian.AppendUint64(data, uint64(now.UnixNano()))
	return Observation(xxhash.Sum64(data))
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

// RecordCrash notes that a target ended with the request sent to it. It returns whether the
// request is held for that from now on.
func (r *Register) RecordCrash(now time.Time, f Fingerprint, target uint64, p Progress) (newly bool) {
	before := r.hold(now, f)
	seen := end{target: target, began: p != Sent, at: now, observation: r.observe(now, f, target)}
	r.change(f, func(c *record) { c.add(seen) })
	r.bound()
	if p == BegunWithoutOutput {
		r.suspects.add(f, now)
	}
	return r.hold(now, f) > before
}

// RecordServed notes that a target answered the request whole: what ended before did not end
// by it. It tells whether anything was remembered of the request.
func (r *Register) RecordServed(now time.Time, f Fingerprint) bool {
	r.served.add(now, f)
	c, found := r.records[f]
	_, suspected := r.suspects[f]
	if !suspected && (!found || len(c.ends) == 0) {
		return false
	}
	r.change(f, func(c *record) { c.clear(now) })
	return true
}

// Quarantined tells whether the request is kept from targets.
func (r *Register) Quarantined(now time.Time, f Fingerprint) bool {
	return r.QuarantinedUntil(now, f).After(now)
}

// QuarantinedUntil returns until when the request is kept from targets; zero where it isn't. One
// that was served here within the last minute isn't: a request that many callers send
// alike is at work at all targets, also at several that end at once for another reason.
func (r *Register) QuarantinedUntil(now time.Time, f Fingerprint) time.Time {
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
	case !r.Quarantined(now, f):
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
		if c.latest().Add(TTL).Before(now) {
			r.change(f, nil)
		}
	}
}

// Export returns the latest records, for another entry.
func (r *Register) Export(now time.Time) Records {
	fingerprints := r.latestFirst()
	told := make(Records, 0, min(len(fingerprints), MaxRecordsPerMessage))
	for _, f := range fingerprints[:min(len(fingerprints), MaxRecordsPerMessage)] {
		told = append(told, r.told(now, f))
	}
	return told
}

// ExportRecord returns the record of one request.
func (r *Register) ExportRecord(now time.Time, f Fingerprint) Record { return r.told(now, f) }

// told returns a record as it is told.
func (r *Register) told(now time.Time, f Fingerprint) Record {
	told := Record{Fingerprint: f, ServedMillis: -1}
	c, found := r.records[f]
	if !found {
		return told
	}
	if !c.served.IsZero() && now.Sub(c.served) <= TTL {
		told.ServedMillis = age(now, c.served)
	}
	for _, e := range c.ends {
		if now.Sub(e.at) <= TTL {
			told.Crashes = append(told.Crashes, CrashReport{Target: e.target, Began: e.began, AgeMillis: age(now, e.at), Observation: e.observation})
		}
	}
	return told
}

// Merge takes in what another entry tells. It returns the requests that are held from
// now on.
func (r *Register) Merge(now time.Time, told Records) []Fingerprint {
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
