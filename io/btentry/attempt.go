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

// attemptResult is the outcome of one attempt at one agent.
type attemptResult struct {
	// outcome is Done if the complete answer was sent to the caller.
	outcome    btrequest.Outcome
	reason     btrequest.Reason
	retryAfter time.Duration
	// freeAfter is the time until the target's rate allows another request; zero if the agent
	// doesn't say.
	freeAfter time.Duration
	// queueDrain is how long the agent expects to take to start all requests in its
	// queue.
	queueDrain time.Duration
	// claimRefusal is the executor's reply to a claim that it does not run.
	claimRefusal *btclaim.Refused
	// load is the agent's encoded load report.
	load cbor.RawMessage
	// targetFault reports that the target, or the connection to it, failed.
	targetFault bool
	// streamLost reports that the engine no longer has the stream that was to be resumed.
	streamLost bool
	// status is the HTTP status of the target, if it answered.
	status int
	// outputTokens is the number of tokens that were streamed; zero if their timing says
	// nothing about the target.
	outputTokens int
	// retryDecision is set if the retry of a target's error was decided while its answer
	// could still be passed on.
	retryDecision *btretry.Decision
}

// attemptSpec is what an attempt sends, and to which target.
type attemptSpec struct {
	pick        pick
	grant       *btclaim.Grant
	resumeAfter uint64
	// decideRetry decides whether a target's error is retried elsewhere; if not, the
	// error is passed on. Nil means no retry.
	decideRetry func(attemptResult) btretry.Decision
}

// sender sends attempts to agents and relays their answers.
type sender struct {
	entry *Entry
}

// send makes one attempt.
func (s *sender) send(ctx context.Context, x *exchange, spec attemptSpec) attemptResult {
	id := s.entry.nextID()
	x.attempts++
	x.target = spec.pick.executor.Target
	endpoint, found := btprocess.AgentEndpoint(x.bundle.Index, spec.pick.executor.Target)
	if !found {
		return attemptResult{outcome: btrequest.NotRun, reason: ReasonAgentUnreachable}
	}
	stream, err := s.entry.options.Node.Open(ctx, endpoint, btprocess.KindServe)
	if err != nil {
		return s.connectionFailure(ctx, x, err, ReasonAgentUnreachable)
	}
	defer stream.Close()
	message, err := s.buildRequest(x, id, spec)
	if err != nil {
		return attemptResult{outcome: btrequest.NotRun, reason: ReasonAgentUnreachable}
	}
	if err := btpeer.Send(stream, message); err != nil {
		return s.connectionFailure(ctx, x, err, ReasonAgentLost)
	}
	head, err := btpeer.Receive[btserve.Head](stream)
	if err != nil {
		return s.connectionFailure(ctx, x, err, ReasonAgentLost)
	}
	if head.ID != id || head.Executor.Target != spec.pick.executor.Target {
		s.entry.options.Meter.Refused(btanswer.ReasonForeignFrame)
		return attemptResult{outcome: btrequest.Unknown, reason: ReasonAgentLost, targetFault: true}
	}
	return s.handleHead(ctx, x, spec, stream, head)
}

func (s *sender) buildRequest(x *exchange, id btid.Request, spec attemptSpec) (btserve.Request, error) {
	r := btserve.Request{
		ID:        id,
		First:     x.id,
		Service:   x.service.Name,
		Account:   x.account.Name,
		Weight:    x.account.Weight,
		Priority:  x.call.Priority,
		Remaining: agentTimeout(s.entry.timeLeft(x.deadline)),
		Method:    x.call.Method,
		Path:      x.call.Path,
		Header:    btserve.HeaderFromHTTP(x.call.Header),
		Body:      x.call.Body,
		Stream:    x.call.Stream,
		Resume:    spec.resumeAfter,
		Reserved:  x.reserved,
	}
	if spec.grant == nil {
		return r, nil
	}
	data, err := btwire.Encode(*spec.grant)
	r.Grant = data
	return r, err
}

const (
	// agentReplyShare and agentReplyMargin limit the part of the remaining time that is
	// reserved for the agent's reply about a request whose deadline has passed. Without
	// it a request that was only queued would have to be reported as unknown.
	agentReplyShare  = 8
	agentReplyMargin = 200 * time.Millisecond
	// agentReplyGrace is how long after the deadline that reply is still awaited. On a
	// busy host it is late, and a request that was only queued would be reported as
	// unknown; in all other cases it arrives before the deadline.
	agentReplyGrace = time.Second
)

// agentTimeout returns how much of the remaining time the agent has.
func agentTimeout(left time.Duration) time.Duration {
	return left - min(max(left, 0)/agentReplyShare, agentReplyMargin)
}

// handleHead handles the head of the agent's answer and then relays the body.
func (s *sender) handleHead(ctx context.Context, x *exchange, spec attemptSpec, stream *btpeer.Stream, head btserve.Head) attemptResult {
	if head.Verdict == btserve.Refused {
		result := s.refusalResult(head)
		x.queueDrain = result.queueDrain
		return result
	}
	result := attemptResult{load: head.Load, status: head.Status}
	header := head.Header.HTTP()
	if spec.resumeAfter > 0 && !bthttp.IsEventStream(head.Status, header) {
		result.outcome = btrequest.Unknown
		result.reason = ReasonAnswerCut
		result.targetFault = targetFailed(head.Status)
		result.streamLost = head.Status == http.StatusNotFound
		return result
	}
	if targetFailed(head.Status) && s.tryElsewhere(spec, &result) {
		return result
	}
	if head.Verdict == btserve.Replayed {
		x.writer.Header().Set(bthttp.HeaderReplayed, "true")
	}
	x.answer.Begin(head.Status, header)
	s.relay(ctx, x, spec, stream, head.ID, &result)
	return result
}

// tryElsewhere reports whether a target's error is retried elsewhere. If so, it sets the
// result of the attempt.
func (s *sender) tryElsewhere(spec attemptSpec, result *attemptResult) bool {
	if spec.decideRetry == nil {
		return false
	}
	retried := *result
	retried.outcome = btrequest.Unknown
	retried.reason = ReasonTargetError
	retried.targetFault = true
	decision := spec.decideRetry(retried)
	if !decision.Retry {
		return false
	}
	retried.retryDecision = &decision
	*result = retried
	return true
}

func (s *sender) refusalResult(head btserve.Head) attemptResult {
	result := attemptResult{outcome: head.Outcome, reason: head.Reason, retryAfter: head.RetryAfter, freeAfter: head.FreeAfter, queueDrain: head.Drained, load: head.Load}
	if len(head.Sealed) == 0 {
		result.targetFault = head.Reason == btserve.ReasonTargetUnreachable || head.Reason == btserve.ReasonTargetLost
		return result
	}
	refused, err := btwire.Decode[btclaim.Refused](head.Sealed)
	if err == nil {
		result.claimRefusal = &refused
	}
	return result
}

// relay passes the answer on frame by frame and sets the result of the attempt.
func (s *sender) relay(ctx context.Context, x *exchange, spec attemptSpec, stream *btpeer.Stream, id btid.Request, result *attemptResult) {
	assembler := btanswer.NewAssembler(id, s.entry.options.Assert)
	result.outcome = btrequest.Unknown
	tokens := newTokenCounter(s.entry.options.Clock, x)
	defer func() { result.outputTokens = tokens.count() }()
	first := true
	for {
		frame, err := btpeer.Receive[btanswer.Frame](stream)
		if err != nil {
			failure := s.connectionFailure(ctx, x, err, ReasonAnswerCut)
			result.reason = failure.reason
			result.targetFault = failure.targetFault
			return
		}
		piece, err := assembler.Add(frame)
		if piece.Dropped != "" && err == nil {
			// A frame that ends the attempt is counted with the attempt's reason.
			s.entry.options.Meter.Refused(piece.Dropped)
		}
		if first && len(piece.Data) > 0 {
			first = false
			tokens.markFirstByte()
			s.entry.fleet.recordFirstByte(spec.pick)
			s.entry.reserve.countAnswer(x.service.Name)
			s.entry.options.Meter.Duration("first_byte_us", s.entry.options.Elapsed().Sub(x.received))
		}
		arrived := s.entry.options.Clock()
		ended := s.addPiece(x, piece, err, result)
		tokens.addWriteSince(arrived)
		if ended {
			return
		}
	}
}

// addPiece passes one piece on and reports whether the attempt has ended.
func (s *sender) addPiece(x *exchange, piece btanswer.Piece, err error, result *attemptResult) bool {
	if len(piece.Data) > 0 {
		if err := x.answer.Add(piece.Data); err != nil {
			result.reason = ReasonCallerGone
			return true
		}
	}
	if err != nil {
		s.endInterrupted(x, result)
		return true
	}
	if !piece.Complete {
		return false
	}
	if streamEndMissing(x, result.status) {
		s.endInterrupted(x, result)
		return true
	}
	if err := x.answer.Finish(); err != nil {
		result.reason = ReasonCallerGone
		return true
	}
	result.outcome = btrequest.Done
	result.targetFault = targetFailed(result.status)
	return true
}

// endInterrupted sets the result of an attempt whose answer was interrupted. Near the
// deadline the reason is the deadline, since the agent ends the attempt at its own.
func (s *sender) endInterrupted(x *exchange, result *attemptResult) {
	if s.entry.timeLeft(x.deadline) <= agentReplyMargin {
		result.reason = ReasonDeadline
		return
	}
	result.reason = ReasonAnswerCut
	result.targetFault = true
}

// streamEndMissing reports whether an engine's stream ended without its last event.
func streamEndMissing(x *exchange, status int) bool {
	return x.call.ChatCompletion && x.answer.Streaming() && status < http.StatusMultipleChoices && !x.answer.StreamEnded()
}

// connectionFailure returns the result of an attempt whose connection to the agent
// failed.
func (s *sender) connectionFailure(ctx context.Context, x *exchange, err error, reason btrequest.Reason) attemptResult {
	result := attemptResult{outcome: btrequest.Unknown, reason: reason, targetFault: true}
	if btpeer.NotRun(err) {
		result.outcome = btrequest.NotRun
		result.reason = ReasonAgentUnreachable
	}
	switch {
	case x.caller.Context().Err() != nil:
		result.reason = ReasonCallerGone
		result.targetFault = false
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		result.reason = ReasonDeadline
		result.targetFault = false
	}
	return result
}

// targetFailed reports whether the status means that the target has failed, rather than
// that the request is invalid.
func targetFailed(status int) bool {
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}

// resumable reports whether an engine can continue the interrupted answer.
func resumable(x *exchange) bool {
	return x.service.Kind == btbundle.Model && x.answer.Resumable()
}
