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

// admissionTick is how often deadlines of waiting requests are looked at.
const admissionTick = 25 * time.Millisecond

// admission runs the queue before the target's slots: each request waits here
// until it may start or is refused.
type admission struct {
	clock btloop.Clock
	queue *btqueue.Queue
	loop  *btloop.Loop[btqueue.Event, btqueue.Effect]

	mu sync.Mutex
	// words holds the requests that wait or run.
	words map[btid.Request]chan *btqueue.Refuse
}

func newAdmission(settings btqueue.Settings, clock btloop.Clock, random *rand.Rand, assert *btassert.Asserter) *admission {
	a := &admission{
		clock: clock,
		queue: btqueue.New(settings, random, assert),
		words: map[btid.Request]chan *btqueue.Refuse{},
	}
	a.loop = btloop.New(a.queue, clock, a.apply)
	return a
}

func (a *admission) run(ctx context.Context) {
	a.loop.Every(ctx, admissionTick, func() btqueue.Event { return btqueue.Tick{} })
}

// admit waits for the queue's word: nil for a slot, which the caller must give
// back with finish, or the refusal. A caller that goes away is refused too.
func (a *admission) admit(ctx context.Context, arrived btqueue.Arrived) *btqueue.Refuse {
	word, fresh := a.register(arrived.ID)
	if !fresh {
		return &btqueue.Refuse{ID: arrived.ID, Reason: ReasonRepeated}
	}
	a.loop.Post(arrived)
	select {
	case refusal := <-word:
		return refusal
	default:
		return a.await(ctx, word, arrived)
	}
}

// await waits in the queue, until the deadline at the latest.
func (a *admission) await(ctx context.Context, word <-chan *btqueue.Refuse, arrived btqueue.Arrived) *btqueue.Refuse {
	due := time.NewTimer(arrived.Deadline.Sub(a.clock()))
	defer due.Stop()
	for {
		select {
		case refusal := <-word:
			return refusal
		case <-due.C:
			// The queue refuses what is past its deadline with any event.
			a.loop.Post(btqueue.Tick{})
		case <-ctx.Done():
			return a.cancel(word, arrived.ID)
		}
	}
}

// cancel takes a request out of the queue, or gives back the slot that it got
// meanwhile.
func (a *admission) cancel(word <-chan *btqueue.Refuse, id btid.Request) *btqueue.Refuse {
	a.loop.Post(btqueue.Cancelled{ID: id})
	refusal := <-word
	if refusal != nil {
		return refusal
	}
	a.finish(id, 0)
	return &btqueue.Refuse{ID: id, Reason: btqueue.ReasonCancelled}
}

// register makes room for the queue's word, false for an identity that waits or
// runs already.
func (a *admission) register(id btid.Request) (chan *btqueue.Refuse, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.words[id] != nil {
		return nil, false
	}
	word := make(chan *btqueue.Refuse, 1)
	a.words[id] = word
	return word, true
}

func (a *admission) forget(id btid.Request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.words, id)
}

// finish gives a slot back after the target worked for the time took.
func (a *admission) finish(id btid.Request, took time.Duration) {
	// The queue learns first, so that it knows of no run whose word is gone: it
	// would leave an arrival of that identity without an answer.
	a.loop.Post(btqueue.Finished{ID: id, Took: took})
	a.forget(id)
}

func (a *admission) apply(effect btqueue.Effect) {
	switch e := effect.(type) {
	case btqueue.Start:
		a.tell(e.ID, nil)
	case btqueue.Refuse:
		a.tell(e.ID, &e)
	}
}

func (a *admission) tell(id btid.Request, refusal *btqueue.Refuse) {
	a.mu.Lock()
	word := a.words[id]
	if refusal != nil {
		delete(a.words, id)
	}
	a.mu.Unlock()
	if word != nil {
		word <- refusal
	}
}

// load returns the queue's load just now.
func (a *admission) load() btqueue.Load {
	var load btqueue.Load
	a.loop.Inspect(func(time.Time) { load = a.queue.Load() })
	return load
}
