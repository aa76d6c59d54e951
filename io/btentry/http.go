package btentry

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"bilberrytide/core/btbundle"
	"bilberrytide/core/btclaim"
	"bilberrytide/core/btrequest"
	"bilberrytide/io/btfront"
	"bilberrytide/io/bthttp"
)

// serveHTTP serves one request of a caller.
func (e *Entry) serveHTTP(w http.ResponseWriter, r *http.Request) {
	w = closingWriter{ResponseWriter: w, closing: func() bool { return e.stop.Stopping() || e.front.Crowded() }}
	x := &exchange{
		id:         e.nextID(),
		caller:     r,
		writer:     w,
		connection: btfront.Of(r.Context()),
		read:       !hasBody(r),
		received:   e.options.Elapsed(),
		answer:     bthttp.NewAnswer(w, r.Method, httpStatuses),
	}
	x.answer.LimitMemory(callerMemory{x.connection})
	defer x.answer.Release()
	w.Header().Set(bthttp.HeaderRequest, x.id.String())
	if current := e.options.Bundles.Current(); current != nil {
		w.Header().Set(bthttp.HeaderBundle, strconv.FormatUint(uint64(current.Bundle.Version), 10))
	}
	x.answer.SetWriteDeadline(e.timerTime(x.received.Add(e.maxTimeout() + answerGrace)))
	switch {
	case r.URL.Path == bthttp.PathModels && r.Method == http.MethodGet:
		e.handleExchange(x, e.listModels)
	case r.URL.Path == bthttp.PathIdempotencyKeys && r.Method == http.MethodPost:
		e.handleExchange(x, e.issueKey)
	default:
		e.handleExchange(x, e.handleRequest)
	}
}

// answerGrace is how long after the deadline of a request its answer, or the refusal for
// the passed deadline, may take to be written.
const answerGrace = 5 * time.Second

// handleExchange calls the handler, records the outcome and writes the refusal, if any.
func (e *Entry) handleExchange(x *exchange, handle handler) {
	deadline := x.received.Add(e.maxTimeout())
	e.stop.Began(x.id, deadline)
	defer e.stop.Ended(x.id)
	refusal := handle(x.caller.Context(), x)
	e.recordOutcome(x, refusal)
	if refusal != nil {
		x.closeUnread()
		x.answer.Fail(refusal)
	}
}

// timeLeft returns the time until a moment of the clock that advances while the host is
// suspended.
func (e *Entry) timeLeft(until time.Time) time.Duration { return until.Sub(e.options.Elapsed()) }

// timerTime converts a moment of that clock for timers and sockets, which use the
// monotonic clock that stops during a suspension.
func (e *Entry) timerTime(at time.Time) time.Time { return time.Now().Add(e.timeLeft(at)) }

// maxTimeout returns the longest timeout that a request may have.
func (e *Entry) maxTimeout() time.Duration {
	if current := e.options.Bundles.Current(); current != nil {
		return current.Bundle.Timeouts.RequestMax.Duration
	}
	return 0
}

// recordOutcome counts and logs the outcome of a request.
func (e *Entry) recordOutcome(x *exchange, refusal *btrequest.Refusal) {
	outcome := btrequest.Done
	var reason btrequest.Reason
	if refusal != nil {
		outcome = refusal.Outcome
		reason = refusal.Reason
		e.options.Meter.Refused(reason)
	}
	e.options.Meter.Ended(outcome)
	took := e.options.Elapsed().Sub(x.received)
	e.options.Meter.Duration("request_us", took)
	e.options.Log.Info("request",
		"request", x.id, "outcome", outcome, "reason", reason, "took", took,
		"account", x.accountName(), "service", x.serviceName(), "target", x.target,
		"attempts", x.attempts, "bundle_version", x.bundle.Revision().Version)
}

// modelItem is a model in the format that clients of model services expect.
type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// modelList is the answer to PathModels.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

// listModels answers with the models that the account may use.
func (e *Entry) listModels(_ context.Context, x *exchange) *btrequest.Refusal {
	id := &identify{current: e.options.Bundles.Current}
	if refusal := id.findAccount(x); refusal != nil {
		return refusal
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, s := range x.bundle.Bundle.Services {
		if s.Kind == btbundle.Model && x.account.MayUse(s.Name) {
			list.Data = append(list.Data, modelItem{ID: string(s.Name), Object: "model", OwnedBy: "bilberrytide"})
		}
	}
	return writeJSON(x, list)
}

// issuedKey is a new idempotency key for a caller that has no reliable clock.
type issuedKey struct {
	Key btrequest.Key `json:"idempotency_key"`
}

// issueKey answers with an idempotency key that contains this entry's time.
func (e *Entry) issueKey(_ context.Context, x *exchange) *btrequest.Refusal {
	id := &identify{current: e.options.Bundles.Current}
	if refusal := id.findAccount(x); refusal != nil {
		return refusal
	}
	key, err := btclaim.NewKey(e.options.Clock(), rand.Reader)
	if err != nil {
		return btrequest.Refuse(reasonNoEntropy, lostRetryAfter, "no random numbers: %v", err)
	}
	return writeJSON(x, issuedKey{Key: key})
}

const reasonNoEntropy btrequest.Reason = "no_entropy"

// writeJSON answers with a value of the entry itself.
func writeJSON(x *exchange, value any) *btrequest.Refusal {
	data, err := json.Marshal(value)
	if err != nil {
		// Plain structs of strings always encode.
		panic(err)
	}
	x.answer.Begin(http.StatusOK, http.Header{"Content-Type": {"application/json"}})
	_ = x.answer.Add(append(data, '\n'))
	if err := x.answer.Finish(); err != nil {
		return btrequest.RefuseUnknown(ReasonCallerGone, 0, "%v", err)
	}
	return nil
}
