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

// awaitCatalog returns the catalog in force, and waits for the first one of an entry
// that has only just started: it comes within milliseconds where the store answers,
// and callers who are refused while the store is away for some seconds have spent
// their tries before it is back. It returns nil where none comes.
func (x *exchange) awaitCatalog() *btcatalog.Index {
	k := x.entry.knowledge
	if index := k.index.Load(); index != nil {
		return index
	}
	x.entry.meter.Counter(metricCatalogWaits).Inc(1)
	timer := time.NewTimer(btgate.MaxWait(x.patience()))
	defer timer.Stop()
	select {
	case <-k.first:
	case <-timer.C:
	case <-x.caller.Context().Done():
	}
	return k.index.Load()
}

// turn waits for an open group and a place and makes attempts. It returns true where
// the request waits anew, as the group turned out to be broken.
func (x *exchange) turn(ctx context.Context) bool {
	e := x.entry
	if x.quarantined() {
		return false
	}
	switch x.awaitGroup(ctx) {
	case ReasonGroupBroken:
		if !x.gone() {
			x.turnDown(ReasonGroupBroken, x.later())
		}
		return false
	case ReasonGroupIncomplete:
		// It has lasted for so long, and is as likely to last as long again.
		x.turnDown(ReasonGroupIncomplete, btinventory.AbsentFor)
		return false
	}
	asked := e.options.Clock()
	admitted := e.admission.enter(ctx, x.service, x.wait)
	x.waited(&x.stages.place, metricPlaceWait, asked)
	if !admitted {
		if !x.gone() {
			x.turnDown(ReasonOverload, e.admission.comeBack(x.service, x.later()))
		}
		return false
	}
	x.admitted = e.options.Clock()
	defer e.admission.leave(x)
	return x.run(ctx)
}

// turnDown ends a request that waited in vain. One that waited anew may have run
// before, or a part of its answer may have gone out: then it is not said that it has
// not run, and a stream is cut off visibly.
func (x *exchange) turnDown(reason btrequest.Reason, after time.Duration) {
	x.entry.admission.turnedAway()
	if x.mayHaveRun {
		x.giveUp(&refusal{status: http.StatusBadGateway, reason: reason})
		return
	}
	x.giveUp(&refusal{status: http.StatusServiceUnavailable, reason: reason, retryAfter: after})
}

// awaitGroup waits for a broken group to open, and returns why the request may not be
// sent, empty where it may. It doesn't wait for a group that can't be whole.
func (x *exchange) awaitGroup(ctx context.Context) btrequest.Reason {
	e := x.entry
	open, opened := e.fleet.open(x.service.Name)
	if open {
		return ""
	}
	if e.fleet.absent(x.service.Name) {
		return ReasonGroupIncomplete
	}
	defer x.waited(&x.stages.group, metricGroupWait, e.options.Clock())
	e.meter.Counter(metricGroupWaits).Inc(1)
	timer := time.NewTimer(x.wait.WaitForGroupUntil().Sub(e.options.Clock()))
	defer timer.Stop()
	select {
	case <-opened:
		return ""
	case <-timer.C:
	case <-ctx.Done():
	}
	return ReasonGroupBroken
}

// waitsAnew tells whether the request waits for a group to open after an attempt that
// found the only one broken. That it is sent once more draws on the retry budget.
func (x *exchange) waitsAnew(result attemptResult) bool {
	now := x.entry.options.Clock()
	if !result.groupBroken || !result.notRun || x.gone() || x.otherGroup() || !now.Before(x.wait.WaitForGroupUntil()) {
		return false
	}
	return x.entry.budget(x.service.Name).take(now)
}
