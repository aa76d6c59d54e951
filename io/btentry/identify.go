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

// noBundleRetryAfter is the Retry-After of an entry that has just started.
const noBundleRetryAfter = time.Second

// bearerScheme is the authentication scheme of callers; its case is ignored.
const bearerScheme = "Bearer"

// unlistedRetryAfter is the Retry-After of an entry that is not listed; the next request
// reaches another entry.
const unlistedRetryAfter = time.Second

// identify identifies the client account and the service, and reads the request.
type identify struct {
	self    btid.Entry
	current func() *btbundle.Approved
	// timerTime is Entry.timerTime.
	timerTime func(time.Time) time.Time
}

var _ filter = (*identify)(nil)

func (f *identify) handle(ctx context.Context, x *exchange, next handler) *btrequest.Refusal {
	if refusal := f.findAccount(x); refusal != nil {
		return refusal
	}
	call, refusal := bthttp.ReadHead(x.caller)
	if refusal != nil {
		return refusal
	}
	x.call = call
	defer call.Release()
	if refusal := f.checkListed(x); refusal != nil {
		return refusal
	}
	x.deadline = x.received.Add(f.timeout(x))
	if refusal := f.readBody(x); refusal != nil {
		return x.bodyLate(refusal)
	}
	x.read = true
	if x.connection != nil && !x.connection.Serve() {
		return refuseLate()
	}
	ctx, cancel := context.WithDeadline(ctx, f.timerTime(x.deadline.Add(agentReplyGrace)))
	defer cancel()
	return next(ctx, x)
}

// checkListed refuses requests if the bundle does not list this entry. A request with an
// idempotency key may have run before, which only the key home knows.
func (f *identify) checkListed(x *exchange) *btrequest.Refusal {
	if _, found := x.bundle.Index.Entry(f.self); found {
		return nil
	}
	if x.keyed() {
		return btrequest.RefuseUnknown(ReasonUnlisted, unlistedRetryAfter, "bundle %d does not list this entry, which can't tell whether the key was used before", x.bundle.Bundle.Version)
	}
	return btrequest.Refuse(ReasonUnlisted, unlistedRetryAfter, "bundle %d does not list this entry", x.bundle.Bundle.Version)
}

// readBody reads the body and identifies the service, whichever can come first. Reading
// ends at the request's deadline, so that a slow body doesn't hold the request longer.
func (f *identify) readBody(x *exchange) *btrequest.Refusal {
	x.answer.SetReadDeadline(f.timerTime(x.deadline))
	defer x.answer.SetReadDeadline(time.Time{})
	if !x.call.ChatCompletion {
		if refusal := f.findService(x); refusal != nil {
			return refusal
		}
		return x.call.ReadBody(x.caller, callerMemory{x.connection}, x.service.MaxBody)
	}
	if refusal := x.call.ReadCompletion(x.caller, callerMemory{x.connection}); refusal != nil {
		return refusal
	}
	if refusal := f.findService(x); refusal != nil {
		return refusal
	}
	return x.call.CheckSize(x.service.MaxBody)
}

func (f *identify) findAccount(x *exchange) *btrequest.Refusal {
	x.bundle = f.current()
	if x.bundle == nil {
		return btrequest.Refuse(ReasonNoBundle, noBundleRetryAfter, "this entry has no bundle in force yet")
	}
	text := x.caller.Header.Get("Authorization")
	scheme, key, found := strings.Cut(text, " ")
	if !found || !strings.EqualFold(scheme, bearerScheme) || key == "" {
		return btrequest.Refuse(ReasonNoCredentials, 0, "header Authorization: want \"Bearer\" and a key")
	}
	account, found := x.bundle.Index.AccountByKey(key)
	if !found {
		return btrequest.Refuse(ReasonBadCredentials, 0, "header Authorization: no client account holds this key")
	}
	x.account = account
	return nil
}

func (f *identify) findService(x *exchange) *btrequest.Refusal {
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
	if service.KeyRequired && !x.keyed() && modifies(x.call.Method) {
		return btrequest.Refuse(ReasonKeyRequired, 0, "service %q takes %s only with header %s", name, x.call.Method, bthttp.HeaderIdempotencyKey)
	}
	return nil
}

var modifyingMethods = []string{http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete}

func modifies(method string) bool { return slices.Contains(modifyingMethods, method) }

func (f *identify) timeout(x *exchange) time.Duration {
	t := x.bundle.Bundle.Timeouts
	if x.call.Timeout == 0 {
		return t.Request.Duration
	}
	return min(x.call.Timeout, t.RequestMax.Duration)
}
