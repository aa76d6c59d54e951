package btagent

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"bilberrytide/core/btassert"
	"bilberrytide/core/btid"
	"bilberrytide/core/btqueue"
	"bilberrytide/io/btloop"
)

// admissionInterval is how often the deadlines of queued requests are checked.
const admissionInterval = 25 * time.Millisecond

// admission runs the queue for the target's slots. A request waits here until it may
// start or is refused.
type admission struct {
	clock btloop.Clock
	queue *btqueue.Queue
	loop  *btloop.Loop[btqueue.Event, btqueue.Effect]

	mu sync.Mutex
	// results holds a channel for each request that waits or runs: nil is sent for a
	// slot, or else the refusal.
	results map[btid.Request]chan *btqueue.Refuse
}

func newAdmission(settings btqueue.Settings, clock btloop.Clock, random *rand.Rand, assert *btassert.Asserter) *admission {
	a := &admission{
		clock:   clock,
		queue:   btqueue.New(settings, random, assert),
		results: map[btid.Request]chan *btqueue.Refuse{},
	}
	a.loop = btloop.New(a.queue, clock, a.apply)
	return a
}

func (a *admission) run(ctx context.Context) {
	a.loop.Every(ctx, admissionInterval, func() btqueue.Event { return btqueue.Tick{} })
}

// admit waits for the queue's decision. It returns nil for a slot, which the caller
// must release with finish, or else the refusal. A cancelled context is a refusal too.
func (a *admission) admit(ctx context.Context, arrived btqueue.Arrived) *btqueue.Refuse {
	result, added := a.register(arrived.ID)
	if !added {
		return &btqueue.Refuse{ID: arrived.ID, Reason: ReasonRepeated}
	}
	a.loop.Post(arrived)
	select {
	case refusal := <-result:
		return refusal
	default:
		return a.await(ctx, result, arrived)
	}
}

// await waits for the queue's decision, until the deadline at the latest.
func (a *admission) await(ctx context.Context, result <-chan *btqueue.Refuse, arrived btqueue.Arrived) *btqueue.Refuse {
	deadline := time.NewTimer(arrived.Deadline.Sub(a.clock()))
	defer deadline.Stop()
	for {
		select {
		case refusal := <-result:
			return refusal
		case <-deadline.C:
			// With any event, the queue refuses the requests past their deadline.
			a.loop.Post(btqueue.Tick{})
		case <-ctx.Done():
			return a.cancel(result, arrived.ID)
		}
	}
}

// cancel removes a request from the queue. If it got a slot meanwhile, cancel
// releases the slot.
func (a *admission) cancel(result <-chan *btqueue.Refuse, id btid.Request) *btqueue.Refuse {
	a.loop.Post(btqueue.Cancelled{ID: id})
	refusal := <-result
	if refusal != nil {
		return refusal
	}
	a.finish(id, 0)
	return &btqueue.Refuse{ID: id, Reason: btqueue.ReasonCancelled}
}

// register adds a channel for the queue's decision. It returns false if a request of
// this identity already waits or runs.
func (a *admission) register(id btid.Request) (chan *btqueue.Refuse, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.results[id] != nil {
		return nil, false
	}
	result := make(chan *btqueue.Refuse, 1)
	a.results[id] = result
	return result, true
}

func (a *admission) unregister(id btid.Request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.results, id)
}

// finish releases a slot that was used for the duration.
func (a *admission) finish(id btid.Request, duration time.Duration) {
	// The queue is notified before the channel is removed. In the other order, a new
	// arrival of this identity could register while the queue still counts the old
	// run, and would get no answer.
	a.loop.Post(btqueue.Finished{ID: id, Took: duration})
	a.unregister(id)
}

func (a *admission) apply(effect btqueue.Effect) {
	switch e := effect.(type) {
	case btqueue.Start:
		a.sendResult(e.ID, nil)
	case btqueue.Refuse:
		a.sendResult(e.ID, &e)
	}
}

func (a *admission) sendResult(id btid.Request, refusal *btqueue.Refuse) {
	a.mu.Lock()
	result := a.results[id]
	if refusal != nil {
		delete(a.results, id)
	}
	a.mu.Unlock()
	if result != nil {
		result <- refusal
	}
}

// load returns the queue's current load.
func (a *admission) load() btqueue.Load {
	var load btqueue.Load
	a.loop.Inspect(func(time.Time) { load = a.queue.Load() })
	return load
}
