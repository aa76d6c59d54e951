package btagent

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"bilberrytide/core/btclaim"
	"bilberrytide/core/btid"
	"bilberrytide/core/btquarantine"
	"bilberrytide/core/btqueue"
	"bilberrytide/core/btrequest"
	"bilberrytide/core/btserve"
	"bilberrytide/core/btwire"
	"bilberrytide/io/btpeer"
	"bilberrytide/io/bttarget"
)

// attempt is one attempt to serve a request at this agent.
type attempt struct {
	agent    *Agent
	stream   *btpeer.Stream
	request  btserve.Request
	deps     serveDeps
	deadline time.Time
	// grant is set for a request that may run only once.
	grant *btclaim.Grant
	// release releases the slot, once; it does nothing if there is none.
	release func()
	// freeAfter is what the queue's refusal says; see btqueue.Refuse.
	freeAfter time.Duration
}

// serve receives one attempt from an entry and answers it.
func (a *Agent) serve(ctx context.Context, from btpeer.Identity, s *btpeer.Stream) error {
	request, err := btpeer.Receive[btserve.Request](s)
	if err != nil {
		return err
	}
	if from.Role != btpeer.Entry || from.Name != string(request.ID.Entry) {
		return fmt.Errorf("request of entry %s from %s", request.ID.Entry, from)
	}
	v := &attempt{
		agent:    a,
		stream:   s,
		request:  request,
		deadline: a.options.Elapsed().Add(request.Remaining),
		release:  func() {},
	}
	a.stop.Began(request.ID, v.deadline)
	defer a.stop.Ended(request.ID)
	return v.serve(ctx)
}

func (v *attempt) serve(ctx context.Context) error {
	p, ready := v.agent.serveDeps()
	if !ready || p.service != v.request.Service {
		return v.refuse(btrequest.NotRun, ReasonWrongService, 0, nil)
	}
	v.deps = p
	if err := v.readGrant(); err != nil {
		return v.refuse(btrequest.Unknown, ReasonGrantMalformed, 0, nil)
	}
	if !v.agent.ready.Load() {
		return v.refuseAdmission(&btqueue.Refuse{ID: v.request.ID, Reason: ReasonWrongService})
	}
	refusal := p.admission.admit(ctx, v.arrival())
	if refusal != nil && refusal.Reason == ReasonRepeated {
		// The stream of the attempt in progress carries its outcome.
		return v.refuse(btrequest.Unknown, ReasonRepeated, 0, nil)
	}
	if refusal != nil {
		return v.refuseAdmission(refusal)
	}
	began := v.agent.options.Clock()
	v.release = sync.OnceFunc(func() { p.admission.finish(v.request.ID, v.agent.options.Clock().Sub(began)) })
	defer v.release()
	if v.grant != nil {
		return v.serveOnce(ctx)
	}
	return v.serveRepeatable(ctx)
}

func (v *attempt) readGrant() error {
	if len(v.request.Grant) == 0 {
		return nil
	}
	grant, err := btwire.Decode[btclaim.Grant](v.request.Grant)
	if err != nil {
		return fmt.Errorf("grant: %w", err)
	}
	if grant.Claim.Service != v.request.Service || grant.Claim.Account != v.request.Account {
		return fmt.Errorf("grant of %s for a request of %s", grant.Claim.Account, v.request.Account)
	}
	if grant.Content != v.request.ContentDigest() {
		return fmt.Errorf("grant is for other content")
	}
	v.grant = &grant
	return nil
}

func (v *attempt) arrival() btqueue.Arrived {
	return btqueue.Arrived{
		ID:       v.request.ID,
		Account:  v.request.Account,
		Weight:   v.request.Weight,
		Priority: v.request.Priority,
		Deadline: v.deadline,
		StartBy:  v.startBy(),
		Reserved: v.request.Reserved,
		Cost:     1,
	}
}

// startBy returns the time by which the request should start, the zero time if the
// service has no goal for its first token.
func (v *attempt) startBy() time.Time {
	if v.deps.firstToken == 0 {
		return time.Time{}
	}
	return v.agent.options.Elapsed().Add(v.deps.firstToken)
}

// refuseAdmission answers with a refusal of the queue. A grant is sealed first, so that
// the request may run elsewhere.
func (v *attempt) refuseAdmission(refusal *btqueue.Refuse) error {
	v.freeAfter = refusal.FreeAfter
	if v.grant == nil {
		return v.refuse(btrequest.NotRun, refusal.Reason, refusal.RetryAfter, nil)
	}
	reply := v.deps.ledger.handle(btclaim.SealRequested{Grant: *v.grant, Reason: refusal.Reason})
	refused, ok := reply.(btclaim.Refused)
	if !ok {
		return v.answerLedger(reply)
	}
	refused.RetryAfter = refusal.RetryAfter
	return v.refuseClaim(refused)
}

// remaining returns the time until the request's deadline. Timers are set by this
// duration: the deadline is a time of the Elapsed clock, whereas timers use the
// monotonic clock, which stops while the host is suspended.
func (v *attempt) remaining() time.Duration { return v.deadline.Sub(v.agent.options.Elapsed()) }

// serveRepeatable runs a request that may run more than once.
func (v *attempt) serveRepeatable(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, v.remaining())
	defer cancel()
	response, err := v.callTarget(ctx)
	var withheld *withheldError
	if errors.As(err, &withheld) {
		return v.refuse(btrequest.NotRun, withheld.reason, withheld.retryAfter, nil)
	}
	if errors.Is(err, bttarget.ErrNotSent) || errors.Is(err, bttarget.ErrRequest) {
		return v.refuse(btrequest.NotRun, ReasonTargetUnreachable, 0, nil)
	}
	if err != nil {
		v.detectCrash(ctx, err, btquarantine.Sent)
		return v.refuse(btrequest.Unknown, v.lostReason(ctx), 0, nil)
	}
	defer response.Body.Close()
	return v.relay(ctx, response, nil)
}

// callTarget sends the request to the target and handles the rate that the answer
// advertises. The error is a *withheldError if the target has asked for rest, or announced
// its departure, since the request got its slot.
func (v *attempt) callTarget(ctx context.Context) (*bttarget.Response, error) {
	if reason, after := v.agent.notices.refuses(); reason != "" {
		return nil, &withheldError{reason: reason, retryAfter: after}
	}
	sentAt := v.agent.options.Elapsed()
	response, err := v.deps.client.Do(ctx, v.targetRequest())
	if err == nil {
		v.agent.observeRate(v.deps.admission, sentAt, response.Rate)
	}
	return response, err
}

// serveOnce runs a request that may run only once, under its grant. The run continues
// if the entry disconnects, so that the answer is stored for a repeat.
func (v *attempt) serveOnce(ctx context.Context) error {
	reply := v.deps.ledger.handle(btclaim.RunRequested{Grant: *v.grant})
	if _, start := reply.(btclaim.Start); !start {
		return v.answerLedger(reply)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), v.remaining())
	defer cancel()
	response, err := v.callTarget(ctx)
	var withheld *withheldError
	if errors.As(err, &withheld) {
		return v.answerLedger(v.deps.ledger.handle(btclaim.RunNotSent{Grant: *v.grant, Reason: withheld.reason}))
	}
	if errors.Is(err, bttarget.ErrNotSent) || errors.Is(err, bttarget.ErrRequest) {
		return v.answerLedger(v.deps.ledger.handle(btclaim.RunNotSent{Grant: *v.grant, Reason: ReasonTargetUnreachable}))
	}
	if err != nil {
		v.detectCrash(ctx, err, btquarantine.Sent)
		v.recordLost()
		return v.refuse(btrequest.Unknown, v.lostReason(ctx), 0, nil)
	}
	defer response.Body.Close()
	return v.relay(ctx, response, &answerRecorder{memory: &v.agent.recordings, done: func(body []byte, dropped, complete bool) {
		if !complete {
			v.recordLost()
			return
		}
		v.deps.ledger.storeAnswer(v.grant.Claim, keptAnswer{
			status:  response.Status,
			header:  btserve.HeaderFromHTTP(response.Header),
			body:    body,
			dropped: dropped,
		})
	}})
}

// recordLost tells the ledger that a granted run ended without a complete answer.
func (v *attempt) recordLost() {
	v.deps.ledger.handle(btclaim.RunLost{Claim: v.grant.Claim})
}

// answerLedger answers with the ledger's reply to a claim that it doesn't start.
func (v *attempt) answerLedger(reply btclaim.LedgerEffect) error {
	switch e := reply.(type) {
	case btclaim.Replay:
		answer, found := v.deps.ledger.loadAnswer(e.Grant.Claim)
		if !found {
			return v.refuse(btrequest.Unknown, btclaim.AnswerDropped, 0, nil)
		}
		return v.replay(answer)
	case btclaim.InProgress:
		return v.refuse(btrequest.Unknown, btclaim.InProgressElsewhere, inProgressRetryAfter, nil)
	case btclaim.Refused:
		return v.refuseClaim(e)
	}
	return v.refuse(btrequest.Unknown, ReasonGrantMalformed, 0, nil)
}

// inProgressRetryAfter is when a caller should retry while its request is running.
const inProgressRetryAfter = time.Second

// queueWait returns how long the queue needs for the requests that wait in it now.
func (v *attempt) queueWait() time.Duration {
	if v.deps.admission == nil {
		return 0
	}
	return v.deps.admission.load().Wait
}

// refuseClaim sends the entry the ledger's refusal with its seal.
func (v *attempt) refuseClaim(refused btclaim.Refused) error {
	data, err := btwire.Encode(refused)
	if err != nil {
		return err
	}
	return v.refuse(btrequest.Unknown, refused.Reason, refused.RetryAfter, data)
}

// lostReason distinguishes a deadline that passed from a lost target.
func (v *attempt) lostReason(ctx context.Context) btrequest.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return ReasonDeadline
	}
	return ReasonTargetLost
}

// targetRequest returns the request to be sent to the target.
func (v *attempt) targetRequest() bttarget.Request {
	r := v.request
	if r.Resume > 0 {
		return bttarget.ResumeRequest(r.First, r.Resume)
	}
	header := r.Header.HTTP()
	header.Set(headerRequestID, r.First.String())
	return bttarget.Request{Method: r.Method, URI: r.Path, Header: header, Body: r.Body}
}

// headerRequestID identifies the stream at the engine, so that it can be resumed.
const headerRequestID = "X-Request-Id"

// refuse releases the slot and answers with a refusal in place of the target's answer.
func (v *attempt) refuse(outcome btrequest.Outcome, reason btrequest.Reason, retryAfter time.Duration, seal cbor.RawMessage) error {
	v.release()
	v.agent.countRefusal(reason)
	head := v.head(btserve.Refused)
	head.Outcome = outcome
	head.Reason = reason
	head.RetryAfter = retryAfter
	head.FreeAfter = v.freeAfter
	head.Drained = v.queueWait()
	head.Sealed = seal
	return btpeer.Send(v.stream, head)
}

// head returns the head of an answer, with the agent's current load.
func (v *attempt) head(verdict btserve.Verdict) btserve.Head {
	load, err := btwire.Encode(v.agent.report())
	if err != nil {
		// A report is plain numbers and always encodes.
		panic(err)
	}
	return btserve.Head{
		ID:       v.request.ID,
		Executor: btid.Executor(v.agent.self),
		Verdict:  verdict,
		Load:     load,
	}
}
