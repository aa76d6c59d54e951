package btentry

import (
	"context"
	"time"

	"bilberrytide/core/btclaim"
	"bilberrytide/core/btid"
	"bilberrytide/core/btqueue"
	"bilberrytide/core/btrequest"
	"bilberrytide/core/btroute"
	"bilberrytide/core/btserve"
	"bilberrytide/io/btpeer"
	"bilberrytide/io/btprocess"
)

const (
	// homeTimeout limits one ask to a key home.
	homeTimeout = 2 * time.Second
	// maxHomeAsks limits the asks to key homes per request.
	maxHomeAsks = 6
)

// runKeyed runs a request that may run at most once, coordinated by its key home.
func (d *dispatch) runKeyed(ctx context.Context, x *exchange) *btrequest.Refusal {
	flow := &claimFlow{dispatch: d, x: x, request: routeRequest(x)}
	flow.client = btclaim.NewClient(btclaim.ClientSettings{
		Request:     x.id,
		Claim:       btclaim.Claim{Service: x.service.Name, Account: x.account.Name, Key: x.call.Key},
		Content:     btserve.ContentDigest(x.call.Method, x.call.Path, x.call.Body),
		Epoch:       x.service.CurrentEpoch(),
		MaxAttempts: x.bundle.Bundle.Retry.MaxAttempts,
		MaxAsks:     maxHomeAsks,
	})
	return flow.run(ctx)
}

// claimFlow performs the effects of a claim client.
type claimFlow struct {
	dispatch *dispatch
	x        *exchange
	request  btroute.Request
	client   *btclaim.Client
	picked   pick
	// lostReason is why the executor's answer did not arrive.
	lostReason btrequest.Reason
	// noTarget is why no executor could be chosen last; nil if one was.
	noTarget error
}

func (c *claimFlow) run(ctx context.Context) *btrequest.Refusal {
	clock := c.dispatch.entry.options.Clock
	effects := c.client.Step(clock(), btclaim.ClientStarted{})
	for len(effects) > 0 {
		if clientResult, ended := effects[0].(btclaim.Result); ended {
			return c.finish(clientResult)
		}
		event := c.perform(ctx, effects[0])
		effects = c.client.Step(clock(), event)
	}
	return btrequest.RefuseUnknown(btclaim.HomeUnreachable, lostRetryAfter, "the request's key home gave no answer")
}

// perform performs one effect and returns the resulting event.
func (c *claimFlow) perform(ctx context.Context, effect btclaim.ClientEffect) btclaim.ClientEvent {
	switch e := effect.(type) {
	case btclaim.ChooseExecutor:
		return c.chooseExecutor(ctx, e)
	case btclaim.SendAcquire:
		return askHome(ctx, c, e.To, btprocess.KindAcquire, e.Message, e.Message.Ask)
	case btclaim.SendRelease:
		return askHome(ctx, c, e.To, btprocess.KindRelease, e.Message, e.Message.Ask)
	case btclaim.SendRequest:
		return c.sendToExecutor(ctx, e.Grant)
	}
	return btclaim.HomeTimedOut{}
}

func (c *claimFlow) chooseExecutor(ctx context.Context, e btclaim.ChooseExecutor) btclaim.ClientEvent {
	if c.x.limitRefusal != nil {
		return btclaim.ExecutorChosen{}
	}
	c.request.Tried = e.Exclude
	p, err := c.dispatch.pickOrAwaitRest(ctx, c.x, c.request)
	c.noTarget = err
	if err != nil {
		return btclaim.ExecutorChosen{}
	}
	c.picked = p
	return btclaim.ExecutorChosen{Executor: p.executor}
}

// askHome sends an ask to a key home, unless the home is known to have stopped.
func askHome[Q any](ctx context.Context, c *claimFlow, to btid.Target, kind btpeer.Kind, message Q, ask uint32) btclaim.ClientEvent {
	timedOut := btclaim.HomeTimedOut{Ask: ask}
	endpoint, found := btprocess.AgentEndpoint(c.x.bundle.Index, to)
	if !found || c.dispatch.entry.fleet.agentStopped(to) {
		return timedOut
	}
	ctx, cancel := context.WithTimeout(ctx, homeTimeout)
	defer cancel()
	reply, err := btpeer.Call[Q, btclaim.AcquireReply](ctx, c.dispatch.entry.options.Node, endpoint, kind, message)
	if err != nil {
		c.dispatch.entry.options.Meter.Refused(reasonHomeTimedOut)
		return timedOut
	}
	return reply
}

// reasonHomeTimedOut counts asks to key homes that were not answered.
const reasonHomeTimedOut btrequest.Reason = "key_home_silent"

// sendToExecutor sends the request to the executor named in the grant.
func (c *claimFlow) sendToExecutor(ctx context.Context, grant btclaim.Grant) btclaim.ClientEvent {
	p := c.picked
	if p.executor != grant.Executor {
		p = pick{executor: grant.Executor}
	}
	result := c.dispatch.try(ctx, c.x, &p, c.request, attemptSpec{grant: &grant})
	switch {
	case result.outcome == btrequest.Done:
		return btclaim.AnswerReceived{Attempt: grant.Attempt}
	case result.claimRefusal != nil:
		if result.claimRefusal.Sealed != nil {
			c.dispatch.entry.options.Meter.Retried(result.reason)
		}
		return *result.claimRefusal
	case result.reason == btclaim.InProgressElsewhere:
		return btclaim.RunInProgress{Attempt: grant.Attempt}
	}
	c.lostReason = result.reason
	return btclaim.ExecutorLost{Attempt: grant.Attempt}
}

func (c *claimFlow) finish(e btclaim.Result) *btrequest.Refusal {
	switch e.Outcome {
	case btrequest.Done:
		return nil
	case btrequest.NotRun:
		if c.x.limitRefusal != nil && e.Reason == btclaim.NoExecutor {
			// The home grants nothing for this key before the time that it gave.
			c.x.limitRefusal.RetryAfter = max(c.x.limitRefusal.RetryAfter, e.RetryAfter)
			return c.x.limitRefusal
		}
		if refusal := refuseUnavailable(c.x, c.noTarget); refusal != nil && (e.Reason == btclaim.NoExecutor || e.Reason == btqueue.ReasonResting) {
			refusal.RetryAfter = max(refusal.RetryAfter, e.RetryAfter)
			return refusal
		}
		return btrequest.Refuse(e.Reason, e.RetryAfter, "the request was not run")
	}
	if e.Reason == btclaim.ExecutorUnreachable && c.lostReason != "" {
		e.Reason = c.lostReason
	}
	if _, hasTime := c.x.call.Key.Time(); e.Reason == btclaim.HistoryLost && !hasTime {
		return btrequest.RefuseUnknown(e.Reason, e.RetryAfter, "the key holds no time, so that its home, which started lately, can't tell whether it was used before; a UUID of version 7 can be told")
	}
	return btrequest.RefuseUnknown(e.Reason, e.RetryAfter, "the request may have run; sending it again with the same %s is safe", "Idempotency-Key")
}
