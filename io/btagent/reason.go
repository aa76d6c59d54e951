package btagent

import (
	"bilberrytide/core/btrequest"
	"bilberrytide/core/btserve"
)

// Reasons for which an agent refuses a request.
const (
	// ReasonRepeated: an attempt of the same identity waits or runs already.
	ReasonRepeated btrequest.Reason = "attempt_repeated"
	// ReasonWrongService: the agent's target doesn't serve the service, or no
	// bundle in force lists it.
	ReasonWrongService btrequest.Reason = "wrong_service"
	// ReasonTargetUnreachable: the target saw nothing of the request.
	ReasonTargetUnreachable = btserve.ReasonTargetUnreachable
	// ReasonTargetLost: contact with the target was lost before its answer.
	ReasonTargetLost = btserve.ReasonTargetLost
	// ReasonGrantMalformed: the request's grant can't be decoded.
	ReasonGrantMalformed btrequest.Reason = "grant_malformed"
	// ReasonDeadline: the deadline passed while the target worked.
	ReasonDeadline = btserve.ReasonDeadline
)
