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
	// returnShare is the share of the drain rate that is promised to refused
	// requests when they come back; the rest is for new ones.
	returnShare = 1.0 / 3
	// newShare and reservedShare are the parts of the time to the goal that new
	// requests may wait, and those that come back when told; chosen by the
	// overload cases of package btbench.
	newShare      = 0.6
	reservedShare = 0.9
	// retryJitter is the largest share by which a time to come back is
	// lengthened.
	retryJitter = 0.1
)

// estimate measures how fast the target works.
type estimate struct {
	// took and cost are decayed sums over finished requests; took over cost is
	// the time that a unit of cost holds a slot.
	took float64
	cost float64
	// progress is the last time at which a slot changed hands.
	progress time.Time
	// booked is the time up to which refused requests were told to come back.
	booked time.Time
}

func newEstimate(first time.Duration) estimate {
	return estimate{took: first.Seconds(), cost: 1}
}

func (e *estimate) finished(took time.Duration, cost float64) {
	if took <= 0 {
		return
	}
	e.took = e.took*estimateDecay + took.Seconds()
	e.cost = e.cost*estimateDecay + cost
}

// unit returns the seconds that a unit of cost holds a slot. While every slot
// is held, all that runs is at least as old as the last change of hands, so a
// stalled target shows before anything finishes.
func (q *Queue) unit(now time.Time) float64 {
	unit := q.estimate.took / q.estimate.cost
	if len(q.running) == 0 || len(q.running) < q.slots {
		return unit
	}
	age := now.Sub(q.estimate.progress).Seconds()
	return math.Max(unit, age/q.meanCost())
}

// meanCost is the mean cost of what runs.
func (q *Queue) meanCost() float64 {
	return q.runningCost / float64(len(q.running))
}

// rate returns the cost that the target works off in a second.
func (q *Queue) rate(now time.Time) float64 {
	return float64(max(q.slots, 1)) / q.unit(now)
}

// wait returns the expected time until a request with that cost ahead of it in
// the queue starts.
func (q *Queue) wait(now time.Time, ahead float64) time.Duration {
	if len(q.running) < q.slots && q.queue.count == 0 {
		return 0
	}
	if len(q.running) > 0 {
		ahead += q.meanCost()
	}
	return seconds(ahead / q.rate(now))
}

// inGoal tells whether so long a wait leaves the goal in reach. New requests may
// fill less of the time than those that room was kept for, so that whoever comes
// back when told finds it.
func (a Arrived) inGoal(now time.Time, wait time.Duration) bool {
	if a.StartBy.IsZero() || wait == 0 {
		return true
	}
	share := newShare
	if a.Reserved {
		share = reservedShare
	}
	return wait.Seconds() <= share*a.StartBy.Sub(now).Seconds()
}

// retryAfter books a time at which a refused request of that cost is likely to
// be taken: after the queue of now has drained, and after those who were told
// to come back earlier.
func (q *Queue) retryAfter(now time.Time, cost float64) time.Duration {
	rate := q.rate(now)
	drained := now.Add(q.wait(now, q.queue.cost))
	if q.estimate.booked.Before(drained) {
		q.estimate.booked = drained
	}
	limit := now.Add(q.settings.RetryAfterMax)
	if q.estimate.booked.Before(limit) {
		q.estimate.booked = q.estimate.booked.Add(seconds(cost / (rate * returnShare)))
	}
	after := min(q.estimate.booked.Sub(now), q.settings.RetryAfterMax)
	return jitter(after, q.random)
}

func jitter(d time.Duration, random *rand.Rand) time.Duration {
	return d + time.Duration(random.Float64()*retryJitter*float64(d))
}

// seconds converts and keeps to what a Duration can hold.
func seconds(s float64) time.Duration {
	const most = float64(24 * time.Hour / time.Second)
	return time.Duration(math.Min(s, most) * float64(time.Second))
}
