package btentry

import (
	"context"

	"bilberrytide/core/btquarantine"
	"bilberrytide/core/btrequest"
	"bilberrytide/io/btprocess"
)

// quarantine is the filter that refuses requests that have crashed targets.
type quarantine struct {
	isolation *btprocess.Isolation
}

var _ filter = quarantine{}

func (q quarantine) handle(ctx context.Context, x *exchange, next handler) *btrequest.Refusal {
	if refusal := q.refuse(x); refusal != nil {
		return refusal
	}
	return next(ctx, x)
}

// refuse returns the refusal of a quarantined request, and nil for any other. Only the
// key home knows whether a request with an idempotency key has run before, so its
// outcome is unknown.
func (q quarantine) refuse(x *exchange) *btrequest.Refusal {
	remaining, quarantined := q.isolation.Remaining(x.fingerprint)
	if !quarantined {
		return nil
	}
	const text = "targets have ended under this request"
	if x.keyed() {
		return btrequest.RefuseUnknown(ReasonQuarantined, remaining, text)
	}
	return btrequest.Refuse(ReasonQuarantined, remaining, text)
}

// fingerprint returns the fingerprint of the request's content, by which it is
// recognised when it is sent again.
func (x *exchange) fingerprint() btquarantine.Fingerprint {
	return btquarantine.Content{
		Account: x.account.Name,
		Host:    string(x.service.Name),
		Method:  x.call.Method,
		URI:     x.call.Path,
		Body:    x.call.Body,
	}.Fingerprint()
}
