// Package btqueue decides at the agent which requests its target runs. It manages the
// target's slots and a bounded queue in front of them, and has the final decision on
// admission.
//
// Client accounts share a busy target by weighted fair queueing. When the queue is
// full, the newest request of the account with the largest backlog for its weight is
// displaced. So a large account can starve a small one neither of slots nor of queue
// positions. Within an account a higher priority goes first.
//
// A request is refused at once if its expected wait and run would pass its deadline, if
// the queue is full or if the target drains. A refusal carries a retry delay derived
// from the measured drain rate.
//
// After a planned stop begins nothing more is started: running requests finish, and
// queued ones are refused as not run, so that they move to another target at once.
// Running the queue out would give a draining target new work for as long as the queue
// is deep.
package btqueue

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"bilberrytide/core/btassert"
	"bilberrytide/core/btcore"
	"bilberrytide/core/btid"
	"bilberrytide/core/btnotice"
	"bilberrytide/core/btrequest"
)

// Invariants that a Queue asserts.
const (
	// SlotsBound: nothing starts while as many requests run as there are slots.
	SlotsBound btassert.Name = "queue_slots_bound"
	// NoStartAfterRefuse: a request that was refused is never started.
	NoStartAfterRefuse btassert.Name = "queue_no_start_after_refuse"
	// DrainNoNewWork: nothing starts after a planned stop began.
	DrainNoNewWork btassert.Name = "drain_no_new_work"
)

// Settings are the sizes and initial estimates of a Queue.
type Settings struct {
	// Slots is the number of requests that run at the same time.
	Slots int
	// QueueLimit is the number of requests that may wait.
	QueueLimit int
	// InitialServiceTime is the assumed time that a request of cost 1 holds a slot
	// before any has finished.
	InitialServiceTime time.Duration
	// MaxRetryAfter bounds the retry delay of refused requests, before a jitter of up
	// to a tenth. If the backlog is longer, the delay is too short.
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

// Queue is the admission state machine of one target.
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
	window       btnotice.Window
	restEnd      time.Time
	leaving      bool
	effects      []Effect
}

var _ btcore.Machine[Event, Effect] = (*Queue)(nil)

// New returns an empty queue. Random is the source of the jitter.
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

// Step applies an event and returns its effects.
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
	case Rest:
		q.rest(q.now, e)
	case Leaving:
		q.leave()
	case Restarted:
		q.window, q.restEnd, q.leaving = btnotice.Window{}, time.Time{}, false
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
		q.refuseArrived(now, a, reason)
		return
	}
	if reason, ok := q.admit(now, a); !ok {
		q.refuseArrived(now, a, reason)
		return
	}
	q.serial++
	i := &item{Arrived: a, serial: q.serial}
	q.waiting[a.ID] = i
	q.queue.push(i)
	q.trackDeadline(a.Deadline)
}

// admit reports whether the request may start or wait, and displaces another request
// from a full queue if necessary. Otherwise it returns the reason for the refusal.
func (q *Queue) admit(now time.Time, a Arrived) (btrequest.Reason, bool) {
	if q.draining {
		return ReasonDraining, false
	}
	if q.leaving {
		return ReasonLeaving, false
	}
	if !a.Deadline.After(now) {
		return ReasonDeadline, false
	}
	if q.window.Rests(now) {
		// As with a rate limit, another target may serve the request.
		return ReasonResting, false
	}
	if q.limiter.wait(now) > 0 {
		// A request that waits for the rate limit could be served by another target.
		return ReasonRateLimited, false
	}
	if len(q.running) < q.openSlots() && q.queue.count == 0 {
		// A request gets a free slot whatever the estimate says: only finished requests
		// can correct a wrong estimate, refusals never do.
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

// displace removes the victim of the account with the largest backlog for its weight.
// If that is the arriving request's own account, only a request of lower priority is
// displaced.
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
	q.window.RecordAccepted(now, i.started, q.slots)
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

// expire refuses queued requests whose deadline has passed.
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

// byArrival returns the queued requests in order of arrival.
func (q *Queue) byArrival() []*item {
	items := make([]*item, 0, len(q.waiting))
	for _, i := range q.waiting {
		items = append(items, i)
	}
	slices.SortFunc(items, func(a, b *item) int { return cmp.Compare(a.serial, b.serial) })
	return items
}

// dispatch starts queued requests while there are free slots and the rate limit allows it.
func (q *Queue) dispatch(now time.Time) {
	for !q.draining && !q.leaving && !q.window.Rests(now) && len(q.running) < q.openSlots() && q.limiter.wait(now) == 0 {
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

// drop removes a queued request and refuses it.
func (q *Queue) drop(i *item, reason btrequest.Reason, retryAfter time.Duration) {
	delete(q.waiting, i.ID)
	q.queue.remove(i)
	q.refuse(i.ID, reason, retryAfter)
}

func (q *Queue) refuse(id btid.Request, reason btrequest.Reason, retryAfter time.Duration) {
	q.refused.add(id, reason)
	q.effects = append(q.effects, Refuse{ID: id, Reason: reason, RetryAfter: retryAfter})
}

// refuseArrived refuses a request that has just arrived.
func (q *Queue) refuseArrived(now time.Time, a Arrived, reason btrequest.Reason) {
	q.refused.add(a.ID, reason)
	effect := Refuse{ID: a.ID, Reason: reason, RetryAfter: q.retryDelay(now, reason, a.Cost)}
	if reason == ReasonRateLimited {
		effect.FreeAfter = q.limiter.wait(now)
	}
	q.effects = append(q.effects, effect)
}

// retryDelay returns the retry delay of a refusal for the reason.
func (q *Queue) retryDelay(now time.Time, reason btrequest.Reason, cost float64) time.Duration {
	switch reason {
	case ReasonDraining, ReasonLeaving, ReasonCancelled:
		return 0
	case ReasonResting:
		return q.restEnd.Sub(now)
	case ReasonRateLimited:
		return q.limiter.bookRetry(now, q.settings.MaxRetryAfter)
	}
	return q.bookRetry(now, cost)
}

// endBusyPeriod resets the fair queue when nothing runs or waits, and reports the end
// of a drain.
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
