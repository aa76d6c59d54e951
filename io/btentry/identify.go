package btentry

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"bilberrytide/core/btbundle"
	"bilberrytide/core/btid"
	"bilberrytide/core/btrequest"
	"bilberrytide/io/bthttp"
)

// bundleWait is when a caller should come back to an entry that has just
// started.
const bundleWait = time.Second

// bearer is the scheme of the callers' credentials, in any case.
const bearer = "Bearer"

// unlistedWait is when a caller should come back, who then reaches another entry.
const unlistedWait = time.Second

// identify finds the client account and the service, and reads the request.
type identify struct {
	self    btid.Entry
	current func() *btbundle.Approved
	// timer returns a moment of the entry's as timers and sockets know it.
	timer  func(time.Time) time.Time
	bodies *bthttp.BodyBudget
}

var _ filter = (*identify)(nil)

func (f *identify) handle(ctx context.Context, x *exchange, next handler) *btrequest.Refusal {
	if refusal := f.account(x); refusal != nil {
		return refusal
	}
	call, refusal := bthttp.ReadHead(x.caller)
	if refusal != nil {
		return refusal
	}
	x.call = call
	defer call.Release()
	if refusal := f.listed(x); refusal != nil {
		return refusal
	}
	x.deadline = x.received.Add(f.timeout(x))
	if refusal := f.read(x); refusal != nil {
		return refusal
	}
	ctx, cancel := context.WithDeadline(ctx, f.timer(x.deadline.Add(evidenceGrace)))
	defer cancel()
	return next(ctx, x)
}

// listed refuses what comes to an entry that the bundle does not list. A request
// with a key may have run before, which only its home knows.
func (f *identify) listed(x *exchange) *btrequest.Refusal {
	if _, found := x.bundle.Index.Entry(f.self); found {
		return nil
	}
	if x.keyed() {
		return btrequest.RefuseUnknown(ReasonUnlisted, unlistedWait, "bundle %d does not list this entry, which can't tell whether the key was used before", x.bundle.Bundle.Version)
	}
	return btrequest.Refuse(ReasonUnlisted, unlistedWait, "bundle %d does not list this entry", x.bundle.Bundle.Version)
}

// read reads the body and finds the service, in the order in which each is
// known. A body that trickles in is given up at the request's deadline.
func (f *identify) read(x *exchange) *btrequest.Refusal {
	x.answer.SetReadDeadline(f.timer(x.deadline))
	defer x.answer.SetReadDeadline(time.Time{})
	if !x.call.ChatCompletion {
		if refusal := f.service(x); refusal != nil {
			return refusal
		}
		return x.call.ReadBody(x.caller, f.bodies, x.service.MaxBody)
	}
	if refusal := x.call.ReadCompletion(x.caller, f.bodies); refusal != nil {
		return refusal
	}
	if refusal := f.service(x); refusal != nil {
		return refusal
	}
	return x.call.CheckSize(x.service.MaxBody)
}

func (f *identify) account(x *exchange) *btrequest.Refusal {
	x.bundle = f.current()
	if x.bundle == nil {
		return btrequest.Refuse(ReasonNoBundle, bundleWait, "this entry has no bundle in force yet")
	}
	text := x.caller.Header.Get("Authorization")
	scheme, key, found := strings.Cut(text, " ")
	if !found || !strings.EqualFold(scheme, bearer) || key == "" {
		return btrequest.Refuse(ReasonNoCredentials, 0, "header Authorization: want \"Bearer\" and a key")
	}
	account, found := x.bundle.Index.AccountByKey(key)
	if !found {
		return btrequest.Refuse(ReasonBadCredentials, 0, "header Authorization: no client account holds this key")
	}
	x.account = account
	return nil
}

func (f *identify) service(x *exchange) *btrequest.Refusal {
	name := x.call.Service
	service, found := x.bundle.Index.Service(name)
	if !found {
		return btrequest.Refuse(ReasonUnknownService, 0, "no service %q in bundle %d", name, x.bundle.Bundle.Version)
	}
	if !x.account.MayUse(name) {
		return btrequest.Refuse(ReasonForbiddenService, 0, "client account %s may not ask for service %q", x.account.Name, name)
	}
	x.service = service
	if x.call.ChatCompletion && service.Kind != btbundle.Model {
		return btrequest.Refuse(ReasonWrongKind, 0, "service %q is not a model; use %s%s/…", name, bthttp.PathServices, name)
	}
	if service.KeyRequired && !x.keyed() && changes(x.call.Method) {
		return btrequest.Refuse(ReasonKeyRequired, 0, "service %q takes %s only with header %s", name, x.call.Method, bthttp.HeaderIdempotencyKey)
	}
	return nil
}

var changing = []string{http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete}

func changes(method string) bool { return slices.Contains(changing, method) }

func (f *identify) timeout(x *exchange) time.Duration {
	t := x.bundle.Bundle.Timeouts
	if x.call.Timeout == 0 {
		return t.Request.Duration
	}
	return min(x.call.Timeout, t.RequestMax.Duration)
}
