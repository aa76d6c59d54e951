package btentry

import (
	"context"

	"bilberrytide/core/btquarantine"
	"bilberrytide/core/btrequest"
	"bilberrytide/io/btprocess"
)

// quarantine is the filter that refuses requests under which targets have ended.
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

// refuse returns the refusal of a request that is kept from targets, nil for others.
// Whether one with a key has run before only its home knows.
func (q quarantine) refuse(x *exchange) *btrequest.Refusal {
	left, held := q.isolation.Remaining(x.fingerprint)
	if !held {
		return nil
	}
	const text = "targets have ended under this request"
	if x.keyed() {
		return btrequest.RefuseUnknown(ReasonQuarantined, left, text)
	}
	return btrequest.Refuse(ReasonQuarantined, left, text)
}

// fingerprint stands for the request's content, by which it is known when it comes
// again.
func (x *exchange) fingerprint() btquarantine.Fingerprint {
	return btquarantine.Content{
		Account: x.account.Name,
		Host:    string(x.service.Name),
		Method:  x.call.Method,
		URI:     x.call.Path,
		Body:    x.call.Body,
	}.Fingerprint()
}
