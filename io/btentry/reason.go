package btentry

import (
	"net/http"

	"bilberrytide/core/btclaim"
	"bilberrytide/core/btlimit"
	"bilberrytide/core/btqueue"
	"bilberrytide/core/btrequest"
	"bilberrytide/core/btroute"
	"bilberrytide/core/btserve"
	"bilberrytide/io/bthttp"
)

// Reasons for refusals by the entry.
const (
	// ReasonNoBundle: no bundle is in force yet.
	ReasonNoBundle btrequest.Reason = "no_bundle"
	// ReasonUnlisted: the bundle in force does not list this entry, so it has no share
	// of any limit.
	ReasonUnlisted btrequest.Reason = "entry_unlisted"
	// ReasonNoCredentials: the request carries no bearer key.
	ReasonNoCredentials btrequest.Reason = "no_credentials"
	// ReasonBadCredentials: the bearer key belongs to no client account.
	ReasonBadCredentials btrequest.Reason = "bad_credentials"
	// ReasonUnknownService: the bundle does not list the service.
	ReasonUnknownService btrequest.Reason = "unknown_service"
	// ReasonForbiddenService: the account may not use the service.
	ReasonForbiddenService btrequest.Reason = "forbidden_service"
	// ReasonWrongKind: the path is not valid for services of this kind.
	ReasonWrongKind btrequest.Reason = "wrong_kind"
	// ReasonKeyRequired: the service accepts modifying requests only with
	// Idempotency-Key.
	ReasonKeyRequired btrequest.Reason = "idempotency_key_required"
	// ReasonBodyLate: the body took most memory for longest while others needed it.
	ReasonBodyLate btrequest.Reason = "body_late"
	// ReasonQuarantined: the request has recently crashed targets.
	ReasonQuarantined btrequest.Reason = "quarantined"
	// ReasonAgentUnreachable: the agent received nothing of the request.
	ReasonAgentUnreachable btrequest.Reason = "agent_unreachable"
	// ReasonAgentLost: contact with the agent was lost before the answer.
	ReasonAgentLost btrequest.Reason = "agent_lost"
	// ReasonAnswerCut: the answer was interrupted and could not be resumed.
	ReasonAnswerCut btrequest.Reason = "answer_cut"
	// ReasonTargetError: the target answered with an error of its own.
	ReasonTargetError btrequest.Reason = "target_error"
	// ReasonDeadline: the deadline passed before the answer was complete.
	ReasonDeadline btrequest.Reason = "deadline"
	// ReasonCallerGone: the caller disconnected before the answer was complete.
	ReasonCallerGone btrequest.Reason = "caller_gone"
)

// httpStatuses maps reasons to HTTP statuses.
var httpStatuses = bthttp.StatusTable{
	ReasonNoBundle:              http.StatusServiceUnavailable,
	ReasonUnlisted:              http.StatusServiceUnavailable,
	ReasonNoCredentials:         http.StatusUnauthorized,
	ReasonBadCredentials:        http.StatusUnauthorized,
	ReasonUnknownService:        http.StatusNotFound,
	ReasonForbiddenService:      http.StatusForbidden,
	ReasonWrongKind:             http.StatusBadRequest,
	ReasonQuarantined:           http.StatusServiceUnavailable,
	ReasonKeyRequired:           http.StatusBadRequest,
	ReasonDeadline:              http.StatusGatewayTimeout,
	ReasonBodyLate:              http.StatusRequestTimeout,
	btserve.ReasonDeadline:      http.StatusGatewayTimeout,
	btlimit.ReasonRate:          http.StatusTooManyRequests,
	btlimit.ReasonConcurrency:   http.StatusTooManyRequests,
	btqueue.ReasonDeadline:      http.StatusGatewayTimeout,
	btroute.NoService:           http.StatusServiceUnavailable,
	btclaim.KeyExpired:          http.StatusConflict,
	btclaim.KeyInFuture:         http.StatusBadRequest,
	btclaim.KeyReused:           http.StatusUnprocessableEntity,
	btclaim.InProgressElsewhere: http.StatusConflict,
	btclaim.AnswerDropped:       http.StatusConflict,
}
