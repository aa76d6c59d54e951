package btentry

import (
	"context"
	"errors"
	"time"

	"bilberrytide/core/btbundle"
	"bilberrytide/core/btclaim"
	"bilberrytide/core/btid"
	"bilberrytide/core/btload"
	"bilberrytide/core/btrequest"
	"bilberrytide/core/btretry"
	"bilberrytide/core/btroute"
	"bilberrytide/core/btserve"
	"bilberrytide/io/btpeer"
	"bilberrytide/io/btprocess"
)

const (
	// noTargetWait is when a caller should come back after no target was live;
	// leases last a few seconds.
	noTargetWait = 2 * time.Second
	// lostWait is when a caller should come back after contact was lost.
	lostWait = time.Second
	// homeWait bounds one question to a key home.
	homeWait = 2 * time.Second
	// homeAsks bounds the questions to key homes in one request.
	homeAsks = 6
	// bytesPerToken estimates the tokens of a prompt.
	bytesPerToken = btload.ChunkBytes / btload.ChunkTokens
)

// dispatch is the end of the request path: it picks a target, sends, and tries
// again where that is right.
type dispatch struct {
	entry  *Entry
	sender sender
}

func (d *dispatch) handle(ctx context.Context, x *exchange) *btrequest.Refusal {
	d.entry.fleet.request()
	if x.keyed() {
		return d.once(ctx, x)
	}
	return d.repeatable(ctx, x)
}

// wanted returns what the router is to know of the request.
func wanted(x *exchange) btroute.Request {
	r := btroute.Request{Service: x.service.Name, Keyed: x.keyed()}
	if x.service.Kind == btbundle.Model {
		r.Tokens = len(x.call.Prompt) / bytesPerToken
		r.Prefixes = btload.Prefixes(x.call.Prompt)
	}
	return r
}

// repeatable sends a request that may run more than once.
func (d *dispatch) repeatable(ctx context.Context, x *exchange) *btrequest.Refusal {
	request := wanted(x)
	ran := false
	var last attempt
	for number := 1; ; number++ {
		p, err := d.entry.fleet.pick(request)
		if err != nil {
			return d.noTarget(x, err, last, ran)
		}
		last = d.try(ctx, x, &p, request, order{lastly: number >= x.bundle.Bundle.Retry.MaxAttempts})
		if last.outcome == btrequest.Done {
			return nil
		}
		ran = ran || last.outcome == btrequest.Unknown
		again := d.decide(x, last, p, number)
		if !again.Retry {
			return refusalOf(last, ran)
		}
		d.entry.options.Meter.Retried(last.reason)
		if !wait(ctx, again.At.Sub(d.entry.options.Clock())) {
			return refusalOf(last, ran)
		}
		if again.Resume {
			return d.resume(ctx, x, p, request, last)
		}
		request.Tried = append(request.Tried, p.executor.Target)
	}
}

// try makes one attempt and counts it.
func (d *dispatch) try(ctx context.Context, x *exchange, p *pick, request btroute.Request, o order) attempt {
	d.entry.fleet.sent(p, request)
	o.pick = *p
	result := d.sender.send(ctx, x, o)
	d.entry.fleet.finished(*p, result)
	return result
}

func (d *dispatch) decide(x *exchange, last attempt, p pick, number int) btretry.Decision {
	again := d.entry.fleet.decide(btretry.Attempt{
		Outcome:       last.outcome,
		Number:        number,
		Deadline:      x.deadline,
		Needed:        p.choice.Expected,
		FirstByteSent: x.answer.Started(),
		Resumable:     resumable(x),
	})
	if last.reason == ReasonCallerGone {
		again.Retry = false
	}
	if !again.Retry {
		d.entry.options.Meter.Refused(again.Reason)
	}
	return again
}

// resume asks the engine for the rest of a stream that broke off.
func (d *dispatch) resume(ctx context.Context, x *exchange, p pick, request btroute.Request, last attempt) *btrequest.Refusal {
	result := d.try(ctx, x, &p, request, order{resume: x.answer.Events(), lastly: true})
	if result.outcome == btrequest.Done && result.status < 300 {
		return nil
	}
	return refusalOf(last, true)
}

func (d *dispatch) noTarget(x *exchange, err error, last attempt, ran bool) *btrequest.Refusal {
	if last.reason != "" {
		return refusalOf(last, ran)
	}
	var none *btroute.NoTargetError
	if !errors.As(err, &none) {
		return btrequest.Refuse(btroute.NoLiveTarget, noTargetWait, "%v", err)
	}
	return btrequest.Refuse(none.Reason, noTargetWait, "service %q: no target can take the request now", x.service.Name)
}

// refusalOf tells the caller how its last attempt ended; ran tells that some
// attempt may have run.
func refusalOf(last attempt, ran bool) *btrequest.Refusal {
	after := last.retryAfter
	if after == 0 {
		after = lostWait
	}
	if ran || last.outcome == btrequest.Unknown {
		return btrequest.Lose(last.reason, after, "the request was sent and may have run; its answer did not arrive whole")
	}
	return btrequest.Refuse(last.reason, after, "the request was not run")
}

// once leads a request that may run only once through its key home.
func (d *dispatch) once(ctx context.Context, x *exchange) *btrequest.Refusal {
	flow := &claimFlow{dispatch: d, x: x, request: wanted(x)}
	flow.client = btclaim.NewClient(btclaim.ClientSettings{
		Request: x.id,
		Claim:   btclaim.Claim{Service: x.service.Name, Account: x.account.Name, Key: x.call.Key},
		Content: btserve.ContentOf(x.call.Method, x.call.Path, x.call.Body),
		Epoch:   x.service.Current(),

		MaxAttempts: x.bundle.Bundle.Retry.MaxAttempts,
		MaxAsks:     homeAsks,
	})
	return flow.run(ctx)
}

// claimFlow carries out what a claim client asks for.
type claimFlow struct {
	dispatch *dispatch
	x        *exchange
	request  btroute.Request
	client   *btclaim.Client
	picked   pick
}

func (c *claimFlow) run(ctx context.Context) *btrequest.Refusal {
	clock := c.dispatch.entry.options.Clock
	effects := c.client.Step(clock(), btclaim.Begun{})
	for len(effects) > 0 {
		if end, ended := effects[0].(btclaim.Ended); ended {
			return c.end(end)
		}
		event := c.carryOut(ctx, effects[0])
		effects = c.client.Step(clock(), event)
	}
	return btrequest.Lose(btclaim.HomeUnreachable, lostWait, "the request's key home gave no answer")
}

// carryOut does one thing and returns what came of it.
func (c *claimFlow) carryOut(ctx context.Context, effect btclaim.ClientEffect) btclaim.ClientEvent {
	switch e := effect.(type) {
	case btclaim.Choose:
		return c.choose(e)
	case btclaim.SendAcquire:
		return askHome(ctx, c, e.To, btprocess.KindAcquire, e.Message, e.Message.Ask)
	case btclaim.SendRelease:
		return askHome(ctx, c, e.To, btprocess.KindRelease, e.Message, e.Message.Ask)
	case btclaim.Serve:
		return c.serve(ctx, e.Grant)
	}
	return btclaim.HomeSilent{}
}

func (c *claimFlow) choose(e btclaim.Choose) btclaim.ClientEvent {
	if c.x.limited != nil {
		return btclaim.Chosen{}
	}
	c.request.Tried = e.Exclude
	p, err := c.dispatch.entry.fleet.pick(c.request)
	if err != nil {
		return btclaim.Chosen{}
	}
	c.picked = p
	return btclaim.Chosen{Executor: p.executor}
}

// askHome sends a question to a key home.
func askHome[Q any](ctx context.Context, c *claimFlow, to btid.Target, kind btpeer.Kind, message Q, number uint32) btclaim.ClientEvent {
	silent := btclaim.HomeSilent{Ask: number}
	endpoint, found := btprocess.AgentEndpoint(c.x.bundle.Index, to)
	if !found {
		return silent
	}
	ctx, cancel := context.WithTimeout(ctx, homeWait)
	defer cancel()
	reply, err := btpeer.Call[Q, btclaim.AcquireReply](ctx, c.dispatch.entry.options.Node, endpoint, kind, message)
	if err != nil {
		c.dispatch.entry.options.Meter.Refused(btclaim.HomeUnreachable)
		return silent
	}
	return reply
}

// serve sends the request to the executor that its grant names.
func (c *claimFlow) serve(ctx context.Context, grant btclaim.Grant) btclaim.ClientEvent {
	p := c.picked
	if p.executor != grant.Executor {
		p = pick{executor: grant.Executor}
	}
	result := c.dispatch.try(ctx, c.x, &p, c.request, order{grant: &grant, lastly: true})
	switch {
	case result.outcome == btrequest.Done:
		return btclaim.Served{Attempt: grant.Attempt}
	case result.refused != nil:
		c.dispatch.entry.options.Meter.Retried(result.reason)
		return *result.refused
	case result.reason == btclaim.InProgressElsewhere:
		return btclaim.Running{Attempt: grant.Attempt}
	}
	return btclaim.ExecutorSilent{Attempt: grant.Attempt}
}

func (c *claimFlow) end(e btclaim.Ended) *btrequest.Refusal {
	switch e.Outcome {
	case btrequest.Done:
		return nil
	case btrequest.NotRun:
		if c.x.limited != nil && e.Reason == btclaim.NoExecutor {
			return c.x.limited
		}
		return btrequest.Refuse(e.Reason, e.RetryAfter, "the request was not run")
	}
	return btrequest.Lose(e.Reason, e.RetryAfter, "the request may have run; sending it again with the same %s is safe", "Idempotency-Key")
}
