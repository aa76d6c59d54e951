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

// serving is one attempt of a request at this agent.
type serving struct {
	agent    *Agent
	stream   *btpeer.Stream
	request  btserve.Request
	place    place
	deadline time.Time
	// grant is set for a request that may run only once.
	grant *btclaim.Grant
	// release gives the slot back, once; it does nothing where none was got.
	release func()
}

// serve takes one attempt from an entry and answers it.
func (a *Agent) serve(ctx context.Context, from btpeer.Identity, s *btpeer.Stream) error {
	request, err := btpeer.Receive[btserve.Request](s)
	if err != nil {
		return err
	}
	if from.Role != btpeer.Entry || from.Name != string(request.ID.Entry) {
		return fmt.Errorf("request of entry %s from %s", request.ID.Entry, from)
	}
	v := &serving{
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

func (v *serving) serve(ctx context.Context) error {
	p, ready := v.agent.place()
	if !ready || p.service != v.request.Service {
		return v.refuse(btrequest.NotRun, ReasonWrongService, 0, nil)
	}
	v.place = p
	if err := v.readGrant(); err != nil {
		return v.refuse(btrequest.Unknown, ReasonGrantMalformed, 0, nil)
	}
	if !v.agent.ready.Load() {
		return v.turnAway(&btqueue.Refuse{ID: v.request.ID, Reason: ReasonWrongService})
	}
	refusal := p.admission.admit(ctx, v.arrived())
	if refusal != nil && refusal.Reason == ReasonRepeated {
		// The first stream of this identity tells what becomes of it.
		return v.refuse(btrequest.Unknown, ReasonRepeated, 0, nil)
	}
	if refusal != nil {
		return v.turnAway(refusal)
	}
	began := v.agent.options.Clock()
	v.release = sync.OnceFunc(func() { p.admission.finish(v.request.ID, v.agent.options.Clock().Sub(began)) })
	defer v.release()
	if v.grant != nil {
		return v.serveOnce(ctx)
	}
	return v.serveAny(ctx)
}

func (v *serving) readGrant() error {
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
	if grant.Content != v.request.Content() {
		return fmt.Errorf("grant of other content")
	}
	v.grant = &grant
	return nil
}

func (v *serving) arrived() btqueue.Arrived {
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

// startBy returns the goal for the start, the zero time where there is none.
func (v *serving) startBy() time.Time {
	if v.place.firstToken == 0 {
		return time.Time{}
	}
	return v.agent.options.Elapsed().Add(v.place.firstToken)
}

// turnAway answers a refusal of the queue. A granted request is sealed first,
// so that it may run elsewhere.
func (v *serving) turnAway(refusal *btqueue.Refuse) error {
	if v.grant == nil {
		return v.refuse(btrequest.NotRun, refusal.Reason, refusal.RetryAfter, nil)
	}
	word := v.place.ledger.ask(btclaim.SealRequested{Grant: *v.grant, Reason: refusal.Reason})
	refused, ok := word.(btclaim.Refused)
	if !ok {
		return v.answerWord(word)
	}
	refused.RetryAfter = refusal.RetryAfter
	return v.refuseClaim(refused)
}

// left returns the time that the request has. Timers go by the steady clock, which
// stands still while the host is suspended.
func (v *serving) left() time.Duration { return v.deadline.Sub(v.agent.options.Elapsed()) }

// serveAny runs a request that may be repeated.
func (v *serving) serveAny(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, v.left())
	defer cancel()
	response, err := v.toldTarget(ctx)
	if errors.Is(err, bttarget.ErrNotSent) || errors.Is(err, bttarget.ErrRequest) {
		return v.refuse(btrequest.NotRun, ReasonTargetUnreachable, 0, nil)
	}
	if err != nil {
		v.broke(ctx, err, btquarantine.Sent)
		return v.refuse(btrequest.Unknown, v.lostReason(ctx), 0, nil)
	}
	defer response.Body.Close()
	return v.relay(ctx, response, nil)
}

// toldTarget gives the target the request, and hears how many it takes.
func (v *serving) toldTarget(ctx context.Context) (*bttarget.Response, error) {
	sent := v.agent.options.Elapsed()
	response, err := v.place.client.Do(ctx, v.toTarget())
	if err == nil {
		v.agent.hearRate(v.place.admission, sent, response.Rate)
	}
	return response, err
}

// serveOnce runs a request that may run only once, under its grant. The run
// goes on when the entry goes away, so that its answer is there for a repeat.
func (v *serving) serveOnce(ctx context.Context) error {
	word := v.place.ledger.ask(btclaim.RunRequested{Grant: *v.grant})
	if _, start := word.(btclaim.Start); !start {
		return v.answerWord(word)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), v.left())
	defer cancel()
	response, err := v.toldTarget(ctx)
	if errors.Is(err, bttarget.ErrNotSent) || errors.Is(err, bttarget.ErrRequest) {
		return v.answerWord(v.place.ledger.ask(btclaim.RunNotSent{Grant: *v.grant, Reason: ReasonTargetUnreachable}))
	}
	if err != nil {
		v.broke(ctx, err, btquarantine.Sent)
		v.lost()
		return v.refuse(btrequest.Unknown, v.lostReason(ctx), 0, nil)
	}
	defer response.Body.Close()
	return v.relay(ctx, response, &keeper{limit: keptAnswerBytes, ended: func(body []byte, whole bool) {
		if !whole {
			v.lost()
			return
		}
		v.place.ledger.keep(v.grant.Claim, answer{
			status: response.Status,
			header: btserve.HeaderOf(response.Header),
			body:   body,
		})
	}})
}

// lost tells the ledger that the answer of a granted run will not come.
func (v *serving) lost() {
	v.place.ledger.ask(btclaim.RunLost{Claim: v.grant.Claim})
}

// answerWord answers a claim that the ledger does not start.
func (v *serving) answerWord(word btclaim.LedgerEffect) error {
	switch e := word.(type) {
	case btclaim.Replay:
		saved, found := v.place.ledger.saved(e.Grant.Claim)
		if !found {
			return v.refuse(btrequest.Unknown, btclaim.AnswerDropped, 0, nil)
		}
		return v.replay(saved)
	case btclaim.InProgress:
		return v.refuse(btrequest.Unknown, btclaim.InProgressElsewhere, inProgressWait, nil)
	case btclaim.Refused:
		return v.refuseClaim(e)
	}
	return v.refuse(btrequest.Unknown, ReasonGrantMalformed, 0, nil)
}

// inProgressWait is when a caller should ask again for a running request.
const inProgressWait = time.Second

// drained returns how long the queue needs for what waits in it now.
func (v *serving) drained() time.Duration {
	if v.place.admission == nil {
		return 0
	}
	return v.place.admission.load().Wait
}

// refuseClaim carries the ledger's refusal, with its seal, to the entry.
func (v *serving) refuseClaim(refused btclaim.Refused) error {
	data, err := btwire.Encode(refused)
	if err != nil {
		return err
	}
	return v.refuse(btrequest.Unknown, refused.Reason, refused.RetryAfter, data)
}

// lostReason tells a deadline that passed from a target that went away.
func (v *serving) lostReason(ctx context.Context) btrequest.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return ReasonDeadline
	}
	return ReasonTargetLost
}

// toTarget returns the request as the target is to see it.
func (v *serving) toTarget() bttarget.Request {
	r := v.request
	if r.Resume > 0 {
		return bttarget.ResumeRequest(r.First, r.Resume)
	}
	header := r.Header.HTTP()
	header.Set(headerRequestID, r.First.String())
	return bttarget.Request{Method: r.Method, URI: r.Path, Header: header, Body: r.Body}
}

// headerRequestID names a stream at the engine, by which it can be resumed.
const headerRequestID = "X-Request-Id"

// refuse answers that this agent gives no answer of the target.
func (v *serving) refuse(outcome btrequest.Outcome, reason btrequest.Reason, after time.Duration, refused cbor.RawMessage) error {
	v.release()
	v.agent.refused(reason)
	head := v.head(btserve.Refused)
	head.Outcome = outcome
	head.Reason = reason
	head.RetryAfter = after
	head.Drained = v.drained()
	head.Sealed = refused
	return btpeer.Send(v.stream, head)
}

// head returns the start of an answer, with the load that it left behind.
func (v *serving) head(verdict btserve.Verdict) btserve.Head {
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
