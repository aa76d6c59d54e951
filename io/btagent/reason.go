package btagent

import (
	"bilberrytide/core/btrequest"
	"bilberrytide/core/btserve"
)

// Reasons for which an agent refuses a request.
const (
	// ReasonRepeated: an attempt of the same identity already waits or runs.
	ReasonRepeated btrequest.Reason = "attempt_repeated"
	// ReasonWrongService: the agent's target doesn't serve the service, or no
	// bundle in force lists it.
	ReasonWrongService btrequest.Reason = "wrong_service"
	// ReasonTargetUnreachable: nothing of the request reached the target.
	ReasonTargetUnreachable = btserve.ReasonTargetUnreachable
	// ReasonTargetLost: contact with the target was lost before its answer.
	ReasonTargetLost = btserve.ReasonTargetLost
	// ReasonGrantMalformed: the request's grant can't be decoded.
	ReasonGrantMalformed btrequest.Reason = "grant_malformed"
	// ReasonDeadline: the deadline passed while the target worked on the request.
	ReasonDeadline = btserve.ReasonDeadline
)
