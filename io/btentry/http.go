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
	"bilberrytide/io/bthttp"
)

// serveHTTP answers one caller's request.
func (e *Entry) serveHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{
		id:       e.nextID(),
		caller:   r,
		writer:   w,
		received: e.options.Elapsed(),
		answer:   bthttp.NewAnswer(w, r.Method, statuses),
	}
	w.Header().Set(bthttp.HeaderRequest, x.id.String())
	if current := e.options.Bundles.Current(); current != nil {
		w.Header().Set(bthttp.HeaderBundle, strconv.FormatUint(uint64(current.Bundle.Version), 10))
	}
	x.answer.SetWriteDeadline(e.timer(x.received.Add(e.longest() + answerGrace)))
	switch {
	case r.URL.Path == bthttp.PathModels && r.Method == http.MethodGet:
		e.exchange(x, e.listModels)
	case r.URL.Path == bthttp.PathIdempotencyKeys && r.Method == http.MethodPost:
		e.exchange(x, e.issueKey)
	default:
		e.exchange(x, e.path)
	}
}

// answerGrace is how long after its deadline a request's answer may take to be
// written, a refusal for the passed deadline among them.
const answerGrace = 5 * time.Second

// exchange has a request handled and writes what came of it.
func (e *Entry) exchange(x *exchange, handle handler) {
	deadline := x.received.Add(e.longest())
	e.stop.Began(x.id, deadline)
	defer e.stop.Ended(x.id)
	refusal := handle(x.caller.Context(), x)
	e.note(x, refusal)
	if refusal != nil {
		x.answer.Fail(refusal)
	}
}

// left returns how long it is until a moment of the clock that runs on while the host
// is suspended.
func (e *Entry) left(until time.Time) time.Duration { return until.Sub(e.options.Elapsed()) }

// timer returns the same moment for timers and sockets, which go by the steady clock.
func (e *Entry) timer(at time.Time) time.Time { return time.Now().Add(e.left(at)) }

// longest is the latest deadline that a request may have.
func (e *Entry) longest() time.Duration {
	if current := e.options.Bundles.Current(); current != nil {
		return current.Bundle.Timeouts.RequestMax.Duration
	}
	return 0
}

// note counts and logs how a request ended.
func (e *Entry) note(x *exchange, refusal *btrequest.Refusal) {
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

// model is one line of the list of models, as clients of model services know
// it.
type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// models is the list of models.
type models struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

// listModels answers with the models that the account may ask for.
func (e *Entry) listModels(_ context.Context, x *exchange) *btrequest.Refusal {
	id := &identify{current: e.options.Bundles.Current}
	if refusal := id.account(x); refusal != nil {
		return refusal
	}
	list := models{Object: "list", Data: []model{}}
	for _, s := range x.bundle.Bundle.Services {
		if s.Kind == btbundle.Model && x.account.MayUse(s.Name) {
			list.Data = append(list.Data, model{ID: string(s.Name), Object: "model", OwnedBy: "bilberrytide"})
		}
	}
	return writeJSON(x, list)
}

// issued is a new idempotency key for a caller without a clock to trust.
type issued struct {
	Key btrequest.Key `json:"idempotency_key"`
}

// issueKey answers with an idempotency key that carries this entry's time.
func (e *Entry) issueKey(_ context.Context, x *exchange) *btrequest.Refusal {
	id := &identify{current: e.options.Bundles.Current}
	if refusal := id.account(x); refusal != nil {
		return refusal
	}
	key, err := btclaim.NewKey(e.options.Clock(), rand.Reader)
	if err != nil {
		return btrequest.Refuse(reasonNoEntropy, lostWait, "no random numbers: %v", err)
	}
	return writeJSON(x, issued{Key: key})
}

const reasonNoEntropy btrequest.Reason = "no_entropy"

// writeJSON answers with a value of this entry's own.
func writeJSON(x *exchange, value any) *btrequest.Refusal {
	data, err := json.Marshal(value)
	if err != nil {
		// The values are plain structs of strings.
		panic(err)
	}
	x.answer.Begin(http.StatusOK, http.Header{"Content-Type": {"application/json"}})
	_ = x.answer.Add(append(data, '\n'))
	if err := x.answer.Finish(); err != nil {
		return btrequest.RefuseUnknown(ReasonCallerGone, 0, "%v", err)
	}
	return nil
}
