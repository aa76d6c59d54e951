package btentry

import (
	"context"
	"time"

	"bilberrytide/core/btclaim"
	"bilberrytide/core/btid"
	"bilberrytide/core/btrequest"
	"bilberrytide/core/btroute"
	"bilberrytide/core/btserve"
	"bilberrytide/io/btpeer"
	"bilberrytide/io/btprocess"
)

const (
	// homeWait bounds one question to a key home.
	homeWait = 2 * time.Second
	// homeAsks bounds the questions to key homes in one request.
	homeAsks = 6
)

// once leads a request that may run only once through its key home.
func (d *dispatch) once(ctx context.Context, x *exchange) *btrequest.Refusal {
	flow := &claimFlow{dispatch: d, x: x, request: wanted(x)}
	flow.client = btclaim.NewClient(btclaim.ClientSettings{
		Request:     x.id,
		Claim:       btclaim.Claim{Service: x.service.Name, Account: x.account.Name, Key: x.call.Key},
		Content:     btserve.ContentDigest(x.call.Method, x.call.Path, x.call.Body),
		Epoch:       x.service.CurrentEpoch(),
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
	// silent is why the executor's answer did not come.
	silent btrequest.Reason
}

func (c *claimFlow) run(ctx context.Context) *btrequest.Refusal {
	clock := c.dispatch.entry.options.Clock
	effects := c.client.Step(clock(), btclaim.ClientStarted{})
	for len(effects) > 0 {
		if end, ended := effects[0].(btclaim.Result); ended {
			return c.end(end)
		}
		event := c.carryOut(ctx, effects[0])
		effects = c.client.Step(clock(), event)
	}
	return btrequest.RefuseUnknown(btclaim.HomeUnreachable, lostWait, "the request's key home gave no answer")
}

// carryOut does one thing and returns what came of it.
func (c *claimFlow) carryOut(ctx context.Context, effect btclaim.ClientEffect) btclaim.ClientEvent {
	switch e := effect.(type) {
	case btclaim.ChooseExecutor:
		return c.choose(e)
	case btclaim.SendAcquire:
		return askHome(ctx, c, e.To, btprocess.KindAcquire, e.Message, e.Message.Ask)
	case btclaim.SendRelease:
		return askHome(ctx, c, e.To, btprocess.KindRelease, e.Message, e.Message.Ask)
	case btclaim.SendRequest:
		return c.serve(ctx, e.Grant)
	}
	return btclaim.HomeTimedOut{}
}

func (c *claimFlow) choose(e btclaim.ChooseExecutor) btclaim.ClientEvent {
	if c.x.limited != nil {
		return btclaim.ExecutorChosen{}
	}
	c.request.Tried = e.Exclude
	p, err := c.dispatch.entry.fleet.pick(c.request)
	if err != nil {
		return btclaim.ExecutorChosen{}
	}
	c.picked = p
	return btclaim.ExecutorChosen{Executor: p.executor}
}

// askHome sends a question to a key home, but for one that is known to be gone.
func askHome[Q any](ctx context.Context, c *claimFlow, to btid.Target, kind btpeer.Kind, message Q, number uint32) btclaim.ClientEvent {
	silent := btclaim.HomeTimedOut{Ask: number}
	endpoint, found := btprocess.AgentEndpoint(c.x.bundle.Index, to)
	if !found || c.dispatch.entry.fleet.stopped(to) {
		return silent
	}
	ctx, cancel := context.WithTimeout(ctx, homeWait)
	defer cancel()
	reply, err := btpeer.Call[Q, btclaim.AcquireReply](ctx, c.dispatch.entry.options.Node, endpoint, kind, message)
	if err != nil {
		c.dispatch.entry.options.Meter.Refused(reasonHomeSilent)
		return silent
	}
	return reply
}

// reasonHomeSilent counts questions to key homes that got no answer.
const reasonHomeSilent btrequest.Reason = "key_home_silent"

// serve sends the request to the executor that its grant names.
func (c *claimFlow) serve(ctx context.Context, grant btclaim.Grant) btclaim.ClientEvent {
	p := c.picked
	if p.executor != grant.Executor {
		p = pick{executor: grant.Executor}
	}
	result := c.dispatch.try(ctx, c.x, &p, c.request, order{grant: &grant})
	switch {
	case result.outcome == btrequest.Done:
		return btclaim.AnswerReceived{Attempt: grant.Attempt}
	case result.refused != nil:
		if result.refused.Sealed != nil {
			c.dispatch.entry.options.Meter.Retried(result.reason)
		}
		return *result.refused
	case result.reason == btclaim.InProgressElsewhere:
		return btclaim.RunInProgress{Attempt: grant.Attempt}
	}
	c.silent = result.reason
	return btclaim.ExecutorLost{Attempt: grant.Attempt}
}

func (c *claimFlow) end(e btclaim.Result) *btrequest.Refusal {
	switch e.Outcome {
	case btrequest.Done:
		return nil
	case btrequest.NotRun:
		if c.x.limited != nil && e.Reason == btclaim.NoExecutor {
			// The home grants nothing of this key before its own time to come back.
			c.x.limited.RetryAfter = max(c.x.limited.RetryAfter, e.RetryAfter)
			return c.x.limited
		}
		return btrequest.Refuse(e.Reason, e.RetryAfter, "the request was not run")
	}
	if e.Reason == btclaim.ExecutorUnreachable && c.silent != "" {
		e.Reason = c.silent
	}
	if _, timed := c.x.call.Key.Time(); e.Reason == btclaim.HistoryLost && !timed {
		return btrequest.RefuseUnknown(e.Reason, e.RetryAfter, "the key holds no time, so that its home, which started lately, can't tell whether it was used before; a UUID of version 7 can be told")
	}
	return btrequest.RefuseUnknown(e.Reason, e.RetryAfter, "the request may have run; sending it again with the same %s is safe", "Idempotency-Key")
}
