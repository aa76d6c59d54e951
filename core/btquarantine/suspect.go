package btquarantine

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"bilberrytide/core/btwire"
)

const (
	// SuspectFor is how long a request is quarantined after a group member crashed
	// when it had just begun to answer it. It is longer than a group takes to
	// restart and to work through the requests that waited, so that a second crash
	// would not hit those too. An innocent request is refused for that long.
	SuspectFor = 30 * time.Second
	// MaxSuspects limits the suspects that are kept and sent, some 340 B: a target
	// begins to answer only one or two requests at a time.
	MaxSuspects = 16
)

// Progress is how far a target had come with a request when it crashed.
type Progress int

const (
	// Sent: the request was sent to the target; nothing else is known.
	Sent Progress = iota
	// Answering: the target had begun to answer.
	Answering
	// BegunWithoutOutput: the target, a group member, had begun to answer but had
	// produced no output. Few of the requests at a target are in this state, and a
	// request that crashes targets when it begins always is.
	BegunWithoutOutput
)

// Suspect is what processes exchange about a request at the beginning of which a
// group member crashed.
type Suspect struct {
	_           struct{}    `cbor:",toarray"`
	Fingerprint Fingerprint `cbor:"fingerprint"`
	// AgeMillis is how long ago the member crashed, in milliseconds.
	AgeMillis int64 `cbor:"age_ms"`
}

// Validate returns an error that wraps ErrRecord if the suspect is invalid.
func (s Suspect) Validate() error {
	if s.AgeMillis < 0 || s.AgeMillis > SuspectFor.Milliseconds() {
		return fmt.Errorf("%w: suspect of %d ms ago, at most %s", ErrRecord, s.AgeMillis, SuspectFor)
	}
	return nil
}

// Suspects are the suspects of one message.
type Suspects []Suspect

// Validate returns an error that wraps ErrRecord if there are too many suspects or
// one is invalid.
func (ss Suspects) Validate() error { return btwire.ValidateList(ss, MaxSuspects, ErrRecord) }

// suspects holds when each suspect became one.
type suspects map[Fingerprint]time.Time

// add adds a suspect and reports whether it is new. A known one may arrive again
// with another age.
func (s suspects) add(f Fingerprint, at time.Time) bool {
	if known, found := s[f]; found && at.Sub(known) < sameCrashWithin {
		return false
	}
	s[f] = at
	for _, oldest := range s.latestFirst()[min(len(s), MaxSuspects):] {
		delete(s, oldest)
	}
	return true
}

// expire removes suspects after SuspectFor.
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

// ExportSuspects returns the suspects for another entry.
func (r *Register) ExportSuspects(now time.Time) Suspects {
	r.suspects.expire(now)
	var exported Suspects
	for _, f := range r.suspects.latestFirst() {
		exported = append(exported, Suspect{Fingerprint: f, AgeMillis: age(now, r.suspects[f])})
	}
	return exported
}

// MergeSuspects merges the suspects of another entry. It returns the requests that
// are quarantined, or more strictly so, from now on, and whether any suspect was
// new.
func (r *Register) MergeSuspects(now time.Time, received Suspects) (newly []Fingerprint, changed bool) {
	for _, s := range received {
		levelBefore := r.level(now, s.Fingerprint)
		if !r.suspects.add(s.Fingerprint, timeBefore(now, s.AgeMillis)) {
			continue
		}
		changed = true
		if r.level(now, s.Fingerprint) > levelBefore {
			newly = append(newly, s.Fingerprint)
		}
	}
	return newly, changed
}

// Suspected reports whether a request is quarantined only as a suspect.
func (r *Register) Suspected(now time.Time, f Fingerprint) bool {
	return r.level(now, f) == quarantinedAsSuspect
}

// suspicionEnd returns when the quarantine of a suspect ends; zero if the request
// isn't a suspect or was served since.
func (r *Register) suspicionEnd(f Fingerprint) time.Time {
	at, found := r.suspects[f]
	if !found || r.policy.SuspectTime == 0 {
		return time.Time{}
	}
	if c, known := r.histories[f]; known && !c.served.Before(at) {
		return time.Time{}
	}
	return at.Add(r.policy.SuspectTime)
}
