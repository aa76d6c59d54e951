package btentry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"

	"bilberrytide/core/btanswer"
	"bilberrytide/core/btbundle"
	"bilberrytide/core/btclaim"
	"bilberrytide/core/btid"
	"bilberrytide/core/btrequest"
	"bilberrytide/core/btretry"
	"bilberrytide/core/btserve"
	"bilberrytide/core/btwire"
	"bilberrytide/io/bthttp"
	"bilberrytide/io/btpeer"
	"bilberrytide/io/btprocess"
)

// attempt is how one attempt at one agent ended.
type attempt struct {
	// outcome is Done when the whole answer went out to the caller.
	outcome    btrequest.Outcome
	reason     btrequest.Reason
	retryAfter time.Duration
	// drained is when the agent expects to have started what waits with it.
	drained time.Duration
	// refused is the executor's word on a claim that it doesn't run.
	refused *btclaim.Refused
	// load is the agent's report, encoded.
	load cbor.RawMessage
	// atFault tells that the target or the way to it failed.
	atFault bool
	// status is the target's, where it answered.
	status int
	// tokens is how many events of an engine's stream came; zero where their
	// times say nothing of the target.
	tokens int
	// again is set where the retry of a target's own error was decided while its
	// answer could still be passed on.
	again *btretry.Decision
}

// order is what an attempt sends where.
type order struct {
	pick   pick
	grant  *btclaim.Grant
	resume uint64
	// again decides whether an error of the target's own is tried elsewhere; it
	// is passed on where that says no. Nil says no.
	again func(attempt) btretry.Decision
}

// sender carries attempts to agents and relays their answers.
type sender struct {
	entry *Entry
}

// send makes one attempt.
func (s *sender) send(ctx context.Context, x *exchange, o order) attempt {
	id := s.entry.nextID()
	x.attempts++
	x.target = o.pick.executor.Target
	endpoint, found := btprocess.AgentEndpoint(x.bundle.Index, o.pick.executor.Target)
	if !found {
		return attempt{outcome: btrequest.NotRun, reason: ReasonAgentUnreachable}
	}
	stream, err := s.entry.options.Node.Open(ctx, endpoint, btprocess.KindServe)
	if err != nil {
		return s.failed(ctx, x, err, ReasonAgentUnreachable)
	}
	defer stream.Close()
	message, err := s.message(x, id, o)
	if err != nil {
		return attempt{outcome: btrequest.NotRun, reason: ReasonAgentUnreachable}
	}
	if err := btpeer.Send(stream, message); err != nil {
		return s.failed(ctx, x, err, ReasonAgentLost)
	}
	head, err := btpeer.Receive[btserve.Head](stream)
	if err != nil {
		return s.failed(ctx, x, err, ReasonAgentLost)
	}
	if head.ID != id || head.Executor.Target != o.pick.executor.Target {
		s.entry.options.Meter.Refused(btanswer.ReasonForeignFrame)
		return attempt{outcome: btrequest.Unknown, reason: ReasonAgentLost, atFault: true}
	}
	return s.take(ctx, x, o, stream, head)
}

func (s *sender) message(x *exchange, id btid.Request, o order) (btserve.Request, error) {
	r := btserve.Request{
		ID:        id,
		First:     x.id,
		Service:   x.service.Name,
		Account:   x.account.Name,
		Weight:    x.account.Weight,
		Priority:  x.call.Priority,
		Remaining: remaining(s.entry.left(x.deadline)),
		Method:    x.call.Method,
		Path:      x.call.Path,
		Header:    btserve.HeaderFromHTTP(x.call.Header),
		Body:      x.call.Body,
		Stream:    x.call.Stream,
		Resume:    o.resume,
		Reserved:  x.reserved,
	}
	if o.grant == nil {
		return r, nil
	}
	data, err := btwire.Encode(*o.grant)
	r.Grant = data
	return r, err
}

const (
	// evidenceShare and evidenceWait bound the part of the time left that is
	// kept for the agent's word on a request whose deadline has passed: without
	// it a request that only waited would have to be told as unknown.
	evidenceShare = 8
	evidenceWait  = 200 * time.Millisecond
	// evidenceGrace is how long after the deadline that word is still waited for.
	// On a busy host it comes late, and a request that only waited would be told
	// as unknown; in all other cases it comes before the deadline.
	evidenceGrace = time.Second
)

// remaining returns the time that an agent has of the time left.
func remaining(left time.Duration) time.Duration {
	return left - min(max(left, 0)/evidenceShare, evidenceWait)
}

// take goes on from the agent's first word.
func (s *sender) take(ctx context.Context, x *exchange, o order, stream *btpeer.Stream, head btserve.Head) attempt {
	if head.Verdict == btserve.Refused {
		result := s.refused(head)
		x.drained = result.drained
		return result
	}
	result := attempt{load: head.Load, status: head.Status}
	header := head.Header.HTTP()
	if o.resume > 0 && !bthttp.IsEventStream(head.Status, header) {
		result.outcome = btrequest.Unknown
		result.reason = ReasonAnswerCut
		result.atFault = targetFailed(head.Status)
		return result
	}
	if targetFailed(head.Status) && s.elsewhere(o, &result) {
		return result
	}
	if head.Verdict == btserve.Replayed {
		x.writer.Header().Set(bthttp.HeaderReplayed, "true")
	}
	x.answer.Begin(head.Status, header)
	s.relay(ctx, x, o, stream, head.ID, &result)
	return result
}

// elsewhere tells whether a target's own error is tried elsewhere, and then
// makes it the attempt's end.
func (s *sender) elsewhere(o order, result *attempt) bool {
	if o.again == nil {
		return false
	}
	failed := *result
	failed.outcome = btrequest.Unknown
	failed.reason = ReasonTargetError
	failed.atFault = true
	again := o.again(failed)
	if !again.Retry {
		return false
	}
	failed.again = &again
	*result = failed
	return true
}

func (s *sender) refused(head btserve.Head) attempt {
	result := attempt{outcome: head.Outcome, reason: head.Reason, retryAfter: head.RetryAfter, drained: head.Drained, load: head.Load}
	if len(head.Sealed) == 0 {
		result.atFault = head.Reason == btserve.ReasonTargetUnreachable || head.Reason == btserve.ReasonTargetLost
		return result
	}
	refused, err := btwire.Decode[btclaim.Refused](head.Sealed)
	if err == nil {
		result.refused = &refused
	}
	return result
}

// relay passes the answer on, frame by frame, and sets how the attempt ended.
func (s *sender) relay(ctx context.Context, x *exchange, o order, stream *btpeer.Stream, id btid.Request, result *attempt) {
	assembler := btanswer.NewAssembler(id, s.entry.options.Assert)
	result.outcome = btrequest.Unknown
	pace := newPace(s.entry.options.Clock, x)
	defer func() { result.tokens = pace.tokens() }()
	first := true
	for {
		frame, err := btpeer.Receive[btanswer.Frame](stream)
		if err != nil {
			failed := s.failed(ctx, x, err, ReasonAnswerCut)
			result.reason = failed.reason
			result.atFault = failed.atFault
			return
		}
		piece, err := assembler.Add(frame)
		if piece.Dropped != "" && err == nil {
			// A frame that ends the attempt is counted as the attempt's end.
			s.entry.options.Meter.Refused(piece.Dropped)
		}
		if first && len(piece.Data) > 0 {
			first = false
			pace.begin()
			s.entry.fleet.started(o.pick)
			s.entry.reserve.served(x.service.Name)
			s.entry.options.Meter.Duration("first_byte_us", s.entry.options.Elapsed().Sub(x.received))
		}
		arrived := s.entry.options.Clock()
		ended := s.add(x, piece, err, result)
		pace.wrote(arrived)
		if ended {
			return
		}
	}
}

// add passes one piece on and tells whether the attempt has ended.
func (s *sender) add(x *exchange, piece btanswer.Piece, err error, result *attempt) bool {
	if len(piece.Data) > 0 {
		if err := x.answer.Add(piece.Data); err != nil {
			result.reason = ReasonCallerGone
			return true
		}
	}
	if err != nil {
		s.cut(x, result)
		return true
	}
	if !piece.Complete {
		return false
	}
	if unfinished(x, result.status) {
		s.cut(x, result)
		return true
	}
	if err := x.answer.Finish(); err != nil {
		result.reason = ReasonCallerGone
		return true
	}
	result.outcome = btrequest.Done
	result.atFault = targetFailed(result.status)
	return true
}

// cut ends an attempt whose answer broke off, as one does that an agent ends at
// its deadline.
func (s *sender) cut(x *exchange, result *attempt) {
	if s.entry.left(x.deadline) <= evidenceWait {
		result.reason = ReasonDeadline
		return
	}
	result.reason = ReasonAnswerCut
	result.atFault = true
}

// unfinished tells whether an engine's stream came to its end without its last
// event.
func unfinished(x *exchange, status int) bool {
	return x.call.ChatCompletion && x.answer.Streaming() && status < http.StatusMultipleChoices && !x.answer.StreamEnded()
}

// failed turns an error of the way to the agent into the attempt's end.
func (s *sender) failed(ctx context.Context, x *exchange, err error, reason btrequest.Reason) attempt {
	result := attempt{outcome: btrequest.Unknown, reason: reason, atFault: true}
	if btpeer.NotRun(err) {
		result.outcome = btrequest.NotRun
		result.reason = ReasonAgentUnreachable
	}
	switch {
	case x.caller.Context().Err() != nil:
		result.reason = ReasonCallerGone
		result.atFault = false
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		result.reason = ReasonDeadline
		result.atFault = false
	}
	return result
}

// targetFailed tells whether a status says that the target is in trouble, and
// not that the request is wrong.
func targetFailed(status int) bool {
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}

// resumable tells whether an engine can go on with the broken answer.
func resumable(x *exchange) bool {
	return x.service.Kind == btbundle.Model && x.answer.Resumable()
}
