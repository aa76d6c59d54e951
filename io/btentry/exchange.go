package btentry

import (
	"context"
	"net/http"
	"time"

	"bilberrytide/core/btbundle"
	"bilberrytide/core/btid"
	"bilberrytide/core/btrequest"
	"bilberrytide/io/bthttp"
)

// exchange is one caller's request on its way through the filters.
type exchange struct {
	id       btid.Request
	caller   *http.Request
	writer   http.ResponseWriter
	answer   *bthttp.Answer
	received time.Time
	deadline time.Time
	// bundle is the one in force when the request came; the whole request is
	// decided by it.
	bundle  *btbundle.Approved
	call    *bthttp.Call
	account *btbundle.Account
	service *btbundle.Service
	// limited is set where the account is over its limit, but only the key's
	// home can tell whether the request was run before.
	limited *btrequest.Refusal
	// reserved tells that room was kept for the request when it was refused
	// before.
	reserved bool
	// drained is what the last agent that refused expects of its queue.
	drained time.Duration
	// target is where the last attempt went, for the log.
	target btid.Target
	// attempts counts the attempts sent to agents.
	attempts int
}

// keyed tells whether the request may run only once.
func (x *exchange) keyed() bool { return x.call.Key != "" }

// handler answers an exchange or returns why it doesn't.
type handler func(ctx context.Context, x *exchange) *btrequest.Refusal

// filter is one stage of the request path: it decides, and lets the next one go
// on.
type filter interface {
	handle(ctx context.Context, x *exchange, next handler) *btrequest.Refusal
}

// chain puts filters in a row before the last handler.
func chain(last handler, filters ...filter) handler {
	next := last
	for i := len(filters) - 1; i >= 0; i-- {
		f, after := filters[i], next
		next = func(ctx context.Context, x *exchange) *btrequest.Refusal {
			return f.handle(ctx, x, after)
		}
	}
	return next
}

// accountName is the client account for the log, empty where none was found.
func (x *exchange) accountName() btid.Account {
	if x.account == nil {
		return ""
	}
	return x.account.Name
}

// serviceName is the service for the log, empty where none was found.
func (x *exchange) serviceName() btid.Service {
	if x.service == nil {
		return ""
	}
	return x.service.Name
}
