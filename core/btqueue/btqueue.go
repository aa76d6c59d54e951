// Package btqueue decides at the agent which requests its target runs: it
// holds the target's slots and a bounded queue before them, and has the last
// word on admission.
//
// Client accounts share a busy target by weighted fair queueing, and a full
// queue by giving up the newest request of the account that holds most for its
// weight, so a large account can starve a small one neither of slots nor of
// places. Within an account a higher priority goes first.
//
// A request is refused at once when its expected wait and run would pass its
// deadline, when the queue is full or when the target drains; a refusal
// carries the time at which a place is likely, from the measured drain rate.
//
// A planned stop starts nothing more: what runs is finished, and what waits is
// refused as not run so that it moves to another target at once. To run the
// queue out instead would give a leaving target new work for as long as the
// queue is deep.
package btqueue

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"bilberrytide/core/btassert"
	"bilberrytide/core/btcore"
	"bilberrytide/core/btid"
	"bilberrytide/core/btrequest"
)

// The invariants that a Queue asserts.
const (
	// SlotsBound: nothing starts while as many requests run as there are slots.
	SlotsBound btassert.Name = "queue_slots_bound"
	// NoStartAfterRefuse: a request that was refused is never started.
	NoStartAfterRefuse btassert.Name = "queue_no_start_after_refuse"
	// DrainNoNewWork: nothing starts after a planned stop began.
	DrainNoNewWork btassert.Name = "drain_no_new_work"
)

// Settings are the sizes and first guesses of a Queue.
type Settings struct {
	// Slots is how many requests run at a time.
	Slots int
	// QueueLimit is how many more may wait.
	QueueLimit int
	// InitialServiceTime is the time that a request of cost 1 is thought to hold a
	// slot before any has finished.
	InitialServiceTime time.Duration
	// MaxRetryAfter bounds the time that refused requests are told to wait,
	// jitter of a tenth apart. A longer backlog than it can't be told truly.
	MaxRetryAfter time.Duration
}

// DefaultSettings returns the settings for a target of the given sizes.
func DefaultSettings(slots, queueLimit int) Settings {
	return Settings{
		Slots:              slots,
		QueueLimit:         queueLimit,
		InitialServiceTime: time.Second,
		MaxRetryAfter:      time.Minute,
	}
}

// Queue is the admission machine of one target.
type Queue struct {
	settings Settings
	random   *rand.Rand
	asserter *btassert.Asserter

	now          time.Time
	slots        int
	queueLimit   int
	draining     bool
	drained      bool
	serial       uint64
	queue        *fairQueue
	waiting      map[btid.Request]*item
	running      map[btid.Request]*item
	runningCost  float64
	nextDeadline time.Time
	refused      refusalHistory
	estimate     serviceEstimate
	limiter      rateLimiter
	effects      []Effect
}

var _ btcore.Machine[Event, Effect] = (*Queue)(nil)

// New returns an empty queue. Jitter is drawn from random.
func New(settings Settings, random *rand.Rand, asserter *btassert.Asserter) *Queue {
	return &Queue{
		settings:   settings,
		random:     random,
		asserter:   asserter,
		slots:      max(settings.Slots, 0),
		queueLimit: max(settings.QueueLimit, 0),
		queue:      newFairQueue(),
		waiting:    map[btid.Request]*item{},
		running:    map[btid.Request]*item{},
		refused:    newRefusalHistory(),
		estimate:   newServiceEstimate(max(settings.InitialServiceTime, time.Microsecond)),
	}
}

// Step applies one event.
func (q *Queue) Step(now time.Time, event Event) []Effect {
	if now.After(q.now) {
		q.now = now
	}
	q.effects = nil
	q.expire(q.now)
	switch e := event.(type) {
	case Arrived:
		q.arrived(q.now, e.normalised())
	case Finished:
		q.finished(q.now, e)
	case Cancelled:
		q.cancelled(e)
	case Drain:
		q.drain()
	case Resize:
		q.resize(q.now, e)
	case RateLimit:
		q.limiter.set(q.now, e, q.random.Float64())
	case Tick:
		q.queue.pruneIdleTags()
	}
	q.dispatch(q.now)
	q.endBusyPeriod()
	return q.effects
}

func (q *Queue) arrived(now time.Time, a Arrived) {
	if q.waiting[a.ID] != nil || q.running[a.ID] != nil {
		return
	}
	if reason, ok := q.refused.reason(a.ID); ok {
		q.refuse(a.ID, reason, q.retryDelay(now, reason, a.Cost))
		return
	}
	if reason, ok := q.admit(now, a); !ok {
		q.refuse(a.ID, reason, q.retryDelay(now, reason, a.Cost))
		return
	}
	q.serial++
	i := &item{Arrived: a, serial: q.serial}
	q.waiting[a.ID] = i
	q.queue.push(i)
	q.trackDeadline(a.Deadline)
}

// admit tells whether the request may wait or start, and makes room for it.
func (q *Queue) admit(now time.Time, a Arrived) (btrequest.Reason, bool) {
	if q.draining {
		return ReasonDraining, false
	}
	if !a.Deadline.After(now) {
		return ReasonDeadline, false
	}
	if q.limiter.wait(now) > 0 {
		// It would wait here while other targets have room.
		return ReasonRateLimited, false
	}
	if len(q.running) < q.slots && q.queue.count == 0 {
		// A free slot runs it whatever the estimate says; its run mends a wrong
		// estimate, which refusals alone never would.
		return "", true
	}
	service := fromSeconds(a.Cost * q.unitTime(now))
	wait := q.expectedWait(now, q.queue.costAhead(a))
	if now.Add(wait+service).After(a.Deadline) || !a.withinGoal(now, wait) {
		return ReasonWaitTooLong, false
	}
	if q.queue.count < q.queueLimit {
		return "", true
	}
	return q.displace(now, a)
}

// displace gives up the place of a request that a full queue owes less than
// the one that arrived.
func (q *Queue) displace(now time.Time, a Arrived) (btrequest.Reason, bool) {
	if q.queueLimit == 0 {
		return ReasonFull, false
	}
	f := q.queue.byAccount[q.queue.largestBacklog(a)]
	if f == nil {
		return ReasonFull, false
	}
	last := f.victim()
	if f.account == a.Account && last.Priority >= a.Priority {
		return ReasonFull, false
	}
	q.drop(last, ReasonDisplaced, q.bookRetry(now, last.Cost))
	return "", true
}

func (q *Queue) finished(now time.Time, e Finished) {
	i := q.running[e.ID]
	if i == nil {
		return
	}
	delete(q.running, e.ID)
	q.runningCost -= i.Cost
	if len(q.running) == 0 {
		q.runningCost = 0
	}
	q.estimate.add(e.Took, i.Cost)
	q.estimate.lastChange = now
}

func (q *Queue) cancelled(e Cancelled) {
	if i := q.waiting[e.ID]; i != nil {
		q.drop(i, ReasonCancelled, 0)
	}
}

func (q *Queue) drain() {
	q.draining = true
	for _, i := range q.byArrival() {
		q.drop(i, ReasonDraining, 0)
	}
}

func (q *Queue) resize(now time.Time, e Resize) {
	q.slots = max(e.Slots, 0)
	q.queueLimit = max(e.QueueLimit, 0)
	waiting := q.byArrival()
	for len(waiting) > q.queueLimit {
		last := waiting[len(waiting)-1]
		waiting = waiting[:len(waiting)-1]
		q.drop(last, ReasonFull, q.bookRetry(now, last.Cost))
	}
}

// expire refuses what waited past its deadline.
func (q *Queue) expire(now time.Time) {
	if q.nextDeadline.IsZero() || q.nextDeadline.After(now) {
		return
	}
	q.nextDeadline = time.Time{}
	for _, i := range q.byArrival() {
		if !i.Deadline.After(now) {
			q.drop(i, ReasonDeadline, q.bookRetry(now, i.Cost))
			continue
		}
		q.trackDeadline(i.Deadline)
	}
}

func (q *Queue) trackDeadline(deadline time.Time) {
	if q.nextDeadline.IsZero() || deadline.Before(q.nextDeadline) {
		q.nextDeadline = deadline
	}
}

// byArrival returns what waits by order of arrival.
func (q *Queue) byArrival() []*item {
	items := make([]*item, 0, len(q.waiting))
	for _, i := range q.waiting {
		items = append(items, i)
	}
	slices.SortFunc(items, func(a, b *item) int { return cmp.Compare(a.serial, b.serial) })
	return items
}

// dispatch starts what fits into free slots.
func (q *Queue) dispatch(now time.Time) {
	for !q.draining && len(q.running) < q.slots && q.limiter.wait(now) == 0 {
		i := q.queue.pop()
		if i == nil {
			return
		}
		delete(q.waiting, i.ID)
		q.start(now, i)
	}
}

func (q *Queue) start(now time.Time, i *item) {
	_, refused := q.refused.reason(i.ID)
	ok := q.asserter.That(len(q.running) < q.slots, SlotsBound, "%d of %d slots held", len(q.running), q.slots)
	ok = q.asserter.That(!refused, NoStartAfterRefuse, "%s", i.ID) && ok
	ok = q.asserter.That(!q.draining, DrainNoNewWork, "%s", i.ID) && ok
	if !ok {
		q.refuse(i.ID, ReasonFull, q.bookRetry(now, i.Cost))
		return
	}
	q.limiter.take()
	i.started = now
	q.running[i.ID] = i
	q.runningCost += i.Cost
	q.estimate.lastChange = now
	q.effects = append(q.effects, Start{ID: i.ID})
}

// drop refuses a request that waits.
func (q *Queue) drop(i *item, reason btrequest.Reason, retryAfter time.Duration) {
	delete(q.waiting, i.ID)
	q.queue.remove(i)
	q.refuse(i.ID, reason, retryAfter)
}

func (q *Queue) refuse(id btid.Request, reason btrequest.Reason, retryAfter time.Duration) {
	q.refused.add(id, reason)
	q.effects = append(q.effects, Refuse{ID: id, Reason: reason, RetryAfter: retryAfter})
}

// retryDelay is the time to come back retryDelay a refusal for the reason.
func (q *Queue) retryDelay(now time.Time, reason btrequest.Reason, cost float64) time.Duration {
	switch reason {
	case ReasonDraining, ReasonCancelled:
		return 0
	case ReasonRateLimited:
		return q.limiter.bookRetry(now, q.settings.MaxRetryAfter)
	}
	return q.bookRetry(now, cost)
}

// endBusyPeriod notes the end of a busy period and of a drain.
func (q *Queue) endBusyPeriod() {
	if len(q.running) > 0 || q.queue.count > 0 {
		return
	}
	q.queue.reset()
	if q.draining && !q.drained {
		q.drained = true
		q.effects = append(q.effects, Drained{})
	}
}
