package btdirect

import (
	"context"
	"net/http"
	"time"

	"bilberrytide/core/btcatalog"
	"bilberrytide/core/btgate"
	"bilberrytide/core/btinventory"
	"bilberrytide/core/btrequest"
)

// awaitCatalog returns the catalog in force. An entry that has just started waits for
// the first one: it arrives within milliseconds if the store answers, and callers
// refused while the store is unavailable for a few seconds would have used up their
// retries before it is back. It returns nil if no catalog arrives.
func (x *exchange) awaitCatalog() *btcatalog.Index {
	cache := x.entry.cache
	if index := cache.index.Load(); index != nil {
		return index
	}
	x.entry.meter.Counter(metricCatalogWaits).Inc(1)
	timer := time.NewTimer(btgate.MaxWait(x.callerTimeout()))
	defer timer.Stop()
	select {
	case <-cache.hasCatalog:
	case <-timer.C:
	case <-x.request.Context().Done():
	}
	return cache.index.Load()
}

// serveOnce waits for a serving group and a slot and makes attempts. It returns true if
// the request should wait again because the group turned out to be broken.
func (x *exchange) serveOnce(ctx context.Context) bool {
	e := x.entry
	if x.refuseQuarantined() {
		return false
	}
	if !e.fleet.hasHome(x.service.Name, x.residency) {
		x.endUnserved(ReasonOutsideHome, x.defaultRetryAfter())
		return false
	}
	waited := x.awaitGroup(ctx)
	if x.withdrawnReason() != "" && x.refuseQuarantined() {
		return false
	}
	switch waited {
	case ReasonGroupBroken:
		if !x.callerGone() {
			x.endUnserved(ReasonGroupBroken, x.defaultRetryAfter())
		}
		return false
	case ReasonGroupIncomplete:
		// An outage that has lasted this long is as likely to last as long again.
		x.endUnserved(ReasonGroupIncomplete, btinventory.IncompleteAfter)
		return false
	}
	queuedAt := e.options.Clock()
	admitted := e.admission.acquire(ctx, x.service, x.queueing)
	x.recordWait(&x.stages.slotWait, metricSlotWait, queuedAt)
	if !admitted {
		if x.withdrawnReason() != "" && x.refuseQuarantined() {
			return false
		}
		if !x.callerGone() {
			x.endUnadmitted()
		}
		return false
	}
	x.admittedAt = e.options.Clock()
	defer e.admission.release(x)
	if x.refuseUnfinished() {
		return false
	}
	return x.makeAttempts(ctx)
}

// endUnadmitted refuses a request that got no slot in time.
func (x *exchange) endUnadmitted() {
	e := x.entry
	c := e.fleet.capacity(x.service.Name)
	switch {
	case !c.restEnd.IsZero():
		x.endUnserved(ReasonTargetResting, x.restRetryAfter(c.restEnd))
		return
	case c.none():
		x.endUnserved(c.noneReason(), x.defaultRetryAfter())
		return
	}
	x.endUnserved(ReasonOverload, e.admission.retryAfter(x.service, x.defaultRetryAfter()))
}

// endUnserved ends a request that can't be sent. If an earlier attempt may have run,
// the answer must not say otherwise, and a stream of which a part was sent is cut off.
func (x *exchange) endUnserved(reason btrequest.Reason, retryAfter time.Duration) {
	x.entry.admission.recordRefusal()
	if x.mayHaveRun {
		x.refuseOrAbort(&refusal{status: http.StatusBadGateway, reason: reason})
		return
	}
	x.refuseOrAbort(&refusal{status: http.StatusServiceUnavailable, reason: reason, retryAfter: retryAfter})
}

// awaitGroup waits until a broken group serves. It returns the reason for which the
// request can't be sent, or "". It doesn't wait for a group that lacks ranks.
func (x *exchange) awaitGroup(ctx context.Context) btrequest.Reason {
	e := x.entry
	open, opened := e.fleet.openOrProbe(x.service.Name)
	if open {
		return ""
	}
	if e.fleet.groupsAbsent(x.service.Name) {
		return ReasonGroupIncomplete
	}
	defer x.recordWait(&x.stages.groupWait, metricGroupWait, e.options.Clock())
	e.meter.Counter(metricGroupWaits).Inc(1)
	timer := time.NewTimer(x.queueing.WaitForGroupUntil().Sub(e.options.Clock()))
	defer timer.Stop()
	select {
	case <-opened:
		return ""
	case <-timer.C:
	case <-ctx.Done():
	}
	return ReasonGroupBroken
}

// waitsAgain reports whether the request waits for a group to serve again, after an
// attempt found the only one broken. Sending it again is taken from the retry budget.
func (x *exchange) waitsAgain(result attemptResult) bool {
	now := x.entry.options.Clock()
	if !result.groupBroken || !result.notRun || x.callerGone() || x.groupAvailable() || !now.Before(x.queueing.WaitForGroupUntil()) {
		return false
	}
	return x.entry.budget(x.service.Name).take(now)
}
