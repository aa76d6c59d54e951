package btdirect

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"bilberrytide/core/btid"
	"bilberrytide/core/btrequest"
	"bilberrytide/core/btstall"
)

const (
	// slowPace is the pace from which a member gets no new requests while there are
	// others: each step of the group waits for the slowest member's own work.
	slowPace = 1.5
	// maxSlowFraction is the largest part of a group that is skipped as slow. If more
	// were, the others could not carry the load.
	maxSlowFraction = 0.34
	// unresponsiveTimeout is how long a request waits for its answer to begin at an
	// unresponsive member before it moves to another one.
	unresponsiveTimeout = 300 * time.Millisecond
	// normalPace is the pace of a member that isn't slow.
	normalPace = 1
)

// move lets an attempt move away from a target that has become slow or unresponsive.
type move struct {
	// takeRetry takes the move from the service's retry budget, if another target accepts
	// the request.
	takeRetry func() bool
	cancel    context.CancelFunc
	// reason is why the move was requested; nil before.
	reason atomic.Pointer[btrequest.Reason]
	// sentAt is when the request was sent. answerBegun reports that its answer has
	// begun.
	sentAt      time.Time
	answerBegun atomic.Bool
}

// request makes the attempt move, if another target and the retry budget allow it.
func (m *move) request(reason btrequest.Reason) {
	if m.reason.Load() != nil || !m.takeRetry() {
		return
	}
	if m.reason.CompareAndSwap(nil, &reason) {
		m.cancel()
	}
}

// addMove registers an attempt at the target that can move to another one. The returned
// function removes it.
func (f *fleet) addMove(t *target, m *move) (remove func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t.moves[m] = struct{}{}
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(t.moves, m)
	}
}

// stalledMoves returns the attempts at unresponsive or stalled members of a service
// whose answers should have begun. f.mu must be held.
func (f *fleet) stalledMoves(s *service, now time.Time) []*move {
	var moves []*move
	for _, t := range s.targets {
		if !s.stalled(t, now) {
			continue
		}
		for m := range t.moves {
			if !m.answerBegun.Load() && now.Sub(m.sentAt) >= unresponsiveTimeout {
				moves = append(moves, m)
			}
		}
	}
	return moves
}

// attemptMove is the move of an attempt; move is nil if the attempt must not move.
type attemptMove struct {
	move   *move
	remove func()
}

// startMove lets an attempt at a group member move, if the request may be repeated and
// has another attempt left.
func (x *exchange) startMove(t *target, cancel context.CancelFunc) attemptMove {
	if t.info.Member == nil || !x.route.Repeatable() || x.attempts+1 >= x.route.Attempts {
		return attemptMove{remove: func() {}}
	}
	e := x.entry
	b := e.budget(x.service.Name)
	r := pickRequest{service: x.service.Name, residency: x.residency, tried: maps.Clone(x.tried)}
	m := &move{cancel: cancel, sentAt: e.options.Clock()}
	m.takeRetry = func() bool { return e.fleet.offersAlternative(r) && b.take(e.options.Clock()) }
	return attemptMove{move: m, remove: e.fleet.addMove(t, m)}
}

// result returns the attempt's result, changed to a move if one was requested.
func (m attemptMove) result(r attemptResult) attemptResult {
	if m.move == nil || r.complete || r.notRun || callerLost(r.reason) {
		return r
	}
	if reason := m.move.reason.Load(); reason != nil {
		r.moved = true
		r.reason = *reason
	}
	return r
}

// applyLoadReport applies a lead's report on its group, and moves streams away from
// members that have become slow or unresponsive. It reports whether the group was
// broken until now.
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
		t.reportedRequests = int(l.Requests[m.Rank])
		t.ownAtReport = t.requests
		t.reportedAt = now
		t.pace = max(paces[m.Rank], normalPace)
	}
	opened = s.recordLoad(l)
	s.markUnresponsive(l, now)
	slowest := f.markSlow(l.Service)
	stalled := f.stalledMoves(s, now)
	f.mu.Unlock()
	for _, m := range stalled {
		m.request(ReasonUnresponsive)
	}
	for _, m := range slowest {
		m.request(ReasonTargetSlow)
	}
	return opened
}

// markUnresponsive marks the members whose agents don't answer the lead while most
// others do.
func (s *service) markUnresponsive(l LoadReport, now time.Time) {
	known := make([]bool, len(l.Requests))
	for rank, requests := range l.Requests {
		known[rank] = requests != LoadUnknown
	}
	unresponsive := btstall.Unreported(known)
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

// recordLoad records a group's epoch. A broken group is marked open if its lead says so
// in another epoch than the one in which it was found broken. An entry that only relied
// on its own probe would learn this a quarter of a second and a first event later.
func (s *service) recordLoad(l LoadReport) bool {
	s.epochs[l.Group] = l.Epoch
	s.observedGroups[l.Group] = s.observedGroups[l.Group] || l.Open
	g, broken := s.broken[l.Group]
	if !l.Open || !broken || g.epoch == l.Epoch {
		return false
	}
	return s.markOpen(l.Group)
}

// markSlow marks the slowest members of a service's group, and returns the attempts at
// them that can move. f.mu must be held.
func (f *fleet) markSlow(name btid.Service) []*move {
	targets := slices.Clone(f.service(name).targets)
	slices.SortFunc(targets, func(a, b *target) int { return cmp.Compare(b.pace, a.pace) })
	maxSlow := int(maxSlowFraction * float64(len(targets)))
	var moves []*move
	for i, t := range targets {
		t.slow = i < maxSlow && t.pace >= slowPace
		if !t.slow {
			continue
		}
		for m := range t.moves {
			moves = append(moves, m)
		}
	}
	return moves
}

// minReportedFraction is the smallest part of a service's targets with a recent load
// report from which the total load is estimated.
const minReportedFraction = 0.5

// totalRequests estimates the number of requests of all entries at the service's
// targets. A target without a recent report counts as the mean of the others. known is
// false if there are too few reports.
func (f *fleet) totalRequests(name btid.Service) (total int, enough bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock()
	ready, reported, sum := 0, 0, 0
	for _, t := range f.service(name).targets {
		if !t.inUse() {
			continue
		}
		ready++
		if t.loadFresh(now) {
			reported++
			sum += t.reportedRequests
		}
	}
	if reported == 0 || float64(reported) < minReportedFraction*float64(ready) {
		return 0, false
	}
	return sum * ready / reported, true
}
