package btentry

import (
	"context"
	"errors"
	"time"

	"bilberrytide/core/btbundle"
	"bilberrytide/core/btload"
	"bilberrytide/core/btqueue"
	"bilberrytide/core/btrequest"
	"bilberrytide/core/btroute"
)

const (
	// noTargetWait is when a caller should come back after no target was live;
	// leases last a few seconds.
	noTargetWait = 2 * time.Second
	// lostWait is when a caller should come back after contact was lost.
	lostWait = time.Second
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

// try makes one attempt and counts it.
func (d *dispatch) try(ctx context.Context, x *exchange, p *pick, request btroute.Request, o order) attempt {
	d.entry.fleet.sent(p, request)
	o.pick = *p
	result := d.sender.send(ctx, x, o)
	d.entry.fleet.finished(*p, result)
	return result
}

func noTarget(x *exchange, err error) *btrequest.Refusal {
	if after, limited := isLimited(err); limited {
		return btrequest.Refuse(btqueue.ReasonRateLimited, after, "service %q: its targets take no more requests a second", x.service.Name)
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
		return btrequest.RefuseUnknown(last.reason, after, "the request was sent and may have run; its answer did not arrive whole")
	}
	return btrequest.Refuse(last.reason, after, "the request was not run")
}
