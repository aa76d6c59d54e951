package btdirect

import "bilberrytide/core/btrequest"

// Reasons for which a request is refused, retried or ends without its answer.
// Each is a counter's suffix and a field in logs.
const (
	// ReasonNoCatalog: the entry has no catalog yet.
	ReasonNoCatalog btrequest.Reason = "no_catalog"
	// ReasonNoRoute: no route matches the host and a prefix of the path.
	ReasonNoRoute btrequest.Reason = "no_route"
	// ReasonKeyUnknown: no client account has the request's key.
	ReasonKeyUnknown btrequest.Reason = "key_unknown"
	// ReasonBodyTooBig: the body exceeds the limit.
	ReasonBodyTooBig btrequest.Reason = "body_too_big"
	// ReasonMemory: the entry buffers as many bytes of requests and answers as its memory
	// allows.
	ReasonMemory btrequest.Reason = "memory"
	// ReasonBodyLate: the body wasn't received in time, or took most memory for longest
	// while others needed it.
	ReasonBodyLate btrequest.Reason = "body_late"
	// ReasonBodyCut: the body broke off.
	ReasonBodyCut btrequest.Reason = "body_cut"
	// ReasonStopping: the entry is shutting down and accepts no more requests of this
	// kind.
	ReasonStopping btrequest.Reason = "entry_stopping"
	// ReasonStopTimeout: the request was still open at the end of a planned stop. It was
	// answered as unknown, or cut if a part of its answer had been sent.
	ReasonStopTimeout btrequest.Reason = "stop_timeout"
	// ReasonProcessEnded: the process ended without a planned stop, or before its end.
	ReasonProcessEnded btrequest.Reason = "process_ended"
	// ReasonPanic: a defect of the entry ended the request.
	ReasonPanic btrequest.Reason = "panic"
	// ReasonOverload: the service has no free slot in time.
	ReasonOverload btrequest.Reason = "overload"
	// ReasonGroupBroken: the service's engine group doesn't serve.
	ReasonGroupBroken btrequest.Reason = "group_broken"
	// ReasonGroupIncomplete: the service's engine group doesn't serve and has lacked
	// ranks for so long that requests don't wait for it.
	ReasonGroupIncomplete btrequest.Reason = "group_incomplete"
	// ReasonQuarantined: targets crashed recently while running the request.
	ReasonQuarantined btrequest.Reason = "quarantined"
	// ReasonPartQuarantined: targets crashed recently as they began requests with a part of
	// the prompt.
	ReasonPartQuarantined btrequest.Reason = "part_quarantined"
	// ReasonNoTarget: no target is known, or none is left to try.
	ReasonNoTarget btrequest.Reason = "no_target"
	// ReasonTargetLimited: all targets that are left advertise a rate, and this entry's
	// share of it is used up.
	ReasonTargetLimited btrequest.Reason = "target_limited"
	// ReasonTargetResting: all targets that are left have asked this entry for rest.
	ReasonTargetResting btrequest.Reason = "target_resting"
	// ReasonTargetLeaving: all targets that are left have announced that they are leaving,
	// and no longer serve.
	ReasonTargetLeaving btrequest.Reason = "target_leaving"
	// ReasonDataCentreDrained: all targets that are left are in data centres that the
	// operator has drained.
	ReasonDataCentreDrained btrequest.Reason = "data_centre_drained"
	// ReasonOutsideHome: no target is in a region in which the route and the client account
	// allow the request to be run.
	ReasonOutsideHome btrequest.Reason = "outside_home_regions"
	// ReasonNotSent: no connection to the target could be opened.
	ReasonNotSent btrequest.Reason = "not_sent"
	// ReasonTargetRefused: the target says that it did not run the request.
	ReasonTargetRefused btrequest.Reason = "target_refused"
	// ReasonMisdirected: another target has the address.
	ReasonMisdirected btrequest.Reason = "misdirected"
	// ReasonTargetError: the target ran the request and answered with an error.
	ReasonTargetError btrequest.Reason = "target_error"
	// ReasonTargetLost: the connection was lost before the answer's header arrived.
	ReasonTargetLost btrequest.Reason = "target_lost"
	// ReasonAnswerCut: the answer broke off.
	ReasonAnswerCut btrequest.Reason = "answer_cut"
	// ReasonForeignAnswer: the answer belongs to another request.
	ReasonForeignAnswer btrequest.Reason = "foreign_answer"
	// ReasonMalformedAnswer: the answer violates the protocol.
	ReasonMalformedAnswer btrequest.Reason = "malformed_answer"
	// ReasonSilent: the stream's target sent nothing for too long.
	ReasonSilent btrequest.Reason = "target_silent"
	// ReasonUnfinished: the target didn't finish the body of a plain answer in time.
	ReasonUnfinished btrequest.Reason = "target_unfinished"
	// ReasonTargetSlow: the request moved away from a group member that had become
	// slow.
	ReasonTargetSlow btrequest.Reason = "target_slow"
	// ReasonUnresponsive: the request moved away from an unresponsive group member,
	// which had not begun to answer and whose host other processes report as frozen or
	// cut off.
	ReasonUnresponsive btrequest.Reason = "target_unresponsive"
	// ReasonTimeout: the route's timeout or the caller's deadline has passed.
	ReasonTimeout btrequest.Reason = "timeout"
	// ReasonCallerGone: the caller closed its connection.
	ReasonCallerGone btrequest.Reason = "caller_gone"
	// ReasonCallerStalled: the caller accepted nothing of its answer for some seconds.
	ReasonCallerStalled btrequest.Reason = "caller_stalled"
	// ReasonBudget: the retry budget is used up.
	ReasonBudget btrequest.Reason = "retry_budget"
)

// isQuarantined reports whether the reason is a quarantine.
func isQuarantined(r btrequest.Reason) bool {
	return r == ReasonQuarantined || r == ReasonPartQuarantined
}
