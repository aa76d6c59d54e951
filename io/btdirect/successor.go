package btdirect

import (
	"context"
	"errors"
	"maps"
	"sync/atomic"
	"time"

	"bilberrytide/core/btinventory"
	"bilberrytide/core/btrequest"
	"bilberrytide/io/btbound"
	"bilberrytide/io/bttarget"
)

// metricSuccessorsRefused counts targets that were asked to continue a silent stream and did
// not, so that it stayed.
const metricSuccessorsRefused = "stream_silences.successor_refused"

// successor is a target that has begun to continue a stream while the stream's own target is
// still connected.
type successor struct {
	target *target
	answer *bttarget.Response
	sentAt time.Time
	ctx    context.Context
	cancel context.CancelFunc
	tokens *promptTokens
	fleet  *fleet
}

// discard ends a successor that isn't used; s may be nil.
func (s *successor) discard() {
	if s == nil {
		return
	}
	s.cancel()
	// The exchange was cancelled, so the error says nothing.
	_ = s.answer.Body.Close()
	s.tokens.markRead()
	s.fleet.requestDone(s.target)
}

// successors asks other targets to continue a stream. It is used by one goroutine at a time
// while the relay waits for the stream's target, and so reads only what doesn't change then.
type successors struct {
	x *exchange
	// ctx ends with the request.
	ctx   context.Context
	tried map[btinventory.Instance]bool
	// ran counts the targets that were sent the request, but for those that refused it and the
	// one that continues the stream.
	ran atomic.Int64
}

func (x *exchange) newSuccessors() *successors {
	return &successors{x: x, ctx: x.ctx, tried: maps.Clone(x.tried)}
}

// ask sends the request to another target, to be continued after the last event. It returns
// nil if none accepts it, or ctx ends before the head of the answer has arrived.
func (s *successors) ask(ctx context.Context, lastEvent string) *successor {
	x, e := s.x, s.x.entry
	c := e.fleet.pick(pickRequest{service: x.service.Name, residency: x.residency, tokens: x.info.PromptTokens, tried: s.tried})
	if c.target == nil {
		return nil
	}
	t := c.target
	if c.wait > 0 {
		e.fleet.unassign(t, x.info.PromptTokens)
		return nil
	}
	s.tried[t.info.Instance()] = true
	own, cancel := context.WithCancel(s.ctx)
	stop := context.AfterFunc(ctx, cancel)
	next := &successor{target: t, sentAt: e.options.Clock(), ctx: own, cancel: cancel, fleet: e.fleet,
		tokens: &promptTokens{fleet: e.fleet, target: t, count: x.info.PromptTokens}}
	s.ran.Add(1)
	answer, err := x.sendFrom(own, t, lastEvent)
	withdrawn := !stop()
	if err != nil {
		cancel()
		next.tokens.markRead()
		e.fleet.requestDone(t)
		if !withdrawn {
			result := x.detectCrash(s.ctx, t, attemptResult{target: t.info.ID, reason: lostReason(err), err: err})
			e.recordResult(t, result)
		}
		return nil
	}
	next.answer = answer
	if withdrawn {
		next.discard()
		return nil
	}
	if result, accepted := s.accepted(next); !accepted {
		next.discard()
		e.recordResult(t, result)
		return nil
	}
	return next
}

// accepted reports whether the answer's head begins the rest of the stream. Otherwise it
// returns the result of the attempt.
func (s *successors) accepted(n *successor) (attemptResult, bool) {
	e := s.x.entry
	info := e.options.Headers.ParseAnswer(n.answer.Status, n.answer.Header)
	result := attemptResult{target: n.target.info.ID, status: n.answer.Status, began: true}
	switch {
	case info.ID != s.x.info.ID:
		result.reason = ReasonForeignAnswer
	case info.Misdirected:
		result.reason, result.notRun = ReasonMisdirected, true
	case info.NotRun:
		e.observeRate(s.x, n.target, n.sentAt, n.answer.Status, info.Rate)
		e.observeNotice(s.x, n.target, n.answer.Status, info.Notice)
		result.reason, result.notRun = ReasonTargetRefused, true
		result.rests = info.Notice.Rest > 0
	case info.Encoded || !info.FromTarget || !success(n.answer.Status) || !isEvents(n.answer.Header):
		result.reason = ReasonTargetError
	default:
		return attemptResult{}, true
	}
	if result.notRun {
		s.ran.Add(-1)
	}
	return result, false
}

// lostReason returns the reason of an attempt that was sent and got no header.
func lostReason(err error) btrequest.Reason {
	switch {
	case btbound.Refused(err):
		return ReasonMalformedAnswer
	case errors.Is(err, btbound.ErrMemory):
		return ReasonMemory
	}
	return ReasonTargetLost
}
