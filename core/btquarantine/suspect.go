package btquarantine

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"bilberrytide/core/btwire"
)

const (
	// SuspectFor is for how long a request is kept from targets after a member of a group
	// ended as it began to answer it. It is longer than a group takes to form anew and to
	// work off who waited, so that a second end would not strike those as well; who is
	// refused wrongly is refused for that long.
	SuspectFor = 30 * time.Second
	// MaxSuspects bounds the suspects that are remembered and told, some 340 B: a target
	// begins to answer one or two requests at a time.
	MaxSuspects = 16
)

// Progress is how far a target had come with a request when it ended.
type Progress int

const (
	// Sent tells nothing but that the request was there.
	Sent Progress = iota
	// Answering tells that the target had begun to answer.
	Answering
	// BegunWithoutOutput tells that the target, a member of a group, had begun to answer and that
	// nothing of the answer had come. Of the requests at a target few are in that state,
	// and one that ends targets as it begins always is.
	BegunWithoutOutput
)

// Suspect is what processes tell each other of a request under which a member of a group
// ended as it began to answer it.
type Suspect struct {
	_           struct{}    `cbor:",toarray"`
	Fingerprint Fingerprint `cbor:"fingerprint"`
	// AgeMillis is how long ago that was, in milliseconds.
	AgeMillis int64 `cbor:"age_ms"`
}

// Validate reports a suspect that can't hold. The error wraps ErrRecord.
func (s Suspect) Validate() error {
	if s.AgeMillis < 0 || s.AgeMillis > SuspectFor.Milliseconds() {
		return fmt.Errorf("%w: a suspect of %d ms ago, kept for %s", ErrRecord, s.AgeMillis, SuspectFor)
	}
	return nil
}

// Suspects are told in one message.
type Suspects []Suspect

// Validate reports suspects that are too many or that can't hold. The error wraps
// ErrRecord.
func (ss Suspects) Validate() error { return btwire.ValidateList(ss, MaxSuspects, ErrRecord) }

// suspects are since when requests are suspected.
type suspects map[Fingerprint]time.Time

// add notes a suspicion, and tells whether it is new: one that is known comes back with
// another age.
func (s suspects) add(f Fingerprint, at time.Time) bool {
	if known, found := s[f]; found && at.Sub(known) < sameEnd {
		return false
	}
	s[f] = at
	for _, oldest := range s.latestFirst()[min(len(s), MaxSuspects):] {
		delete(s, oldest)
	}
	return true
}

// expire drops suspicions that have lapsed.
func (s suspects) expire(now time.Time) {
	for f, at := range s {
		if now.Sub(at) > SuspectFor {
			delete(s, f)
		}
	}
}

// latestFirst lists the suspects, the latest first.
func (s suspects) latestFirst() []Fingerprint {
	list := make([]Fingerprint, 0, len(s))
	for f := range s {
		list = append(list, f)
	}
	slices.SortFunc(list, func(a, b Fingerprint) int { return cmp.Or(s[b].Compare(s[a]), slices.Compare(a[:], b[:])) })
	return list
}

// ExportSuspects returns the suspects, for another entry.
func (r *Register) ExportSuspects(now time.Time) Suspects {
	r.suspects.expire(now)
	var told Suspects
	for _, f := range r.suspects.latestFirst() {
		told = append(told, Suspect{Fingerprint: f, AgeMillis: age(now, r.suspects[f])})
	}
	return told
}

// MergeSuspects takes in what another entry tells. It returns the requests that are held
// from now on, and whether anything was new.
func (r *Register) MergeSuspects(now time.Time, told Suspects) (newly []Fingerprint, changed bool) {
	for _, s := range told {
		was := r.hold(now, s.Fingerprint)
		if !r.suspects.add(s.Fingerprint, before(now, s.AgeMillis)) {
			continue
		}
		changed = true
		if r.hold(now, s.Fingerprint) > was {
			newly = append(newly, s.Fingerprint)
		}
	}
	return newly, changed
}

// Suspected tells whether a request is held as a suspect only.
func (r *Register) Suspected(now time.Time, f Fingerprint) bool {
	return r.hold(now, f) == heldAsSuspect
}

// suspectedUntil returns until when a request is kept from targets as a suspect; zero where
// it isn't one, or was served since.
func (r *Register) suspectedUntil(f Fingerprint) time.Time {
	at, found := r.suspects[f]
	if !found || r.policy.SuspectTime == 0 {
		return time.Time{}
	}
	if c, known := r.records[f]; known && !c.served.Before(at) {
		return time.Time{}
	}
	return at.Add(r.policy.SuspectTime)
}
