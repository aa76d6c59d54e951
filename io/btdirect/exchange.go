package btdirect

import (
	"context"
	"errors"
	"io"
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
	"bilberrytide/core/btquarantine"
	"bilberrytide/core/btrequest"
	"bilberrytide/core/btstop"
)

// exchange is one caller's request on its way.
type exchange struct {
	entry    *Entry
	writer   http.ResponseWriter
	caller   *http.Request
	call     RequestInfo
	body     []byte
	index    *btcatalog.Index
	route    *btcatalog.Route
	service  *btcatalog.Service
	account  btid.Account
	priority int
	received time.Time
	deadline time.Time
	// admitted is when the request got its place, began when its first event went out.
	admitted, began time.Time
	// stages is where its time went.
	stages stages
	// wait is how the request waits for an open group and for a place.
	wait btgate.Request

	tried map[btinventory.Instance]bool
	// attempts are those that a target may have begun to work on, turnedAway those
	// that none has.
	attempts   int
	turnedAway int
	// stream is the part of a streamed answer that went out.
	stream *streamWriter
	// move is that of the attempt in progress; nil where it may not move.
	move *move
	// mayHaveRun is set once a target may have begun to work on the request.
	mayHaveRun bool
	// whole tells that the caller has its whole answer.
	whole bool
	// fingerprint stands for the request's content; it is computed when first asked for.
	fingerprint func() btquarantine.Fingerprint
	// withdrawn is set when its attempt was cancelled as it is kept from targets.
	withdrawn atomic.Bool
	// answering is set once a part of a streamed answer has gone out.
	answering atomic.Bool
	// logged tells that the request's failure was logged.
	logged bool
}

// refusal is an answer of the entry's own.
type refusal struct {
	status     int
	reason     btrequest.Reason
	retryAfter time.Duration
}

// defaultDeadline is for callers that state none.
const defaultDeadline = time.Minute

// serveHTTP answers a caller's request.
func (e *Entry) serveHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{
		entry:    e,
		writer:   w,
		caller:   r,
		call:     e.options.Headers.ParseRequest(r.Header),
		received: e.options.Clock(),
		tried:    make(map[btinventory.Instance]bool),
	}
	x.fingerprint = sync.OnceValue(x.computeFingerprint)
	e.meter.Counter(metricRequests).Inc(1)
	if e.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	if refused := x.identify(); refused != nil {
		x.refuse(refused)
		return
	}
	// A timer goes by the steady clock, the deadline by one that runs on while the host
	// is suspended: only the time between two of its readings can be handed over.
	ctx, cancel := context.WithTimeout(r.Context(), x.deadline.Sub(e.options.Clock()))
	defer cancel()
	x.serve(ctx)
}

// patience is how long the caller waits.
func (x *exchange) patience() time.Duration {
	if x.call.HasDeadline {
		return x.call.Deadline
	}
	return defaultDeadline
}

// identify finds the route and the account, and reads the body.
func (x *exchange) identify() *refusal {
	x.index = x.awaitCatalog()
	if x.index == nil {
		return &refusal{status: http.StatusServiceUnavailable, reason: ReasonNoCatalog, retryAfter: share(x.patience(), retryShare)}
	}
	path, _, _ := strings.Cut(x.caller.RequestURI, "?")
	route, found := x.index.Route(x.caller.Host, path)
	if !found {
		return &refusal{status: http.StatusNotFound, reason: ReasonNoRoute}
	}
	x.route = route
	x.priority = route.Priority
	if refused := x.authenticate(); refused != nil {
		return refused
	}
	x.deadline = x.received.Add(min(x.patience(), route.Timeout))
	service, found := x.index.Service(route.Split(rand.Float64()))
	if !found {
		return &refusal{status: http.StatusServiceUnavailable, reason: ReasonNoTarget, retryAfter: x.later()}
	}
	x.service = service
	return x.readBody()
}

// authenticate finds the account that holds the caller's key.
func (x *exchange) authenticate() *refusal {
	if !x.index.Keyed() {
		return nil
	}
	account, found := x.index.Account(x.call.Key)
	if found {
		x.account = account.Name
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

// readBody reads the whole body, so that an attempt can be repeated and a
// caller that leaves is noticed.
func (x *exchange) readBody() *refusal {
	limit := x.index.Limits().BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if x.caller.ContentLength > limit {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: ReasonBodyTooBig}
	}
	if x.caller.ContentLength == 0 {
		return nil
	}
	body, err := io.ReadAll(http.MaxBytesReader(x.writer, x.caller.Body, limit))
	var tooBig *http.MaxBytesError
	if errors.As(err, &tooBig) {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: ReasonBodyTooBig}
	}
	if err != nil {
		return &refusal{status: http.StatusBadRequest, reason: ReasonBodyCut}
	}
	x.body = body
	return nil
}

// defaultBodyBytes is the body limit of a catalog that states none.
const defaultBodyBytes = 4 << 20

// serve admits the request and has it answered.
func (x *exchange) serve(ctx context.Context) {
	e := x.entry
	streams := x.route.Kind == btcatalog.Stream
	if phase := e.phase(); phase != btstop.Serving && (streams || phase != btstop.NoStreams) {
		x.refuse(&refusal{status: http.StatusServiceUnavailable, reason: ReasonStopping, retryAfter: x.elsewhere()})
		return
	}
	if streams {
		e.streams.Add(1)
		defer e.streams.Add(-1)
	}
	x.wait = e.admission.request(x)
	e.budget(x.service.Name).request(e.options.Clock())
	for x.turn(ctx) {
		e.meter.Counter(metricWaitsAnew).Inc(1)
	}
}

// run makes attempts until the request has its final answer, and returns false, or
// until it had better wait for a group to open.
func (x *exchange) run(ctx context.Context) (waits bool) {
	e := x.entry
	for {
		// Looked at before each attempt: while the request waited, targets may have
		// ended under another copy of it.
		if x.quarantined() {
			return false
		}
		if x.overdue() {
			return false
		}
		c := e.fleet.pick(x.service.Name, x.call.PromptTokens, x.tried, x.wait.WaitUntil.Sub(e.options.Clock()))
		if c.limited > 0 {
			e.meter.Counter(metricRatesPassedOver).Inc(int64(c.limited))
		}
		if c.target == nil && c.wait > 0 {
			x.turnDown(ReasonTargetLimited, min(c.wait, x.later()))
			return false
		}
		if c.target == nil {
			x.giveUp(&refusal{status: http.StatusServiceUnavailable, reason: ReasonNoTarget, retryAfter: x.later()})
			return false
		}
		if !x.awaitPlace(ctx, c) {
			return false
		}
		result := x.attempt(ctx, c.target)
		if result.done {
			x.whole = true
			x.served(result)
			return false
		}
		if x.waitsAnew(result) {
			e.meter.Retried(result.reason)
			e.retryLine(x, result)
			clear(x.tried)
			return true
		}
		if !x.again(ctx, result) {
			return false
		}
	}
}

// overdue ends a request that waited until after its deadline, and tells whether it is
// one: the timers of a host that was suspended are late by as much.
func (x *exchange) overdue() bool {
	if x.entry.options.Clock().Before(x.deadline) {
		return false
	}
	x.turnDown(ReasonTimeout, 0)
	return true
}

// again decides on another attempt; where there is none it gives the final
// answer.
func (x *exchange) again(ctx context.Context, result attemptResult) bool {
	e := x.entry
	now := e.options.Clock()
	if x.gone() {
		e.logFailure(x, ReasonCallerGone, result)
		x.abort()
		return false
	}
	if ctx.Err() != nil || !now.Before(x.deadline) {
		e.logFailure(x, ReasonTimeout, result)
		x.giveUp(&refusal{status: http.StatusGatewayTimeout, reason: ReasonTimeout})
		return false
	}
	reason := x.mayRetry(result, now)
	if reason == "" {
		e.meter.Retried(result.reason)
		e.retryLine(x, result)
		return true
	}
	x.failed(result, reason)
	return false
}

// maxTurnedAway is how many targets may turn a request away, by their own word or
// as they take no connection: it has run at none of them.
const maxTurnedAway = 3

// mayRetry returns why the request is not tried again, or "".
func (x *exchange) mayRetry(result attemptResult, now time.Time) btrequest.Reason {
	if _, held := x.entry.quarantine.Left(x.fingerprint); held {
		return ReasonQuarantined
	}
	if result.moved {
		return ""
	}
	if result.notRun {
		x.turnedAway++
		if x.turnedAway >= maxTurnedAway {
			return result.reason
		}
		if result.reason == ReasonNotSent {
			return ""
		}
	} else if !x.route.Repeatable() {
		return result.reason
	}
	if result.groupBroken && !x.otherGroup() || x.attempts >= x.route.Attempts {
		return result.reason
	}
	if !x.entry.budget(x.service.Name).take(now) {
		return ReasonBudget
	}
	return ""
}

// otherGroup tells whether a group of the service is left that is not broken.
func (x *exchange) otherGroup() bool {
	return x.entry.fleet.mayOpen(x.service.Name)
}

// failed gives the final answer after the last attempt.
func (x *exchange) failed(result attemptResult, reason btrequest.Reason) {
	x.entry.admission.turnedAway()
	x.entry.logFailure(x, reason, result)
	if result.held != nil && !x.streaming() {
		x.relayHeld(result.held)
		return
	}
	if x.mayHaveRun {
		x.giveUp(&refusal{status: http.StatusBadGateway, reason: reason})
		return
	}
	x.giveUp(&refusal{status: http.StatusServiceUnavailable, reason: reason, retryAfter: x.later()})
}

// giveUp ends the request with an answer of the entry's own; a stream of which
// a part went out is cut off visibly.
func (x *exchange) giveUp(r *refusal) {
	if x.streaming() {
		x.entry.logFailure(x, r.reason, attemptResult{reason: r.reason})
		x.abort()
		return
	}
	x.refuse(r)
}

func (x *exchange) streaming() bool { return x.stream != nil && x.stream.begun }

// gone tells whether the caller has left.
func (x *exchange) gone() bool { return x.caller.Context().Err() != nil }

// abort closes the caller's connection so that its answer can't look whole.
func (x *exchange) abort() { panic(http.ErrAbortHandler) }

// refuse answers at once.
func (x *exchange) refuse(r *refusal) {
	e := x.entry
	e.meter.Refused(r.reason)
	e.refusedLine(x, r)
	h := x.writer.Header()
	e.options.Headers.SetRefusal(h, x.call.ID, r.retryAfter)
	h.Set("Content-Type", "text/plain; charset=utf-8")
	x.writer.WriteHeader(r.status)
	// The caller that left is the only error, and hears nothing more.
	_, _ = io.WriteString(x.writer, string(r.reason)+"\n")
}
