package btentry

import (
	"context"
	"net/http"
	"time"

	"bilberrytide/core/btbundle"
	"bilberrytide/core/btid"
	"bilberrytide/core/btrequest"
	"bilberrytide/io/btfront"
	"bilberrytide/io/bthttp"
)

// exchange is one request of a caller as it passes through the filters.
type exchange struct {
	id     btid.Request
	caller *http.Request
	writer http.ResponseWriter
	// connection is the caller's. read is set once the whole request has been read.
	connection *btfront.Conn
	read       bool
	answer     *bthttp.Answer
	received   time.Time
	deadline   time.Time
	// bundle is the bundle in force when the request arrived; it applies to the whole
	// request.
	bundle  *btbundle.Approved
	call    *bthttp.Call
	account *btbundle.Account
	service *btbundle.Service
	// limitRefusal is set if the account is over its limit but only the key home can
	// tell whether the request was run before.
	limitRefusal *btrequest.Refusal
	// reserved reports that capacity was reserved for the request when it was refused
	// before.
	reserved bool
	// queueDrain is how long the last agent that refused the request expects to take to
	// start all requests in its queue.
	queueDrain time.Duration
	// target is the target of the last attempt, for the log.
	target btid.Target
	// attempts is the number of attempts sent to agents.
	attempts int
}

// keyed reports whether the request may run at most once.
func (x *exchange) keyed() bool { return x.call.Key != "" }

// handler answers an exchange or returns the refusal.
type handler func(ctx context.Context, x *exchange) *btrequest.Refusal

// filter is one stage of the request path: it refuses the exchange or calls the next
// stage.
type filter interface {
	handle(ctx context.Context, x *exchange, next handler) *btrequest.Refusal
}

// chain returns a handler that passes exchanges through the filters to the last handler.
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

// accountName returns the client account for the log; empty if none was identified.
func (x *exchange) accountName() btid.Account {
	if x.account == nil {
		return ""
	}
	return x.account.Name
}

// serviceName returns the service for the log; empty if none was identified.
func (x *exchange) serviceName() btid.Service {
	if x.service == nil {
		return ""
	}
	return x.service.Name
}
