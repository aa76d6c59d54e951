package btqueue

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// estimateDecay is what one finished request leaves of the weight of those
	// before it, so that the last ten or so count.
	estimateDecay = 0.9
	// retryFraction is the share of the drain rate that is promised to refused
	// requests when they come back; the rest is for new ones.
	retryFraction = 1.0 / 3
	// newFraction and reservedShare are the parts of the time to the goal that new
	// requests may wait, and those that come back when told; chosen by the
	// overload cases of package btbench.
	newFraction      = 0.6
	reservedFraction = 0.9
	// retryJitter is the largest share by which a time to come back is
	// lengthened.
	retryJitter = 0.1
)

// serviceEstimate measures how fast the target works.
type serviceEstimate struct {
	// took and cost are decayed sums over finished requests; took over cost is
	// the time that a unit of cost holds a slot.
	took float64
	cost float64
	// lastChange is the last time at which a slot changed hands.
	lastChange time.Time
	// bookedUntil is the time up to which refused requests were told to come back.
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

// unitTime returns the seconds that a unitTime of cost holds a slot. While every slot
// is held, all that runs is at least as old as the last change of hands, so a
// stalled target shows before anything finishes.
func (q *Queue) unitTime(now time.Time) float64 {
	unit := q.estimate.took / q.estimate.cost
	if len(q.running) == 0 || len(q.running) < q.slots {
		return unit
	}
	age := now.Sub(q.estimate.lastChange).Seconds()
	return math.Max(unit, age/q.meanRunningCost())
}

// meanRunningCost is the mean cost of what runs.
func (q *Queue) meanRunningCost() float64 {
	return q.runningCost / float64(len(q.running))
}

// drainRate returns the cost that the target works off in a second.
func (q *Queue) drainRate(now time.Time) float64 {
	return float64(max(q.slots, 1)) / q.unitTime(now)
}

// expectedWait returns the expected time until a request with that cost ahead of it in
// the queue starts.
func (q *Queue) expectedWait(now time.Time, ahead float64) time.Duration {
	if len(q.running) < q.slots && q.queue.count == 0 {
		return 0
	}
	if len(q.running) > 0 {
		ahead += q.meanRunningCost()
	}
	return fromSeconds(ahead / q.drainRate(now))
}

// withinGoal tells whether so long a wait leaves the goal in reach. New requests may
// fill less of the time than those that room was kept for, so that whoever comes
// back when told finds it.
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

// bookRetry books a time at which a refused request of that cost is likely to
// be taken: after the queue of now has drained, and after those who were told
// to come back earlier.
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

// fromSeconds converts and keeps to what a Duration can hold.
func fromSeconds(s float64) time.Duration {
	const maxSeconds = float64(24 * time.Hour / time.Second)
	return time.Duration(math.Min(s, maxSeconds) * float64(time.Second))
}
