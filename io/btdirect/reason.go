package btdirect

import "bilberrytide/core/btrequest"

// Reasons for which a request is refused, retried or ends without its answer.
// Each is a counter's suffix and a field in logs.
const (
	// ReasonNoCatalog: the entry knows no configuration yet.
	ReasonNoCatalog btrequest.Reason = "no_catalog"
	// ReasonNoRoute: no route has the host and a prefix of the path.
	ReasonNoRoute btrequest.Reason = "no_route"
	// ReasonKeyUnknown: no account holds the request's key.
	ReasonKeyUnknown btrequest.Reason = "key_unknown"
	// ReasonBodyTooBig: the body is above the limit.
	ReasonBodyTooBig btrequest.Reason = "body_too_big"
	// ReasonBodyCut: the body broke off.
	ReasonBodyCut btrequest.Reason = "body_cut"
	// ReasonStopping: the entry is about to end and takes no more streams.
	ReasonStopping btrequest.Reason = "entry_stopping"
	// ReasonOverload: the service has as many requests as it can serve in time.
	ReasonOverload btrequest.Reason = "overload"
	// ReasonGroupBroken: the service's engine group isn't open.
	ReasonGroupBroken btrequest.Reason = "group_broken"
	// ReasonGroupIncomplete: the service's engine group isn't open and has not been all
	// there for so long that nobody should wait for it.
	ReasonGroupIncomplete btrequest.Reason = "group_incomplete"
	// ReasonQuarantined: targets have ended under the request, of late.
	ReasonQuarantined btrequest.Reason = "quarantined"
	// ReasonNoTarget: no target is known, or none is left to try.
	ReasonNoTarget btrequest.Reason = "no_target"
	// ReasonTargetLimited: all targets that are left name a rate of requests, and this
	// entry's part is used up.
	ReasonTargetLimited btrequest.Reason = "target_limited"
	// ReasonNotSent: no connection to the target could be had.
	ReasonNotSent btrequest.Reason = "not_sent"
	// ReasonTargetRefused: the target said that it did not run the request.
	ReasonTargetRefused btrequest.Reason = "target_refused"
	// ReasonMisdirected: another target has the address.
	ReasonMisdirected btrequest.Reason = "misdirected"
	// ReasonTargetError: the target ran the request and answered with an error.
	ReasonTargetError btrequest.Reason = "target_error"
	// ReasonTargetLost: contact was lost before the answer's head.
	ReasonTargetLost btrequest.Reason = "target_lost"
	// ReasonAnswerCut: the answer broke off.
	ReasonAnswerCut btrequest.Reason = "answer_cut"
	// ReasonForeignAnswer: the answer belongs to another request.
	ReasonForeignAnswer btrequest.Reason = "foreign_answer"
	// ReasonMalformedAnswer: the answer is not in the protocol.
	ReasonMalformedAnswer btrequest.Reason = "malformed_answer"
	// ReasonSilent: the stream's target sent nothing for too long.
	ReasonSilent btrequest.Reason = "target_silent"
	// ReasonTargetSlow: the request left a group's member that had turned slow.
	ReasonTargetSlow btrequest.Reason = "target_slow"
	// ReasonUnresponsive: the request left a group's member that had not begun to answer,
	// and whose host is frozen or cut off by what others say.
	ReasonUnresponsive btrequest.Reason = "target_unresponsive"
	// ReasonTimeout: the route's timeout or the caller's deadline has passed.
	ReasonTimeout btrequest.Reason = "timeout"
	// ReasonCallerGone: the caller closed its connection.
	ReasonCallerGone btrequest.Reason = "caller_gone"
	// ReasonBudget: too many recent requests were retries.
	ReasonBudget btrequest.Reason = "retry_budget"
)
