package btdirect

import (
	"context"
	"slices"
	"sync"
	"time"

	"bilberrytide/core/btpick"
	"bilberrytide/core/btstall"
)

const (
	// silencePauses is how long a stream's target may send nothing before the stream is
	// continued at another one, in multiples of the longest pause that the route
	// allows. It is at least minSilenceTimeout. Callers give up after two seconds.
	silencePauses     = 8
	minSilenceTimeout = 1200 * time.Millisecond
	// silenceRecheck is how often a stream that stays at its silent target is checked
	// again.
	silenceRecheck = 300 * time.Millisecond
)

// Names of the counters of streams whose target was silent for too long: those that were
// continued at another target, and the checks after which they stayed.
const (
	metricSilenceLeft   = "stream_silences.left"
	metricSilenceStayed = "stream_silences.stayed"
)

// silenceTimer cancels an attempt whose target sends nothing for too long, if the stream
// can be continued at another target.
type silenceTimer struct {
	limit time.Duration
	clock func() time.Time
	// leave reports whether to leave a target that has been silent since the given time.
	leave  func(since time.Time) bool
	cancel context.CancelFunc
	// successors asks for a target that continues the stream, before the attempt is
	// cancelled; nil if it is cancelled at once.
	successors *successors

	mu    sync.Mutex
	timer *time.Timer
	// closed reports that the attempt has ended.
	closed bool
	// running reports that the target's next bytes are awaited, since the given time.
	running bool
	since   time.Time
	left    bool
	// lastEvent is when the target last sent an event, or its header.
	lastEvent time.Time
	// due is when the timer expires next.
	due time.Time
	// lastEventID is the ID of the last event that was relayed.
	lastEventID string
	// withdraw is set while a successor is asked, and ends that.
	withdraw context.CancelFunc
	// successor continues the stream once the attempt is cancelled.
	successor *successor
}

// newSilenceTimer returns the running timer of an attempt at a stream.
func (x *exchange) newSilenceTimer(t *target, cancel context.CancelFunc) *silenceTimer {
	s := &silenceTimer{
		limit: max(silencePauses*x.route.MaxGap, minSilenceTimeout), clock: x.entry.options.Clock, cancel: cancel,
		successors: x.newSuccessors(), lastEventID: x.stream.lastEventID(),
	}
	s.leave = x.leavesSilent(t, s.successors)
	return s.start()
}

func (s *silenceTimer) start() *silenceTimer {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	s.running, s.since, s.lastEvent, s.due = true, now, now, now.Add(s.limit)
	s.timer = time.AfterFunc(s.limit, s.expire)
	return s
}

// expire leaves the target or checks again later.
func (s *silenceTimer) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.running || s.left || s.withdraw != nil {
		return
	}
	now := s.clock()
	if now.Sub(s.since) < s.limit {
		// The timer was reset after it had fired.
		return
	}
	if now.Sub(s.due) > silenceRecheck {
		// This host was suspended or starved: the relay hasn't read what has arrived.
		s.recheck(now)
		return
	}
	if !s.leave(s.since) {
		s.recheck(now)
		return
	}
	if s.successors == nil {
		s.left = true
		s.cancel()
		return
	}
	ctx, withdraw := context.WithCancel(s.successors.ctx)
	s.withdraw = withdraw
	go s.ask(ctx, s.lastEventID)
}

// ask asks for a successor and leaves the target if there is one and the target hasn't gone
// on meanwhile.
func (s *silenceTimer) ask(ctx context.Context, lastEvent string) {
	next := s.successors.ask(ctx, lastEvent)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.withdraw()
	s.withdraw = nil
	switch {
	case next == nil:
		s.successors.x.entry.meter.Counter(metricSuccessorsRefused).Inc(1)
		if s.running {
			s.recheck(s.clock())
		}
	case s.closed || s.lastEventID != lastEvent:
		next.discard()
	default:
		// The attempt at the successor counts it.
		s.successors.ran.Add(-1)
		s.successor = next
		s.left = true
		s.cancel()
	}
}

// takeSuccessor returns the successor, which the caller has to use or discard; nil without
// one.
func (s *silenceTimer) takeSuccessor() *successor {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.successor
	s.successor = nil
	return next
}

// recheck has the timer expire again. s.mu must be held.
func (s *silenceTimer) recheck(now time.Time) {
	s.due = now.Add(silenceRecheck)
	s.timer.Reset(silenceRecheck)
}

// resetAfter begins to wait for the target's next event after it has sent events, or only
// comments. Comments count for one more limit after the last event: a target that sends
// nothing else for longer may be in trouble.
func (s *silenceTimer) resetAfter(hasEvents bool, lastEventID string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	s.lastEventID = lastEventID
	if hasEvents {
		s.lastEvent = now
		if s.withdraw != nil {
			// The target goes on. After comments alone it may not.
			s.withdraw()
		}
	}
	s.running = true
	if now.Sub(s.lastEvent) <= s.limit {
		s.since, s.due = now, now.Add(s.limit)
	}
	s.timer.Reset(max(s.due.Sub(now), 0))
}

func (s *silenceTimer) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running = false
	s.timer.Stop()
}

// close stops the timer at the end of the attempt, and discards a successor that wasn't
// taken.
func (s *silenceTimer) close() {
	s.stop()
	s.mu.Lock()
	s.closed = true
	if s.withdraw != nil {
		s.withdraw()
	}
	s.mu.Unlock()
	s.takeSuccessor().discard()
}

// expired reports whether the attempt was cancelled.
func (s *silenceTimer) expired() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.left
}

// leavesSilent returns a function that decides whether the stream leaves its target, and
// takes the retry from the budget if it does. The function is called while the attempt waits
// for the target.
func (x *exchange) leavesSilent(t *target, others *successors) func(since time.Time) bool {
	e := x.entry
	attempts := x.route.Attempts - x.attempts
	if !x.route.Repeatable() {
		attempts = 0
	}
	r := pickRequest{service: x.service.Name, residency: x.residency, tried: others.tried}
	return func(since time.Time) bool {
		silence := btstall.Silence{Since: since, Now: e.options.Clock(), AttemptsLeft: attempts - int(others.ran.Load())}
		if !e.fleet.leaves(t, silence, r) || x.quarantineReason() != "" || !e.budget(x.service.Name).take(e.options.Clock()) {
			e.meter.Counter(metricSilenceStayed).Inc(1)
			return false
		}
		e.meter.Counter(metricSilenceLeft).Inc(1)
		return true
	}
}

// leaves reports whether a stream should leave its silent target for another one.
func (f *fleet) leaves(t *target, silence btstall.Silence, r pickRequest) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.service(r.service)
	silence.OtherStreams = s.streamsBeside(t)
	silence.Alternative = f.hasAlternative(s, r, true)
	return s.watch(t.groupName()).Leave(silence)
}

// offersAlternative is hasAlternative for callers that don't hold f.mu.
func (f *fleet) offersAlternative(r pickRequest) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hasAlternative(f.service(r.service), r, false)
}

// hasAlternative reports whether a request can be sent to a target that it hasn't tried and
// that is known neither as silent nor as failing nor as full. One of a group that is listed as
// broken counts only if it is asked first, as it may be open again. f.mu must be held.
func (f *fleet) hasAlternative(s *service, r pickRequest, asked bool) bool {
	now := f.clock()
	if open, _ := f.groupUsable(s, now); !open {
		return false
	}
	found := f.candidates(s, r, now)
	if found.preference >= btpick.Silent && !(asked && found.preference == btpick.Broken) {
		return false
	}
	return slices.ContainsFunc(found.best, func(t *target) bool { return t.info.Member != nil || t.requests < t.slots })
}

// streamsBeside returns the number of this entry's streams at the other members of a target's
// group; zero for a target that is in no group.
func (s *service) streamsBeside(t *target) int {
	if t.info.Member == nil {
		return 0
	}
	open := 0
	for _, o := range s.targets {
		if o != t && o.info.Member != nil && o.info.Member.Group == t.info.Member.Group {
			open += o.streams.open
		}
	}
	return open
}
