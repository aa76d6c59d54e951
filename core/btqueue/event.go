package btqueue

import (
	"math"
	"time"

	"bilberrytide/core/btid"
	"bilberrytide/core/btrequest"
)

// Event is an input of the queue: one of the event types of this file.
type Event interface{ queueEvent() }

// Arrived is a request that asks to run. An ID that is already waiting or running
// changes nothing; one that was refused recently is refused again.
type Arrived struct {
	ID      btid.Request
	Account btid.Account
	// Weight is the account's weight in fair queueing; 1 if it is not a positive
	// number.
	Weight   float64
	Priority btrequest.Priority
	// Deadline is when the whole response is due.
	Deadline time.Time
	// StartBy is the target time for its start; the zero time means none.
	StartBy time.Time
	// Reserved reports that an entry reserved room for the request when it was refused
	// before.
	Reserved bool
	// Cost is the expected work in any unit that the target's requests share, such as
	// tokens; 1 if it is not a positive number.
	Cost float64
}

// Finished is the end of a started request, whether done, failed or cancelled. Its slot
// is free.
type Finished struct {
	ID btid.Request
	// Took is how long the target worked on it.
	Took time.Duration
}

// Cancelled reports that the caller gave up a request. A queued request leaves the
// queue; a running one keeps its slot until its Finished event.
type Cancelled struct {
	ID btid.Request
}

// Drain starts a planned stop. Another Drain changes nothing.
type Drain struct{}

// Tick reports that time has passed, so that deadlines of queued requests expire.
type Tick struct{}

// Resize replaces the sizes. Fewer slots don't interrupt running requests; a lower
// queue limit refuses the latest arrivals that no longer fit.
type Resize struct {
	Slots      int
	QueueLimit int
}

// RateLimit is the rate, in requests per second, that the target advertises. Active is
// false if the target advertises none.
type RateLimit struct {
	PerSecond float64
	Active    bool
}

// Rest reports that the target has asked for no requests until a time of the queue's
// clock. The latest end counts.
type Rest struct {
	Until time.Time
}

// Leaving reports that the target has announced that it is leaving.
type Leaving struct{}

// Restarted reports that the target has started again, so that what it had announced
// before no longer applies.
type Restarted struct{}

func (Rest) queueEvent()      {}
func (Leaving) queueEvent()   {}
func (Restarted) queueEvent() {}
func (RateLimit) queueEvent() {}
func (Arrived) queueEvent()   {}
func (Finished) queueEvent()  {}
func (Cancelled) queueEvent() {}
func (Drain) queueEvent()     {}
func (Tick) queueEvent()      {}
func (Resize) queueEvent()    {}

// Effect is an output of the queue: one of Start, Refuse and Drained. Each request that
// arrived ends in exactly one Start or one first Refuse.
type Effect interface{ queueEffect() }

// Start hands the request to the target.
type Start struct {
	ID btid.Request
}

// Refuse answers the request with not_run: it was not given to the target and never
// will be.
type Refuse struct {
	ID     btid.Request
	Reason btrequest.Reason
	// RetryAfter is the delay after which the request is likely to be accepted here. It
	// is zero for ReasonDraining, ReasonLeaving and ReasonCancelled, where waiting for this target is
	// of no use and another should be tried at once.
	RetryAfter time.Duration
	// FreeAfter is the time until the target's rate allows another request, whosever it is;
	// zero for reasons other than ReasonRateLimited.
	FreeAfter time.Duration
}

// Drained reports once that a draining target has no requests left.
type Drained struct{}

func (Start) queueEffect()   {}
func (Refuse) queueEffect()  {}
func (Drained) queueEffect() {}

// Reasons for which a request is refused.
const (
	// ReasonFull: the queue is full, and no other account has a larger backlog for its
	// weight.
	ReasonFull btrequest.Reason = "queue_full"
	// ReasonDisplaced: the request was removed from a full queue for one of another
	// account with a smaller backlog for its weight, or for one of higher priority of
	// its own account.
	ReasonDisplaced btrequest.Reason = "queue_displaced"
	// ReasonWaitTooLong: the expected wait and run would pass the deadline, or the
	// expected wait uses too much of the time until StartBy.
	ReasonWaitTooLong btrequest.Reason = "queue_wait_past_deadline"
	// ReasonDeadline: the deadline passed before the request started.
	ReasonDeadline btrequest.Reason = "deadline_passed"
	// ReasonDraining: the target is stopping.
	ReasonDraining btrequest.Reason = "draining"
	// ReasonRateLimited: the rate that the target advertises is used up. Other targets
	// may take the request at once.
	ReasonRateLimited btrequest.Reason = "queue_target_limited"
	// ReasonResting: the target has asked for rest, and the request can't wait until its
	// end. Other targets may take the request at once.
	ReasonResting btrequest.Reason = "queue_target_resting"
	// ReasonLeaving: the target has announced that it is leaving.
	ReasonLeaving btrequest.Reason = "queue_target_leaving"
	// ReasonCancelled: the caller gave up the request before it started.
	ReasonCancelled btrequest.Reason = "cancelled_in_queue"
)

const (
	maxCost   = 1e9
	minWeight = 1e-6
	maxWeight = 1e6
)

// normalised returns the event with every number clamped to its range, so that no
// message can disturb the order of other requests.
func (a Arrived) normalised() Arrived {
	if !(a.Cost > 0) {
		a.Cost = 1
	}
	a.Cost = math.Min(a.Cost, maxCost)
	if !(a.Weight > 0) {
		a.Weight = 1
	}
	a.Weight = math.Max(minWeight, math.Min(a.Weight, maxWeight))
	a.Priority = max(btrequest.Low, min(a.Priority, btrequest.High))
	return a
}
