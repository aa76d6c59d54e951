package btquarantine

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// TTL is how long a crash counts against a request. Callers' own retries come
	// within seconds, and people and batch jobs come back within minutes. A request
	// that is quarantined wrongly is refused for TTL at most.
	TTL = 10 * time.Minute
	// MaxCrashReports limits the crash reports of a request: as many crashes as any
	// policy needs and one more, each reported by two processes.
	MaxCrashReports = 8
	// MaxRecords limits the requests in a register: those in flight at some forty
	// targets that run a dozen requests each.
	MaxRecords = 512
	// MaxRecordsPerMessage limits the records of one message.
	MaxRecordsPerMessage = 64
	// sameCrashWithin is the time within which reports of two processes about one
	// target are of the same crash. It is short because a platform that doesn't
	// distinguish the restarts of a target shows one target that crashes twice
	// within seconds.
	sameCrashWithin = time.Second
)

// Policy is how many targets must have crashed while running a request before it is
// quarantined.
type Policy struct {
	// BegunCrashes is the threshold for crashes of targets that had begun to answer
	// the request.
	BegunCrashes int
	// AllCrashes is the threshold for crashes of all targets that it was sent to,
	// whether they had begun or not: of a plain target, callers see the answer
	// begin only when its work is done.
	AllCrashes int
	// SuspectTime is how long a request is quarantined after one crash of a group
	// member that had begun to answer it but produced no output; zero disables
	// this.
	SuspectTime time.Duration
}

// DefaultPolicy returns the policy of a register that has lost no state. A single
// crash may be due to any of up to some dozen requests in flight at the target, most of
// which are served when they are retried. So it makes only those suspects that the
// target had just begun to answer; these aren't retried at once, because a second crash
// costs all callers of the group seconds.
func DefaultPolicy() Policy { return Policy{BegunCrashes: 2, AllCrashes: 3, SuspectTime: SuspectFor} }

// ConservativePolicy returns the policy of a register that may have lost state: it
// quarantines a request after the first crash that it sees, which may be the fourth
// in fact.
func ConservativePolicy() Policy { return Policy{BegunCrashes: 1, AllCrashes: 1} }

// Register remembers which requests were running when targets recently crashed. It
// is not safe for concurrent use.
type Register struct {
	policy    Policy
	histories map[Fingerprint]*history
	// observer identifies this process in its reports.
	observer uint64
	// suspects are quarantined for a shorter time.
	suspects suspects
	// recentlyServed is the requests that were answered completely here within
	// about the last minute.
	recentlyServed recentSet
	// digest identifies the contents of the register.
	digest uint64
}

// New returns an empty register with the policy.
func New(p Policy) *Register {
	return &Register{policy: p, histories: make(map[Fingerprint]*history), suspects: make(suspects)}
}

// SetObserver sets the number that identifies this process in its reports. Each
// process draws a random one when it starts.
func (r *Register) SetObserver(observer uint64) { r.observer = observer }

// newObservation returns the identity of a crash that this process observed.
func (r *Register) newObservation(now time.Time, f Fingerprint, target uint64) Observation {
	data := binary.BigEndian.AppendUint64(f[:], r.observer)
	data = binary.BigEndian.AppendUint64(data, target)
	data = binary.BigEndian.AppendUint64(data, uint64(now.UnixNano()))
	return Observation(xxhash.Sum64(data))
}

// SetPolicy replaces the policy, also for the crashes that are already recorded.
func (r *Register) SetPolicy(p Policy) { r.policy = p }

// Empty reports whether the register is empty, so that no fingerprint needs to be
// computed.
func (r *Register) Empty() bool { return len(r.histories) == 0 && len(r.suspects) == 0 }

// Len returns the number of requests in the register.
func (r *Register) Len() int { return len(r.histories) }

// Digest identifies the contents of the register regardless of their age: registers
// with the same digest have nothing to exchange.
func (r *Register) Digest() uint64 { return r.digest }

// TargetID returns the number that identifies an instance of a target in records. A
// restart is a new instance where the platform distinguishes it.
func TargetID(instance string) uint64 { return xxhash.Sum64String(instance) }

// RecordCrash records that a target crashed after the request was sent to it. It
// reports whether the request is quarantined, or more strictly so, from now on.
func (r *Register) RecordCrash(now time.Time, f Fingerprint, target uint64, p Progress) (newly bool) {
	levelBefore := r.level(now, f)
	report := crashReport{target: target, began: p != Sent, at: now, observation: r.newObservation(now, f, target)}
	r.update(f, func(c *history) { c.add(report) })
	r.evictExcess()
	if p == BegunWithoutOutput {
		r.suspects.add(f, now)
	}
	return r.level(now, f) > levelBefore
}

// RecordServed records that a target answered the request completely, so the
// earlier crashes were not its fault. It reports whether crashes of the request
// were recorded.
func (r *Register) RecordServed(now time.Time, f Fingerprint) bool {
	r.recentlyServed.add(now, f)
	c, found := r.histories[f]
	_, suspected := r.suspects[f]
	if !suspected && (!found || len(c.reports) == 0) {
		return false
	}
	r.update(f, func(c *history) { c.markServed(now) })
	return true
}

// Quarantined reports whether the request must not be sent to targets.
func (r *Register) Quarantined(now time.Time, f Fingerprint) bool {
	return r.QuarantinedUntil(now, f).After(now)
}

// QuarantinedUntil returns when the quarantine of the request ends; zero if it
// isn't quarantined. A request that was recently served here isn't: a request that
// many callers send alike is running at all targets, also at several that crash
// together for another reason.
func (r *Register) QuarantinedUntil(now time.Time, f Fingerprint) time.Time {
	if r.recentlyServed.has(now, f) {
		return time.Time{}
	}
	if until := r.crashQuarantineEnd(now, f); !until.IsZero() {
		return until
	}
	return r.suspicionEnd(f)
}

// crashQuarantineEnd returns when the quarantine by the number of crashes ends;
// zero if there is none.
func (r *Register) crashQuarantineEnd(now time.Time, f Fingerprint) time.Time {
	c, found := r.histories[f]
	if !found {
		return time.Time{}
	}
	return c.quarantineEnd(now, r.policy)
}

// level returns how strictly a request is quarantined.
func (r *Register) level(now time.Time, f Fingerprint) int {
	switch {
	case !r.Quarantined(now, f):
		return notQuarantined
	case r.crashQuarantineEnd(now, f).IsZero():
		return quarantinedAsSuspect
	}
	return quarantinedByCrashes
}

// The levels of quarantine, from the weakest to the strictest.
const (
	notQuarantined = iota
	quarantinedAsSuspect
	quarantinedByCrashes
)

// Expire removes what is out of date.
func (r *Register) Expire(now time.Time) {
	r.suspects.expire(now)
	for f, c := range r.histories {
		if c.latest().Add(TTL).Before(now) {
			r.update(f, nil)
		}
	}
}

// Export returns the most important records for another entry, at most
// MaxRecordsPerMessage.
func (r *Register) Export(now time.Time) Records {
	fingerprints := r.byPriority()
	exported := make(Records, 0, min(len(fingerprints), MaxRecordsPerMessage))
	for _, f := range fingerprints[:min(len(fingerprints), MaxRecordsPerMessage)] {
		exported = append(exported, r.exportRecord(now, f))
	}
	return exported
}

// ExportRecord returns the record of one request.
func (r *Register) ExportRecord(now time.Time, f Fingerprint) Record { return r.exportRecord(now, f) }

// exportRecord returns the record of one request as it is sent.
func (r *Register) exportRecord(now time.Time, f Fingerprint) Record {
	exported := Record{Fingerprint: f, ServedMillis: -1}
	c, found := r.histories[f]
	if !found {
		return exported
	}
	if !c.served.IsZero() && now.Sub(c.served) <= TTL {
		exported.ServedMillis = age(now, c.served)
	}
	for _, e := range c.reports {
		if now.Sub(e.at) <= TTL {
			exported.Crashes = append(exported.Crashes, CrashReport{Target: e.target, Began: e.began, AgeMillis: age(now, e.at), Observation: e.observation})
		}
	}
	return exported
}

// Merge merges the records of another entry. It returns the requests that are
// quarantined, or more strictly so, from now on.
func (r *Register) Merge(now time.Time, received Records) []Fingerprint {
	var newly []Fingerprint
	for _, t := range received {
		levelBefore := r.level(now, t.Fingerprint)
		r.update(t.Fingerprint, func(c *history) { c.merge(now, t) })
		if r.level(now, t.Fingerprint) > levelBefore {
			newly = append(newly, t.Fingerprint)
		}
	}
	r.evictExcess()
	return newly
}

// update changes a history, or deletes it if change is nil, and updates the digest.
func (r *Register) update(f Fingerprint, change func(*history)) {
	c, found := r.histories[f]
	if found {
		r.digest ^= c.digest(f)
	}
	if change == nil {
		delete(r.histories, f)
		return
	}
	if !found {
		c = &history{}
	}
	change(c)
	if c.empty() {
		delete(r.histories, f)
		return
	}
	r.histories[f] = c
	r.digest ^= c.digest(f)
}

// evictExcess removes the records beyond MaxRecords, the oldest first and those of
// quarantined requests last.
func (r *Register) evictExcess() {
	if len(r.histories) <= MaxRecords {
		return
	}
	for _, f := range r.byPriority()[MaxRecords:] {
		r.update(f, nil)
	}
}

// byPriority lists the requests: quarantined ones first, then by their last crash
// or success.
func (r *Register) byPriority() []Fingerprint {
	list := make([]Fingerprint, 0, len(r.histories))
	for f := range r.histories {
		list = append(list, f)
	}
	slices.SortFunc(list, func(a, b Fingerprint) int {
		x, y := r.histories[a], r.histories[b]
		if quarantined := x.reachesThreshold(r.policy); quarantined != y.reachesThreshold(r.policy) {
			if quarantined {
				return -1
			}
			return 1
		}
		return cmp.Or(y.latest().Compare(x.latest()), slices.Compare(a[:], b[:]))
	})
	return list
}
