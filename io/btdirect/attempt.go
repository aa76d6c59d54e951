package btdirect

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"bilberrytide/core/btcatalog"
	"bilberrytide/core/btinventory"
	"bilberrytide/core/btquarantine"
	"bilberrytide/core/btrequest"
	"bilberrytide/io/btbound"
	"bilberrytide/io/bttarget"
)

// attemptResult is the outcome of one attempt at one target.
type attemptResult struct {
	target btinventory.ID
	// complete reports that the caller has the complete answer.
	complete bool
	reason   btrequest.Reason
	// notRun reports that the target did not run the request: it said so, or nothing
	// was sent.
	notRun bool
	// withheld reports that nothing was sent because the target had become excluded.
	withheld bool
	// rests reports that the target refused the request and asked for rest.
	rests bool
	// moved reports that the stream moved away from its target. The move has been taken
	// from the retry budget.
	moved bool
	// retryTaken reports that the next attempt has been taken from the retry budget.
	retryTaken bool
	// successor has begun to continue the stream; nil if the next attempt has to choose a
	// target.
	successor *successor
	// groupBroken reports that the whole group can't serve, so that its other members
	// need not be tried.
	groupBroken bool
	status      int
	// buffered is a complete answer that is relayed if there is no further attempt.
	buffered *bufferedAnswer
	err      error
	// began reports that the target had begun to answer, crashed that its process was
	// gone when the answer broke off.
	began, crashed bool
}

// bufferedAnswer is a target's complete answer, not yet relayed.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
}

// bufferBytes is how much of an answer is read before any of it is relayed. An answer
// that breaks off within it can be requested again from another target.
const bufferBytes = 256 << 10

// attempt sends the request to one target and relays the answer. A successor that has begun
// to answer is at that target.
func (x *exchange) attempt(ctx context.Context, t *target, begun *successor) attemptResult {
	e := x.entry
	tokens := &promptTokens{fleet: e.fleet, target: t, count: x.info.PromptTokens}
	if begun != nil {
		ctx, tokens = begun.ctx, begun.tokens
		defer begun.cancel()
	} else if result, withheld := x.withhold(t); withheld {
		return result
	}
	defer e.fleet.requestDone(t)
	defer tokens.markRead()
	x.tried[t.info.Instance()] = true
	x.open.attempt(t.info.ID)
	defer func() { x.open.attemptEnded(x.mayHaveRun) }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if begun != nil {
		cancel = begun.cancel
	}
	defer e.quarantine.trackAttempt(x, cancel)()
	moveState := x.startMove(t, cancel)
	defer moveState.remove()
	x.move = moveState.move
	sentAt := e.options.Clock()
	var answer *bttarget.Response
	var err error
	if begun != nil {
		answer, sentAt = begun.answer, begun.sentAt
	} else {
		answer, err = x.send(ctx, t)
	}
	if err != nil {
		result := x.detectCrash(ctx, t, moveState.result(x.sendFailed(t, err)))
		if !x.callerGone() {
			e.recordResult(t, result)
		}
		return result
	}
	defer func() { _ = answer.Body.Close() }()
	result := moveState.result(x.receive(ctx, cancel, t, answer, sentAt, tokens))
	result.target = t.info.ID
	result.status = answer.Status
	result.began = true
	result = x.detectCrash(ctx, t, result)
	e.recordResult(t, result)
	return result
}

// detectCrash adds to the result whether the target's process was gone when the attempt
// broke off. A withdrawn attempt was cancelled by this entry and says nothing about the
// target.
func (x *exchange) detectCrash(ctx context.Context, t *target, result attemptResult) attemptResult {
	if reason := x.withdrawnReason(); reason != "" && !result.complete {
		result.reason = reason
		return result
	}
	// A connection to a caller that has disconnected breaks off in the same way.
	if result.complete || result.notRun || callerLost(result.reason) || !bttarget.ClosedByTarget(result.err) {
		return result
	}
	crashed, first := x.entry.crashes.targetCrashed(ctx, t)
	if first {
		x.entry.logCrash(t)
	}
	if crashed {
		x.entry.memberCrashed(t)
		x.recordCrash(t, result)
	}
	result.crashed = crashed
	return result
}

// progress returns how far a target had come when it crashed. A stream of which any
// target has sent events is past its beginning.
func (x *exchange) progress(t *target, result attemptResult) btquarantine.Progress {
	switch {
	case !result.began:
		return btquarantine.Sent
	case t.info.Member == nil || x.route.Kind != btcatalog.Stream || x.partlySent.Load():
		return btquarantine.Answering
	}
	return btquarantine.BegunWithoutOutput
}

// promptTokens counts a request's prompt tokens as pending at a target until the target
// has read the prompt.
type promptTokens struct {
	fleet  *fleet
	target *target
	count  int
}

func (p *promptTokens) markRead() {
	if p.count > 0 {
		p.fleet.promptRead(p.target, p.count)
		p.count = 0
	}
}

// send sends the request to the target and waits for the header of the answer.
func (x *exchange) send(ctx context.Context, t *target) (*bttarget.Response, error) {
	lastEvent := ""
	if x.stream != nil {
		lastEvent = x.stream.lastEventID()
	}
	return x.sendFrom(ctx, t, lastEvent)
}

// sendFrom sends the request, to be answered after the event with that ID if there is one.
func (x *exchange) sendFrom(ctx context.Context, t *target, lastEvent string) (*bttarget.Response, error) {
	header := x.request.Header.Clone()
	forward := ForwardInfo{
		Account:   x.account,
		Target:    t.info.ID,
		Remaining: x.deadline.Sub(x.entry.options.Clock()),
		Priority:  x.priority,
		LastEvent: lastEvent,
	}
	x.entry.options.Headers.SetForward(header, forward)
	client := t.pooled
	if !x.route.Repeatable() {
		client = t.unpooled
	}
	if len(x.body) >= largeBodyBytes {
		client = t.large
	}
	return client.Do(btbound.WithMemory(ctx, answerMemory{x}), bttarget.Request{
		Method: x.request.Method,
		Host:   x.request.Host,
		URI:    x.request.RequestURI,
		Header: header,
		Body:   x.body,
	})
}

// sendFailed returns the result of an attempt that got no header.
func (x *exchange) sendFailed(t *target, err error) attemptResult {
	result := attemptResult{target: t.info.ID, reason: ReasonTargetLost, err: err}
	if errors.Is(err, bttarget.ErrNotSent) || errors.Is(err, bttarget.ErrRequest) {
		result.reason = ReasonNotSent
		result.notRun = true
	} else {
		x.attempts++
		x.mayHaveRun = true
		result.reason = lostReason(err)
	}
	return result
}

// receive reads and relays the answer to a request that was sent at sentAt.
func (x *exchange) receive(ctx context.Context, cancel context.CancelFunc, t *target, answer *bttarget.Response, sentAt time.Time, tokens *promptTokens) attemptResult {
	info := x.entry.options.Headers.ParseAnswer(answer.Status, answer.Header)
	if info.ID != x.info.ID {
		x.attempts++
		x.mayHaveRun = true
		return attemptResult{reason: ReasonForeignAnswer}
	}
	if info.Misdirected {
		return attemptResult{reason: ReasonMisdirected, notRun: true}
	}
	x.entry.observeRate(x, t, sentAt, answer.Status, info.Rate)
	x.entry.observeNotice(x, t, answer.Status, info.Notice)
	if info.NotRun {
		broken := answer.Status == http.StatusServiceUnavailable && info.AtFault != "" && t.info.Member != nil
		return attemptResult{reason: ReasonTargetRefused, notRun: true, groupBroken: broken, rests: info.Notice.Rest > 0}
	}
	x.entry.fleet.recordAccepted(t, sentAt)
	x.attempts++
	x.mayHaveRun = true
	if info.Encoded {
		return attemptResult{reason: ReasonMalformedAnswer}
	}
	if success(answer.Status) && !info.FromTarget {
		return attemptResult{reason: ReasonMalformedAnswer}
	}
	if x.route.Kind == btcatalog.Stream && success(answer.Status) && isEvents(answer.Header) {
		return x.relayStream(ctx, cancel, t, answer, tokens)
	}
	if x.streamStarted() {
		// It can't be appended to the events that the caller has.
		return attemptResult{reason: ReasonTargetError}
	}
	return x.relayWhole(cancel, t, answer)
}

func success(status int) bool { return status >= 200 && status < 300 }

func isEvents(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}

// relayWhole reads an answer to its end before relaying it. An answer larger than the
// buffer is relayed as it arrives.
func (x *exchange) relayWhole(cancel context.CancelFunc, t *target, answer *bttarget.Response) attemptResult {
	if promisesNotRun(answer.Status) && !x.route.Repeatable() {
		// Callers would take the status to mean that the request did not run, which the
		// target has not said.
		return attemptResult{reason: ReasonTargetError}
	}
	if !x.reserveAnswer(answer) {
		return x.relayLarge(t, answer, &bufferedAnswer{status: answer.Status, header: answer.Header})
	}
	unfinished := x.newBodyTimer(t, cancel)
	body, err := io.ReadAll(io.LimitReader(answer.Body, bufferBytes))
	unfinished.stop()
	if err == nil && len(body) < bufferBytes {
		err = x.checkEnd(t, answer)
	}
	if err != nil && unfinished.expired() {
		return attemptResult{reason: ReasonUnfinished, retryTaken: true, err: err}
	}
	if err != nil {
		return attemptResult{reason: ReasonAnswerCut, err: err}
	}
	buffered := &bufferedAnswer{status: answer.Status, header: answer.Header, body: body}
	if len(body) == bufferBytes {
		return x.relayLarge(t, answer, buffered)
	}
	if answer.Status >= http.StatusInternalServerError {
		return attemptResult{reason: ReasonTargetError, buffered: buffered}
	}
	if err := x.relayBuffered(buffered); err != nil {
		return writeFailed(err)
	}
	return attemptResult{complete: true}
}

// promisesNotRun reports whether callers take the status to mean that the request did
// not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// relayBuffered relays a buffered answer. The error is the caller's.
func (x *exchange) relayBuffered(buffered *bufferedAnswer) error {
	x.copyHeader(buffered.header)
	x.writer.WriteHeader(buffered.status)
	x.open.write("")
	_, err := newCallerWriter(x.writer).Write(buffered.body)
	x.open.written(x.entry.options.Clock())
	return err
}

// relayLarge relays an answer that is larger than the buffer.
func (x *exchange) relayLarge(t *target, answer *bttarget.Response, buffered *bufferedAnswer) attemptResult {
	if err := x.relayBuffered(buffered); err != nil {
		return writeFailed(err)
	}
	_, err := io.Copy(newCallerWriter(x.writer), answer.Body)
	if err == nil {
		err = x.checkEnd(t, answer)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return writeFailed(err)
	}
	if err != nil {
		x.entry.logFailure(x, ReasonAnswerCut, attemptResult{reason: ReasonAnswerCut, err: err})
		x.abort()
	}
	return attemptResult{complete: true}
}

// errEndedWithTarget means that an answer without length and chunks ended, and the target's
// process is gone. The connections of a process that crashes end in the same way as a whole
// answer.
var errEndedWithTarget = fmt.Errorf("the target's process is gone: %w", io.ErrUnexpectedEOF)

// checkEnd returns an error if an answer that ended with its connection may not be whole.
func (x *exchange) checkEnd(t *target, answer *bttarget.Response) error {
	// A check of another answer may be older than the crash.
	if answer.Delimited || !t.pooled.RefusesConnections(context.WithoutCancel(x.ctx)) {
		return nil
	}
	return errEndedWithTarget
}

// copyHeader copies the header of a target's answer, whose Connection field is the
// target's own.
func (x *exchange) copyHeader(header http.Header) {
	h := x.writer.Header()
	for name, values := range header {
		h[name] = values
	}
	x.entry.announceClose(h)
}

// recordResult updates the state of the target and its group from the result of an
// attempt.
func (e *Entry) recordResult(t *target, result attemptResult) {
	switch {
	case result.complete:
		e.recordSuccess(t, "answer")
	case result.groupBroken:
		if e.fleet.markBroken(t) {
			e.log.Warn("group broken", "service", t.info.Service, "target", t.info.ID, "evidence", result.reason, "status", result.status)
		}
	case result.reason == ReasonMisdirected:
		e.logTargetFailure(t, result, e.fleet.recordMisdirected(t))
	case callerLost(result.reason), result.reason == ReasonTimeout, isQuarantined(result.reason), result.moved:
	case result.reason == ReasonMemory, result.reason == ReasonStopTimeout:
	case result.withheld:
	case result.rests:
		// The rest that the target asked for takes the place of the entry's own guess.
	default:
		wait := e.fleet.recordFailure(t)
		e.logTargetFailure(t, result, wait)
	}
}

// memberCrashed marks the group of a crashed member as broken. The other members stall
// until it is back, and a request sent to them would wait a second or more for their
// refusal.
func (e *Entry) memberCrashed(t *target) {
	if t.info.Member != nil && e.fleet.markBroken(t) {
		e.log.Warn("group broken", "service", t.info.Service, "target", t.info.ID, "evidence", "target ended")
	}
}

// recordSuccess records that a target serves.
func (e *Entry) recordSuccess(t *target, evidence string) {
	if e.fleet.recordSuccess(t) {
		e.log.Info("group open", "service", t.info.Service, "target", t.info.ID, "evidence", evidence)
	}
}
