package btdirect

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"bilberrytide/core/btcatalog"
	"bilberrytide/core/btinventory"
	"bilberrytide/core/btquarantine"
	"bilberrytide/core/btrequest"
	"bilberrytide/io/bttarget"
)

// attemptResult is how one attempt at one target ended.
type attemptResult struct {
	target btinventory.ID
	// done tells that the caller has its whole answer.
	done   bool
	reason btrequest.Reason
	// notRun tells that the target did not run the request, by its own word or
	// because nothing was sent.
	notRun bool
	// moved tells that the stream left a slow target; its place in the retry
	// budget is taken.
	moved bool
	// groupBroken tells that the whole group can't serve, so that another
	// member can't either.
	groupBroken bool
	status      int
	// held is a whole answer that is passed on unless another attempt follows.
	held   *heldAnswer
	detail error
	// began tells that the target had begun to answer, ended that its process was
	// gone when the answer broke off.
	began, ended bool
}

// heldAnswer is a target's whole answer, not yet passed on.
type heldAnswer struct {
	status int
	header http.Header
	body   []byte
}

// bufferBytes is how much of an answer is read before any of it is passed on,
// so that one that breaks off can be asked for again elsewhere.
const bufferBytes = 256 << 10

// attempt sends the request to one target and passes its answer on.
func (x *exchange) attempt(ctx context.Context, t *target) attemptResult {
	e := x.entry
	tokens := &promptTokens{fleet: e.fleet, target: t, count: x.call.PromptTokens}
	defer e.fleet.done(t)
	defer tokens.read()
	x.tried[t.info.Instance()] = true
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer e.quarantine.attempting(x, cancel)()
	moving := x.movable(t, cancel)
	defer moving.done()
	x.move = moving.move
	sent := e.options.Clock()
	answer, err := x.send(ctx, t)
	if err != nil {
		result := x.ended(ctx, t, moving.result(x.sendFailed(t, err)))
		if !x.gone() {
			e.judge(t, result)
		}
		return result
	}
	defer func() { _ = answer.Body.Close() }()
	result := moving.result(x.receive(ctx, cancel, t, answer, sent, tokens))
	result.target = t.info.ID
	result.status = answer.Status
	result.began = true
	result = x.ended(ctx, t, result)
	e.judge(t, result)
	return result
}

// ended adds whether the target's process was gone when the attempt broke off. One that
// was withdrawn broke off for that.
func (x *exchange) ended(ctx context.Context, t *target, result attemptResult) attemptResult {
	if x.withdrawn.Load() && !result.done {
		result.reason = ReasonQuarantined
		return result
	}
	// A connection to a caller that has left breaks off alike.
	if result.done || result.notRun || result.reason == ReasonCallerGone || !bttarget.BrokeOff(result.detail) {
		return result
	}
	ended, first := x.entry.endings.ended(ctx, t)
	if first {
		x.entry.endedLine(t)
	}
	if ended {
		x.entry.memberEnded(t)
	}
	if ended {
		x.entry.quarantine.Ended(x.fingerprint(), t.info.Instance().String(), x.progress(t, result), "account", x.account, "path", x.caller.RequestURI)
	}
	result.ended = ended
	return result
}

// progress is how far a target had come when it ended. A stream of which events came, from
// this target or another, is no longer beginning.
func (x *exchange) progress(t *target, result attemptResult) btquarantine.Progress {
	switch {
	case !result.began:
		return btquarantine.Sent
	case t.info.Member == nil || x.route.Kind != btcatalog.Stream || x.answering.Load():
		return btquarantine.Answering
	}
	return btquarantine.BegunWithoutOutput
}

// promptTokens counts a prompt at a target until it has been read there.
type promptTokens struct {
	fleet  *fleet
	target *target
	count  int
}

func (p *promptTokens) read() {
	if p.count > 0 {
		p.fleet.read(p.target, p.count)
		p.count = 0
	}
}

// send writes the request to the target and waits for the answer's head.
func (x *exchange) send(ctx context.Context, t *target) (*bttarget.Response, error) {
	header := x.caller.Header.Clone()
	forward := ForwardInfo{
		Account:   x.account,
		Target:    t.info.ID,
		Remaining: x.deadline.Sub(x.entry.options.Clock()),
		Priority:  x.priority,
	}
	if x.stream != nil {
		forward.LastEvent = x.stream.last()
	}
	x.entry.options.Headers.SetForward(header, forward)
	client := t.kept
	if !x.route.Repeatable() {
		client = t.fresh
	}
	return client.Do(ctx, bttarget.Request{
		Method: x.caller.Method,
		Host:   x.caller.Host,
		URI:    x.caller.RequestURI,
		Header: header,
		Body:   x.body,
	})
}

// sendFailed ends an attempt that got no answer's head.
func (x *exchange) sendFailed(t *target, err error) attemptResult {
	result := attemptResult{target: t.info.ID, reason: ReasonTargetLost, detail: err}
	if errors.Is(err, bttarget.ErrNotSent) || errors.Is(err, bttarget.ErrRequest) {
		result.reason = ReasonNotSent
		result.notRun = true
	} else {
		x.attempts++
		x.mayHaveRun = true
	}
	return result
}

// receive reads the answer to a request that was sent then and passes it on.
func (x *exchange) receive(ctx context.Context, cancel context.CancelFunc, t *target, answer *bttarget.Response, sent time.Time, tokens *promptTokens) attemptResult {
	said := x.entry.options.Headers.ParseAnswer(answer.Status, answer.Header)
	if said.ID != x.call.ID {
		x.attempts++
		x.mayHaveRun = true
		return attemptResult{reason: ReasonForeignAnswer}
	}
	if said.Misdirected {
		return attemptResult{reason: ReasonMisdirected, notRun: true}
	}
	x.entry.hearRate(x, t, sent, answer.Status, said.Rate)
	if said.NotRun {
		broken := answer.Status == http.StatusServiceUnavailable && said.AtFault != "" && t.info.Member != nil
		return attemptResult{reason: ReasonTargetRefused, notRun: true, groupBroken: broken}
	}
	x.attempts++
	x.mayHaveRun = true
	if said.Encoded {
		return attemptResult{reason: ReasonMalformedAnswer}
	}
	if success(answer.Status) && !said.FromTarget {
		return attemptResult{reason: ReasonMalformedAnswer}
	}
	if x.route.Kind == btcatalog.Stream && success(answer.Status) && isEvents(answer.Header) {
		return x.relayStream(ctx, cancel, t, answer, tokens)
	}
	return x.relayWhole(answer)
}

func success(status int) bool { return status >= 200 && status < 300 }

func isEvents(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}

// relayWhole reads an answer to its end before it is passed on; only what is
// larger than the buffer is passed on as it arrives.
func (x *exchange) relayWhole(answer *bttarget.Response) attemptResult {
	body, err := io.ReadAll(io.LimitReader(answer.Body, bufferBytes))
	if err != nil {
		return attemptResult{reason: ReasonAnswerCut, detail: err}
	}
	held := &heldAnswer{status: answer.Status, header: answer.Header, body: body}
	if len(body) == bufferBytes {
		return x.relayLong(answer, held)
	}
	if promisesNotRun(answer.Status) && !x.route.Repeatable() {
		// The status promises what the target has not said.
		return attemptResult{reason: ReasonTargetError}
	}
	if answer.Status >= http.StatusInternalServerError {
		return attemptResult{reason: ReasonTargetError, held: held}
	}
	x.relayHeld(held)
	return attemptResult{done: true}
}

// promisesNotRun tells whether callers take the status for a promise that the
// request was not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// relayHeld passes a whole answer on.
func (x *exchange) relayHeld(held *heldAnswer) {
	x.copyHeader(held.header)
	x.writer.WriteHeader(held.status)
	// The caller that left is the only error, and hears nothing more.
	_, _ = x.writer.Write(held.body)
}

// relayLong passes on an answer that is larger than the buffer.
func (x *exchange) relayLong(answer *bttarget.Response, held *heldAnswer) attemptResult {
	x.relayHeld(held)
	_, err := io.Copy(x.writer, answer.Body)
	if err != nil {
		x.entry.logFailure(x, ReasonAnswerCut, attemptResult{reason: ReasonAnswerCut, detail: err})
		x.abort()
	}
	return attemptResult{done: true}
}

// copyHeader sets the fields of a target's answer.
func (x *exchange) copyHeader(from http.Header) {
	h := x.writer.Header()
	closing := h.Get("Connection")
	for name, values := range from {
		h[name] = values
	}
	if closing != "" {
		h.Set("Connection", closing)
	}
}

// judge notes what an attempt tells of its target.
func (e *Entry) judge(t *target, result attemptResult) {
	switch {
	case result.done:
		e.succeeded(t, "answer")
	case result.groupBroken:
		if e.fleet.closed(t) {
			e.log.Warn("group broken", "service", t.info.Service, "target", t.info.ID, "evidence", result.reason, "status", result.status)
		}
	case result.reason == ReasonMisdirected:
		e.targetLine(t, result, e.fleet.misdirected(t))
	case result.reason == ReasonCallerGone, result.reason == ReasonTimeout, result.reason == ReasonQuarantined, result.moved:
	default:
		wait := e.fleet.failed(t)
		e.targetLine(t, result, wait)
	}
}

// memberEnded notes that a group has lost a member: the others stall until it is back, and
// whoever is sent there waits a second or more to hear it.
func (e *Entry) memberEnded(t *target) {
	if t.info.Member != nil && e.fleet.closed(t) {
		e.log.Warn("group broken", "service", t.info.Service, "target", t.info.ID, "evidence", "target ended")
	}
}

// succeeded notes that a target serves.
func (e *Entry) succeeded(t *target, evidence string) {
	if e.fleet.succeeded(t) {
		e.log.Info("group open", "service", t.info.Service, "target", t.info.ID, "evidence", evidence)
	}
}
