package btdirect

import (
	"cmp"
	"context"
	"slices"
	"sync/atomic"
	"time"

	"bilberrytide/core/btid"
	"bilberrytide/core/btinventory"
	"bilberrytide/core/btquiet"
	"bilberrytide/core/btrequest"
)

const (
	// slowPace is the relative step time from which on a member gets no new requests
	// while there are others: each step waits for the slowest member's own requests.
	slowPace = 1.5
	// slowShare is the part of a group that may be skipped as slow: with more of them
	// slow, the others could not carry the load.
	slowShare = 0.34
	// stalledAfter is how long a request's answer may take to begin at a member that is
	// unresponsive before it moves to another.
	stalledAfter = 300 * time.Millisecond
	// usualPace is the pace of a member that isn't slow.
	usualPace = 1
)

// move lets a stream leave a target that has turned slow, or is unresponsive.
type move struct {
	// permit takes the move from the service's retry budget.
	permit func() bool
	cancel context.CancelFunc
	// asked is why the stream was asked to move; nil before.
	asked atomic.Pointer[btrequest.Reason]
	// since is when the request was sent, begun tells that its answer has begun.
	since time.Time
	begun atomic.Bool
}

// ask has the stream move, if it may.
func (m *move) ask(reason btrequest.Reason) {
	if m.asked.Load() != nil || !m.permit() {
		return
	}
	if m.asked.CompareAndSwap(nil, &reason) {
		m.cancel()
	}
}

// movable notes that a stream at the target can go on elsewhere. The function
// that it returns takes the note back.
func (f *fleet) movable(t *target, m *move) (done func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t.moves[m] = struct{}{}
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(t.moves, m)
	}
}

// stalled lists the moves of a service's streams whose answers have not begun at members
// that are unresponsive. The lock is held.
func (f *fleet) stalled(s *service, now time.Time) []*move {
	var moves []*move
	for _, t := range s.targets {
		if !s.quiet(t, now) {
			continue
		}
		for m := range t.moves {
			if !m.begun.Load() && now.Sub(m.since) >= stalledAfter {
				moves = append(moves, m)
			}
		}
	}
	return moves
}

// moving is an attempt's move, if it may have one.
type moving struct {
	move *move
	done func()
}

// movable lets an attempt at a group's member move, where the request may be
// repeated and has another attempt.
func (x *exchange) movable(t *target, cancel context.CancelFunc) moving {
	if t.info.Member == nil || !x.route.Repeatable() || x.attempts+1 >= x.route.Attempts {
		return moving{done: func() {}}
	}
	e := x.entry
	b := e.budget(x.service.Name)
	m := &move{cancel: cancel, permit: func() bool { return b.take(e.options.Clock()) }, since: e.options.Clock()}
	return moving{move: m, done: e.fleet.movable(t, m)}
}

// result returns how the attempt ended, which is by its move if it was asked to.
func (m moving) result(r attemptResult) attemptResult {
	if m.move == nil || r.done || r.notRun || r.reason == ReasonCallerGone {
		return r
	}
	if reason := m.move.asked.Load(); reason != nil {
		r.moved = true
		r.reason = *reason
	}
	return r
}

// hear takes a lead's report on its group in, and has streams leave members that have
// turned slow or are unresponsive. It tells whether the group was broken until now.
func (f *fleet) applyLoadReport(l LoadReport) (opened bool) {
	f.mu.Lock()
	now := f.clock()
	paces := make(map[int]float64, len(l.Paces))
	for _, r := range l.Paces {
		paces[r.Rank] = float64(r.Pace)
	}
	s := f.service(l.Service)
	for _, t := range s.targets {
		m := t.info.Member
		if m == nil || m.Group != l.Group || m.Rank >= len(l.Requests) || l.Requests[m.Rank] == LoadUnknown {
			continue
		}
		t.reported = int(l.Requests[m.Rank])
		t.own = t.requests
		t.reportedAt = now
		t.pace = max(paces[m.Rank], usualPace)
	}
	opened = s.heard(l)
	s.markUnresponsive(l, now)
	slowest := f.markSlow(l.Service)
	stalled := f.stalled(s, now)
	f.mu.Unlock()
	for _, m := range stalled {
		m.ask(ReasonUnresponsive)
	}
	for _, m := range slowest {
		m.ask(ReasonTargetSlow)
	}
	return opened
}

// markUnresponsive notes the members whose agents don't answer the lead while most others
// do.
func (s *service) markUnresponsive(l LoadReport, now time.Time) {
	known := make([]bool, len(l.Requests))
	for rank, requests := range l.Requests {
		known[rank] = requests != LoadUnknown
	}
	unresponsive := btquiet.Unreported(known)
	for _, t := range s.targets {
		m := t.info.Member
		if m == nil || m.Group != l.Group {
			continue
		}
		t.unresponsiveAt = time.Time{}
		if slices.Contains(unresponsive, m.Rank) {
			t.unresponsiveAt = now
		}
	}
}

// heard notes a group's epoch, and that the group is open where its lead says so of
// another epoch than that in which it was found broken. An entry that waits for its
// own probe learns it a quarter of a second and a first event later.
func (s *service) heard(l LoadReport) bool {
	s.epochs[l.Group] = l.Epoch
	s.seenOpen[l.Group] = s.seenOpen[l.Group] || l.Open
	g, broken := s.broken[l.Group]
	if !l.Open || !broken || g.epoch == l.Epoch {
		return false
	}
	return s.open(l.Group)
}

// markSlow marks the slowest members of a service's group and lists the streams
// that they have. The lock is held.
func (f *fleet) markSlow(name btid.Service) []*move {
	targets := slices.Clone(f.service(name).targets)
	slices.SortFunc(targets, func(a, b *target) int { return cmp.Compare(b.pace, a.pace) })
	most := int(slowShare * float64(len(targets)))
	var moves []*move
	for i, t := range targets {
		t.slow = i < most && t.pace >= slowPace
		if !t.slow {
			continue
		}
		for m := range t.moves {
			moves = append(moves, m)
		}
	}
	return moves
}

// heardShare is the part of a service's targets whose load must be known for the
// load of all to be told from it.
const heardShare = 0.5

// total returns how many requests of all entries the service's targets have, where
// that is known; a target of which nothing was heard counts as the mean of the
// others.
func (f *fleet) total(name btid.Service) (total int, known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock()
	ready, heard, sum := 0, 0, 0
	for _, t := range f.service(name).targets {
		if t.state != btinventory.Ready {
			continue
		}
		ready++
		if t.heardOf(now) {
			heard++
			sum += t.reported
		}
	}
	if heard == 0 || float64(heard) < heardShare*float64(ready) {
		return 0, false
	}
	return sum * ready / heard, true
}
