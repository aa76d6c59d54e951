package btqueue

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// estimateDecay is the factor by which one finished request reduces the weight of
	// earlier ones, so that about the last ten count.
	estimateDecay = 0.9
	// retryFraction is the fraction of the drain rate that is reserved for the retries
	// of refused requests; the rest is for new ones.
	retryFraction = 1.0 / 3
	// newFraction and reservedFraction are the fractions of the time until StartBy that
	// a new request and a reserved retry may wait. The overload cases of package
	// btbench determined them.
	newFraction      = 0.6
	reservedFraction = 0.9
	// retryJitter is the largest fraction by which a retry delay is lengthened.
	retryJitter = 0.1
)

// serviceEstimate estimates the target's service time.
type serviceEstimate struct {
	// took and cost are decayed sums over finished requests; took divided by cost is
	// the time that a unit of cost holds a slot.
	took float64
	cost float64
	// lastChange is when a slot was last taken or released.
	lastChange time.Time
	// bookedUntil is the end of the time already given to refused requests as retry
	// delays.
	bookedUntil time.Time
}

func newServiceEstimate(first time.Duration) serviceEstimate {
	return serviceEstimate{took: first.Seconds(), cost: 1}
}

func (e *serviceEstimate) add(took time.Duration, cost float64) {
	if took <= 0 {
		return
	}
	e.took = e.took*estimateDecay + took.Seconds()
	e.cost = e.cost*estimateDecay + cost
}

// unitTime returns the seconds that a unit of cost holds a slot. While all slots are
// taken, every running request is at least as old as lastChange, so a stalled target
// shows before any request finishes.
func (q *Queue) unitTime(now time.Time) float64 {
	unit := q.estimate.took / q.estimate.cost
	if len(q.running) == 0 || len(q.running) < q.slots {
		return unit
	}
	age := now.Sub(q.estimate.lastChange).Seconds()
	return math.Max(unit, age/q.meanRunningCost())
}

// meanRunningCost returns the mean cost of the running requests.
func (q *Queue) meanRunningCost() float64 {
	return q.runningCost / float64(len(q.running))
}

// drainRate returns the cost that the target completes per second.
func (q *Queue) drainRate(now time.Time) float64 {
	return float64(max(q.openSlots(), 1)) / q.unitTime(now)
}

// expectedWait returns the expected time until a request starts that has that cost
// ahead of it in the queue.
func (q *Queue) expectedWait(now time.Time, ahead float64) time.Duration {
	if len(q.running) < q.openSlots() && q.queue.count == 0 {
		return 0
	}
	if len(q.running) > 0 {
		ahead += q.meanRunningCost()
	}
	return fromSeconds(ahead / q.drainRate(now))
}

// withinGoal reports whether the wait is short enough for the request to start by its
// target time. New requests may use less of the time than reserved ones, so that a
// reserved request finds room when it retries after its delay.
func (a Arrived) withinGoal(now time.Time, wait time.Duration) bool {
	if a.StartBy.IsZero() || wait == 0 {
		return true
	}
	fraction := newFraction
	if a.Reserved {
		fraction = reservedFraction
	}
	return wait.Seconds() <= fraction*a.StartBy.Sub(now).Seconds()
}

// bookRetry returns a retry delay and books the time after it. A refused request of
// that cost is likely to be accepted once the current queue has drained and those
// refused earlier have retried.
func (q *Queue) bookRetry(now time.Time, cost float64) time.Duration {
	rate := q.drainRate(now)
	drained := now.Add(q.expectedWait(now, q.queue.cost))
	if q.estimate.bookedUntil.Before(drained) {
		q.estimate.bookedUntil = drained
	}
	limit := now.Add(q.settings.MaxRetryAfter)
	if q.estimate.bookedUntil.Before(limit) {
		q.estimate.bookedUntil = q.estimate.bookedUntil.Add(fromSeconds(cost / (rate * retryFraction)))
	}
	delay := min(q.estimate.bookedUntil.Sub(now), q.settings.MaxRetryAfter)
	return jitter(delay, q.random)
}

func jitter(d time.Duration, random *rand.Rand) time.Duration {
	return d + time.Duration(random.Float64()*retryJitter*float64(d))
}

// fromSeconds converts seconds to a Duration of at most a day, to avoid overflow.
func fromSeconds(s float64) time.Duration {
	const maxSeconds = float64(24 * time.Hour / time.Second)
	return time.Duration(math.Min(s, maxSeconds) * float64(time.Second))
}
