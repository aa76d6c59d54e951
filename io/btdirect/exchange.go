package btdirect

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"bilberrytide/core/btcatalog"
	"bilberrytide/core/btgate"
	"bilberrytide/core/btid"
	"bilberrytide/core/btinventory"
	"bilberrytide/core/btpick"
	"bilberrytide/core/btquarantine"
	"bilberrytide/core/btrequest"
	"bilberrytide/io/btfront"
)

// exchange is the handling of one request of a caller.
type exchange struct {
	entry   *Entry
	writer  http.ResponseWriter
	request *http.Request
	info    RequestInfo
	// connection is the caller's.
	connection *btfront.Conn
	body       []byte
	// received is set once the whole request has been read.
	received bool
	index    *btcatalog.Index
	route    *btcatalog.Route
	service  *btcatalog.Service
	account  btid.Account
	// residency is where the request may be run.
	residency  btcatalog.Residency
	priority   int
	receivedAt time.Time
	deadline   time.Time
	open       *openRequest
	// admittedAt is when the request got its slot, firstEventAt when its first event
	// was sent.
	admittedAt, firstEventAt time.Time
	// stages holds the time spent in each stage.
	stages stages
	// queueing controls how long the request waits for a serving group and for a slot.
	queueing btgate.Request
	// ctx ends at the deadline, and when the caller disconnects.
	ctx context.Context

	tried map[btinventory.Instance]bool
	// attempts counts the attempts that a target may have run. notRunAttempts counts
	// those that certainly did not run.
	attempts       int
	notRunAttempts int
	// stream is set once an answer is streamed.
	stream *streamWriter
	// move lets the attempt in progress move to another target; nil if it must not.
	move *move
	// mayHaveRun is set once a target may have begun to run the request.
	mayHaveRun bool
	// answered reports that the caller has the complete answer.
	answered bool
	// fingerprint returns the fingerprint of the content, computed on the first call.
	fingerprint func() btquarantine.Fingerprint
	// withdrawn is the reason, once an attempt or a wait is cancelled because the request is
	// quarantined, or a stop ends.
	withdrawn atomic.Pointer[btrequest.Reason]
	// prompt has the parts of the prompt that other requests may share.
	prompt btquarantine.Prompt
	// probe permits the request in spite of a restriction; nil for nearly all requests.
	probe *btquarantine.Probe
	// restriction is the one that last refused the request, for the log.
	restriction *btquarantine.Restriction
	// partlySent is set once a part of a streamed answer has been sent.
	partlySent atomic.Bool
	// skipped holds the targets that were skipped last though they are listed as ready.
	skipped []skippedTarget
	// logged reports that the request's failure has been logged.
	logged bool
}

// defaultDeadline applies to callers that set none.
const defaultDeadline = time.Minute

// serveHTTP handles a caller's request.
func (e *Entry) serveHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{
		entry:      e,
		writer:     w,
		request:    r,
		connection: btfront.Of(r.Context()),
		received:   r.ContentLength == 0,
		info:       e.options.Headers.ParseRequest(r.Header),
		receivedAt: e.options.Clock(),
		tried:      make(map[btinventory.Instance]bool),
	}
	x.fingerprint = sync.OnceValue(x.computeFingerprint)
	x.open = e.openRequest(x)
	e.meter.Counter(metricRequests).Inc(1)
	if refused := x.identify(); refused != nil {
		x.refuse(refused)
		return
	}
	// Timers use the monotonic clock, while the deadline is on a clock that continues
	// while the host is suspended. So only the remaining time can be used for the
	// timer.
	ctx, cancel := context.WithTimeout(r.Context(), x.deadline.Sub(e.options.Clock()))
	defer cancel()
	x.serve(ctx)
}

// callerTimeout returns how long the caller waits.
func (x *exchange) callerTimeout() time.Duration {
	if x.info.HasDeadline {
		return x.info.Deadline
	}
	return defaultDeadline
}

// identify finds the route and the client account, and reads the body.
func (x *exchange) identify() *refusal {
	x.index = x.awaitCatalog()
	if x.index == nil {
		return &refusal{status: http.StatusServiceUnavailable, reason: ReasonNoCatalog, retryAfter: scaleDuration(x.callerTimeout(), maxRetryFraction)}
	}
	path, _, _ := strings.Cut(x.request.RequestURI, "?")
	route, found := x.index.Route(x.request.Host, path)
	if !found {
		return &refusal{status: http.StatusNotFound, reason: ReasonNoRoute}
	}
	x.route = route
	x.priority = route.Priority
	x.residency = btcatalog.NewResidency(route.Homes)
	if refused := x.authenticate(); refused != nil {
		return refused
	}
	x.deadline = x.receivedAt.Add(min(x.callerTimeout(), route.Timeout))
	x.open.setRoute(route, x.deadline)
	service, found := x.index.Service(route.PickService(rand.Float64()))
	if !found {
		return &refusal{status: http.StatusServiceUnavailable, reason: ReasonNoTarget, retryAfter: x.defaultRetryAfter()}
	}
	x.service = service
	x.prompt = btquarantine.NewPrompt(x.account, service.Name, x.info.PromptParts)
	return x.readBody()
}

// authenticate finds the client account of the caller's key.
func (x *exchange) authenticate() *refusal {
	if !x.index.RequiresKey() {
		return nil
	}
	account, found := x.index.Account(x.info.Key)
	if found {
		x.account = account.Name
		x.residency = btcatalog.NewResidency(x.route.Homes, account.Homes)
		if account.Priority != nil {
			x.priority = *account.Priority
		}
		return nil
	}
	if x.route.Public {
		return nil
	}
	return &refusal{status: http.StatusUnauthorized, reason: ReasonKeyUnknown}
}

// serve admits the request and makes attempts until it has an answer.
func (x *exchange) serve(ctx context.Context) {
	e := x.entry
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	x.ctx = ctx
	if x.refuseStopping() {
		return
	}
	x.open.setAccepted(func() {
		x.withdraw(ReasonStopTimeout)
		cancel()
	})
	if x.streams() {
		e.openStreams.Add(1)
		defer e.openStreams.Add(-1)
	}
	x.queueing = e.admission.queueParams(x)
	e.budget(x.service.Name).countRequest(e.options.Clock())
	defer e.quarantine.trackPrompt(x, cancel)()
	if x.refuseOnArrival() {
		return
	}
	defer e.quarantine.parts.Release(x.probe)
	again := true
	for again {
		again = x.serveOnce(ctx)
	}
}

// makeAttempts makes attempts until the request has its final answer. It returns true
// if the request should wait for a group to serve instead.
func (x *exchange) makeAttempts(ctx context.Context) (again bool) {
	e := x.entry
	// next is a successor that has begun to continue the stream.
	var next *successor
	defer func() { next.discard() }()
	for {
		// Checked before each attempt: while the request waited, another copy of it may
		// have crashed targets.
		if x.refuseQuarantined() {
			return false
		}
		if x.refuseOverdue() {
			return false
		}
		begun := next
		next = nil
		var t *target
		if begun != nil {
			t = begun.target
		} else if t, again = x.chooseTarget(ctx); t == nil {
			return again
		}
		result := x.attempt(ctx, t, begun)
		next = result.successor
		if result.complete {
			x.answered = true
			x.recordServed(result)
			return false
		}
		if x.waitsAgain(result) {
			e.meter.Retried(result.reason)
			e.logRetry(x, result)
			clear(x.tried)
			e.meter.Counter(metricGroupWaitsAgain).Inc(1)
			return true
		}
		if !x.retryOrEnd(ctx, result) {
			return false
		}
	}
}

// chooseTarget chooses a target and waits for its rate. If there is none it has ended the
// request, or again tells to wait for one.
func (x *exchange) chooseTarget(ctx context.Context) (t *target, again bool) {
	e := x.entry
	c := e.fleet.pick(pickRequest{
		service: x.service.Name, residency: x.residency, tokens: x.info.PromptTokens,
		tried: x.tried, maxWait: x.queueing.WaitUntil.Sub(e.options.Clock()),
	})
	if c.exhausted > 0 {
		e.meter.Counter(metricRatesSkipped).Inc(int64(c.exhausted))
	}
	x.noteSkipped(c.skipped)
	if c.target == nil && c.wait > 0 {
		x.endUnserved(ReasonTargetLimited, min(c.wait, x.defaultRetryAfter()))
		return nil, false
	}
	if resting := withExclusion(c.skipped, btpick.Resting); c.target == nil && len(resting) > 0 {
		return nil, x.endOrAwaitRest(resting)
	}
	if c.target == nil {
		x.endUnserved(noTargetReason(c), x.defaultRetryAfter())
		return nil, false
	}
	if !x.awaitRate(ctx, c) {
		return nil, false
	}
	return c.target, false
}

// noTargetReason returns the reason for which no target was chosen.
func noTargetReason(c choice) btrequest.Reason {
	for _, e := range []btpick.Exclusion{btpick.Leaving, btpick.Drained} {
		if len(withExclusion(c.skipped, e)) > 0 {
			return exclusionReasons[e]
		}
	}
	return ReasonNoTarget
}

// refuseOverdue refuses a request whose deadline has passed, and reports whether it
// did. The timers of a host that was suspended fire late by the time of the suspension.
func (x *exchange) refuseOverdue() bool {
	if x.entry.options.Clock().Before(x.deadline) {
		return false
	}
	x.endUnserved(ReasonTimeout, 0)
	return true
}

// retryOrEnd reports whether the request may be tried again. If not, it gives the final
// answer.
func (x *exchange) retryOrEnd(ctx context.Context, result attemptResult) bool {
	e := x.entry
	now := e.options.Clock()
	if x.callerGone() || callerLost(result.reason) {
		reason := ReasonCallerGone
		if result.reason == ReasonCallerStalled {
			reason = ReasonCallerStalled
		}
		e.logFailure(x, reason, result)
		x.abort()
		return false
	}
	if reason := x.withdrawnReason(); reason != "" {
		x.answerFailure(result, reason)
		return false
	}
	if ctx.Err() != nil || !now.Before(x.deadline) {
		e.logFailure(x, ReasonTimeout, result)
		x.refuseOrAbort(&refusal{status: http.StatusGatewayTimeout, reason: ReasonTimeout})
		return false
	}
	reason := x.retryDenied(result, now)
	if reason == "" {
		e.meter.Retried(result.reason)
		e.logRetry(x, result)
		return true
	}
	x.answerFailure(result, reason)
	return false
}

// maxNotRunAttempts limits the attempts that did not run, because the target refused
// the request or the connection.
const maxNotRunAttempts = 3

// retryDenied returns the reason for which the request must not be retried, or "".
func (x *exchange) retryDenied(result attemptResult, now time.Time) btrequest.Reason {
	if reason := x.quarantineReason(); reason != "" {
		return reason
	}
	if result.moved || result.retryTaken {
		return ""
	}
	if result.notRun {
		x.notRunAttempts++
		if x.notRunAttempts >= maxNotRunAttempts {
			return result.reason
		}
		if result.reason == ReasonNotSent || result.withheld {
			return ""
		}
	} else if !x.route.Repeatable() {
		return result.reason
	}
	if result.groupBroken && !x.groupAvailable() || x.attempts >= x.route.Attempts {
		return result.reason
	}
	if !x.entry.budget(x.service.Name).take(now) {
		return ReasonBudget
	}
	return ""
}

// groupAvailable reports whether the service has a group that isn't broken.
func (x *exchange) groupAvailable() bool {
	return x.entry.fleet.mayServe(x.service.Name)
}
