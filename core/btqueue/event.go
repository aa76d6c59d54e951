package btqueue

import (
	"math"
	"time"

	"bilberrytide/core/btid"
	"bilberrytide/core/btrequest"
)

// Event is what happens at the target: one of the types of this file.
type Event interface{ queueEvent() }

// Arrived is a request that asks to run. An identity that is already waiting
// or running changes nothing; one that was refused lately is refused again.
type Arrived struct {
	ID      btid.Request
	Account btid.Account
	// Weight is the account's share when capacity is short; 1 where it is not
	// a positive number.
	Weight   float64
	Priority btrequest.Priority
	// Deadline is when the whole answer is due.
	Deadline time.Time
	// StartBy is the goal for its start; the zero time is none.
	StartBy time.Time
	// Reserved tells that an entry kept room for it when it was refused before.
	Reserved bool
	// Cost is the expected work in any unit that the target's requests share,
	// such as tokens; 1 where it is not a positive number.
	Cost float64
}

// Finished is the end of a started request: done, failed or cancelled. Its
// slot is free.
type Finished struct {
	ID btid.Request
	// Took is the time that the target worked on it.
	Took time.Duration
}

// Cancelled is a request that its caller gave up. One that waits leaves the
// queue; one that runs keeps its slot until its Finished.
type Cancelled struct {
	ID btid.Request
}

// Drain is the start of a planned stop. A second one changes nothing.
type Drain struct{}

// Tick is the passing of time, by which waiting requests reach their deadlines.
type Tick struct{}

// Resize replaces the sizes. Fewer slots cut off nothing that runs; a shorter
// queue refuses what no longer fits.
type Resize struct {
	Slots      int
	QueueLimit int
}

// RateLimit is what the target says of how many requests a second it takes; it names none where
// there is no limit, or none any more.
type RateLimit struct {
	PerSecond float64
	Active    bool
}

func (RateLimit) queueEvent() {}
func (Arrived) queueEvent()   {}
func (Finished) queueEvent()  {}
func (Cancelled) queueEvent() {}
func (Drain) queueEvent()     {}
func (Tick) queueEvent()      {}
func (Resize) queueEvent()    {}

// Effect is what the agent has to do: one of Start, Refuse and Idle. Each
// request that arrived ends in exactly one Start or one first Refuse.
type Effect interface{ queueEffect() }

// Start gives the request to the target.
type Start struct {
	ID btid.Request
}

// Refuse answers the request with not_run: it was never given to the target
// and never will be.
type Refuse struct {
	ID     btid.Request
	Reason btrequest.Reason
	// RetryAfter is how long to wait before the request is likely to be taken
	// here. Zero, for ReasonDraining and ReasonCancelled, means that waiting
	// for this target is of no use: try another at once.
	RetryAfter time.Duration
}

// Drained says that a draining target has nothing left in flight. It is given
// once.
type Drained struct{}

func (Start) queueEffect()   {}
func (Refuse) queueEffect()  {}
func (Drained) queueEffect() {}

// The reasons for which a request is refused.
const (
	// ReasonFull: the queue has no room, and the account holds its share of it.
	ReasonFull btrequest.Reason = "queue_full"
	// ReasonDisplaced: the account held more than its share of a full queue,
	// and a request of another account or of higher priority took the place.
	ReasonDisplaced btrequest.Reason = "queue_displaced"
	// ReasonWaitTooLong: the expected wait and run would pass the deadline.
	ReasonWaitTooLong btrequest.Reason = "queue_wait_past_deadline"
	// ReasonDeadline: the deadline passed before the request started.
	ReasonDeadline btrequest.Reason = "deadline_passed"
	// ReasonDraining: the target is leaving.
	ReasonDraining btrequest.Reason = "draining"
	// ReasonRateLimited: the target names a rate of requests, which is used up. Others may
	// take the request at once.
	ReasonRateLimited btrequest.Reason = "queue_target_limited"
	// ReasonCancelled: the caller gave the request up before it started.
	ReasonCancelled btrequest.Reason = "cancelled_in_queue"
)

const (
	maxCost   = 1e9
	minWeight = 1e-6
	maxWeight = 1e6
)

// normalised returns the event with every number in its range, so that no message
// can upset the order of others.
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
