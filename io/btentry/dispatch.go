package btentry

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"bilberrytide/core/btbundle"
	"bilberrytide/core/btload"
	"bilberrytide/core/btnotice"
	"bilberrytide/core/btqueue"
	"bilberrytide/core/btrequest"
	"bilberrytide/core/btroute"
)

const (
	// noTargetRetryAfter is the Retry-After when no target was live; leases last a few
	// seconds.
	noTargetRetryAfter = 2 * time.Second
	// lostRetryAfter is the Retry-After when contact was lost.
	lostRetryAfter = time.Second
	// bytesPerToken is used to estimate the number of tokens of a prompt.
	bytesPerToken = btload.ChunkBytes / btload.ChunkTokens
)

// dispatch is the last stage of the request path: it picks a target, sends the request
// and retries it.
type dispatch struct {
	entry  *Entry
	sender sender
}

func (d *dispatch) handle(ctx context.Context, x *exchange) *btrequest.Refusal {
	d.entry.fleet.countRequest()
	if x.keyed() {
		return d.runKeyed(ctx, x)
	}
	return d.runRepeatable(ctx, x)
}

// routeRequest returns what the router needs to know about the request.
func routeRequest(x *exchange) btroute.Request {
	r := btroute.Request{Service: x.service.Name, Keyed: x.keyed()}
	if x.service.Kind == btbundle.Model {
		r.Tokens = len(x.call.Prompt) / bytesPerToken
		r.Prefixes = btload.Prefixes(x.call.Prompt)
	}
	return r
}

// try makes one attempt and records it.
func (d *dispatch) try(ctx context.Context, x *exchange, p *pick, request btroute.Request, spec attemptSpec) attemptResult {
	d.entry.fleet.recordSent(p, request)
	spec.pick = *p
	result := d.sender.send(ctx, x, spec)
	d.entry.fleet.recordEnd(*p, result)
	return result
}

func refuseNoTarget(x *exchange, err error) *btrequest.Refusal {
	if refusal := refuseUnavailable(x, err); refusal != nil {
		return refusal
	}
	var none *btroute.NoTargetError
	if !errors.As(err, &none) {
		return btrequest.Refuse(btroute.NoLiveTarget, noTargetRetryAfter, "%v", err)
	}
	return btrequest.Refuse(none.Reason, noTargetRetryAfter, "service %q: no target can take the request now", x.service.Name)
}

// refusalFor returns the refusal for a request whose last attempt failed. mayHaveRun
// reports whether any attempt may have run.
func refusalFor(last attemptResult, mayHaveRun bool) *btrequest.Refusal {
	after := last.retryAfter
	if last.reason == btqueue.ReasonResting {
		after = btnotice.RetryAfter(after, rand.Float64)
	}
	if after == 0 {
		after = lostRetryAfter
	}
	if mayHaveRun || last.outcome == btrequest.Unknown {
		return btrequest.RefuseUnknown(last.reason, after, "the request was sent and may have run; its answer did not arrive whole")
	}
	return btrequest.Refuse(last.reason, after, "the request was not run")
}
