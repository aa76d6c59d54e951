package btinventory

import (
	"slices"
	"time"
)

// ReadKind is a way to read the platform's list.
type ReadKind int

const (
	// ReadAll reads the whole list.
	ReadAll ReadKind = iota + 1
	// Watch waits for changes.
	Watch
	// Poll returns the changes so far without waiting.
	Poll
)

// Read is a read that was sent.
type Read struct {
	Kind   ReadKind
	SentAt time.Time
}

// SchedulePolicy has the intervals of a Schedule.
type SchedulePolicy struct {
	// Interval is the time from one successful read to the next, from start to start.
	Interval time.Duration
	// Wait is how long a watch waits for changes.
	Wait time.Duration
	// Late is how long after Wait a watch without a response counts as late.
	Late time.Duration
	// MaxInFlight limits the concurrent reads.
	MaxInFlight int
}

// KnownList describes the known copy of the platform's list.
type KnownList struct {
	// HasPosition reports whether its position is known, so that only changes need to be read.
	HasPosition bool
	// ReadAt is when it was read, by whichever process.
	ReadAt time.Time
}

// Schedule decides when an entry reads the platform's list and how. A poll follows a watch that
// failed or is late, which may have been interrupted or whose connection may be dead. It is not
// safe for concurrent use.
type Schedule struct {
	policy   SchedulePolicy
	inFlight []Read
	// lastSent is when the last read was sent, of whatever kind.
	lastSent time.Time
	// nextRead is when the read after a successful one is due.
	nextRead time.Time
	// failures counts the failed reads since the last successful one.
	failures int
	// atOnce means that the next read isn't delayed.
	atOnce bool
}

// NewSchedule returns a schedule whose first read is due at once.
func NewSchedule(p SchedulePolicy) *Schedule { return &Schedule{policy: p, atOnce: true} }

// Next returns the next read and when it is due; false if there is none before a read in
// flight ends. RetryDelay is the time between reads while they fail.
func (s *Schedule) Next(now time.Time, known KnownList, retryDelay time.Duration) (kind ReadKind, due time.Time, ok bool) {
	retry := s.lastSent.Add(retryDelay)
	if s.atOnce {
		retry = now
	}
	switch {
	case len(s.inFlight) >= s.policy.MaxInFlight:
		return 0, time.Time{}, false
	case !known.HasPosition:
		return ReadAll, retry, len(s.inFlight) == 0
	case s.failures > 0:
		return Poll, retry, true
	case len(s.inFlight) > 0:
		late := s.inFlight[0].SentAt.Add(s.policy.Wait + s.policy.Late)
		return Poll, latest(late, retry), true
	case now.Sub(known.ReadAt) > s.policy.Interval+s.policy.Wait:
		// A watch could wait until the list is older still.
		return Poll, s.nextRead, true
	}
	return Watch, s.nextRead, true
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Send records that a read is sent.
func (s *Schedule) Send(now time.Time, kind ReadKind) Read {
	r := Read{Kind: kind, SentAt: now}
	s.inFlight = append(s.inFlight, r)
	s.lastSent = now
	s.atOnce = false
	return r
}

// Succeeded records that a read has succeeded; the other ones in flight are to be cancelled.
// It returns when the last one of them was sent that the platform should have answered
// before; zero if there is none.
func (s *Schedule) Succeeded(r Read) (unanswered time.Time) {
	for _, o := range s.inFlight {
		if o.Kind != Watch && o.SentAt.Before(r.SentAt) {
			unanswered = o.SentAt
		}
	}
	s.inFlight = nil
	s.failures = 0
	s.atOnce = false
	s.nextRead = r.SentAt.Add(s.policy.Interval)
	return unanswered
}

// Failed records that a read has failed.
func (s *Schedule) Failed(r Read) {
	s.remove(r)
	s.failures++
	s.atOnce = r.Kind == Watch && len(s.inFlight) == 0
}

// HistoryGone records that the platform has answered that it no longer has the changes. The
// other reads in flight are to be cancelled; the whole list is to be read at once.
func (s *Schedule) HistoryGone() {
	s.inFlight = nil
	s.atOnce = true
}

// Failures returns the number of failed reads since the last successful one.
func (s *Schedule) Failures() int { return s.failures }

func (s *Schedule) remove(r Read) {
	if i := slices.Index(s.inFlight, r); i >= 0 {
		s.inFlight = slices.Delete(s.inFlight, i, i+1)
	}
}
