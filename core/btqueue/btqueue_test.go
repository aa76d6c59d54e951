package btqueue_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btassert"
	"bilberrytide/core/btid"
	"bilberrytide/core/btqueue"
	"bilberrytide/core/btrequest"
)

var seeds = flag.Uint64("seeds", 40, "seeds of each randomised run")

// oracle checks the machine's invariants from its effects.
type oracle struct {
	slots    int
	draining bool
	drained  int
	arrived  map[btid.Request]btqueue.Arrived
	waiting  map[btid.Request]btqueue.Arrived
	started  map[btid.Request]bool
	refused  map[btid.Request]bool
	running  map[btid.Request]bool
}

func (o *oracle) check(t *testing.T, now time.Time, effects []btqueue.Effect) {
	t.Helper()
	for _, effect := range effects {
		switch e := effect.(type) {
		case btqueue.Start:
			assert.Assert(t, !o.draining && !o.started[e.ID] && !o.refused[e.ID], "start of %s", e.ID)
			assert.Assert(t, o.arrived[e.ID].Deadline.After(now), "%s started past its deadline", e.ID)
			o.started[e.ID] = true
			o.running[e.ID] = true
			assert.Assert(t, len(o.running) <= o.slots)
		case btqueue.Refuse:
			assert.Assert(t, !o.started[e.ID], "%s refused after its start", e.ID)
			assert.Assert(t, e.RetryAfter >= 0 && e.RetryAfter <= 66*time.Second)
			o.refused[e.ID] = true
		case btqueue.Drained:
			assert.Assert(t, o.draining && len(o.running) == 0)
			o.drained++
		}
	}
	for id, a := range o.waiting {
		if o.started[id] || o.refused[id] {
			delete(o.waiting, id)
			continue
		}
		assert.Assert(t, a.Deadline.After(now), "%s waits past its deadline", id)
	}
}

func (o *oracle) nextEvent(random *rand.Rand, now time.Time, number *uint64) btqueue.Event {
	switch p := random.IntN(100); {
	case p < 50:
		*number++
		a := btqueue.Arrived{
			ID:       request(*number),
			Account:  btid.Account(fmt.Sprintf("a%d", random.IntN(4))),
			Weight:   float64(random.IntN(4)),
			Priority: btrequest.Priority(random.IntN(3) - 1),
			Deadline: now.Add(time.Duration(random.IntN(5000)) * time.Millisecond),
			Cost:     random.Float64() * 10,
		}
		o.arrived[a.ID] = a
		o.waiting[a.ID] = a
		return a
	case p < 58:
		if a, ok := o.arrived[request(1+random.Uint64N(*number+1))]; ok && !o.started[a.ID] {
			return a
		}
	case p < 85:
		for n := range *number {
			if id := request(n + 1); o.running[id] {
				delete(o.running, id)
				return btqueue.Finished{ID: id, Took: time.Duration(random.IntN(2000)) * time.Millisecond}
			}
		}
	case p < 92:
		return btqueue.Cancelled{ID: request(1 + random.Uint64N(*number+1))}
	case p < 94:
		o.slots = random.IntN(5)
		return btqueue.Resize{Slots: o.slots, QueueLimit: random.IntN(12)}
	}
	return btqueue.Tick{}
}

// Checks the invariants of the effects under random events, and that a drain answers all
// requests that have arrived.
func TestRandomisedEvents(t *testing.T) {
	for seed := uint64(1); seed <= *seeds; seed++ {
		o := &oracle{
			slots:   3,
			arrived: map[btid.Request]btqueue.Arrived{},
			waiting: map[btid.Request]btqueue.Arrived{},
			started: map[btid.Request]bool{},
			refused: map[btid.Request]bool{},
			running: map[btid.Request]bool{},
		}
		q := newQueue(3, 8, seed)
		random := newRandom(seed)
		now := start
		var number uint64
		for range 400 {
			now = now.Add(time.Duration(random.IntN(200)) * time.Millisecond)
			before := o.slots
			event := o.nextEvent(random, now, &number)
			o.slots = max(o.slots, before, len(o.running))
			o.check(t, now, q.Step(now, event))
			if p, ok := event.(btqueue.Resize); ok {
				o.slots = max(p.Slots, len(o.running))
			}
		}
		o.drain(t, q, now)
	}
}

// drain stops the queue twice and finishes the running requests.
func (o *oracle) drain(t *testing.T, q *btqueue.Queue, now time.Time) {
	t.Helper()
	o.draining = true
	o.check(t, now, q.Step(now, btqueue.Drain{}))
	o.check(t, now, q.Step(now, btqueue.Drain{}))
	for id := range o.arrived {
		assert.Assert(t, o.started[id] || o.refused[id], "%s has no answer", id)
	}
	for id := range o.running {
		delete(o.running, id)
		o.check(t, now, q.Step(now, btqueue.Finished{ID: id, Took: time.Second}))
	}
	assert.Equal(t, o.drained, 1)
}

func arrival(number uint64, account btid.Account, priority btrequest.Priority) btqueue.Arrived {
	return btqueue.Arrived{
		ID: request(number), Account: account, Weight: 1, Priority: priority,
		Deadline: start.Add(time.Hour), Cost: 1,
	}
}

func TestHigherPriorityGoesFirstWithinAnAccount(t *testing.T) {
	q := newQueue(1, 2, 1)
	q.Step(start, arrival(1, "a", btrequest.Normal))
	q.Step(start, arrival(2, "a", btrequest.Low))
	q.Step(start, arrival(3, "a", btrequest.Low))
	full := q.Step(start, arrival(4, "a", btrequest.High))
	assert.Equal(t, full[0].(btqueue.Refuse).ID, request(3))
	assert.Equal(t, full[0].(btqueue.Refuse).Reason, btqueue.ReasonDisplaced)
	next := q.Step(start, btqueue.Finished{ID: request(1), Took: time.Second})
	assert.DeepEqual(t, next, []btqueue.Effect{btqueue.Start{ID: request(4)}})
}

// Guards against requests that queue at a stalled target: as no request finishes, only
// the age of the running ones shows that the wait would pass their deadline.
func TestStalledTargetRefusesByDeadline(t *testing.T) {
	q := newQueue(1, 10, 1)
	q.Step(start, arrival(1, "a", btrequest.Normal))
	a := arrival(2, "a", btrequest.Normal)
	now := start.Add(30 * time.Second)
	a.Deadline = now.Add(10 * time.Second)
	effects := q.Step(now, a)
	assert.Equal(t, effects[0].(btqueue.Refuse).Reason, btqueue.ReasonWaitTooLong)
}

// Guards against a repeated message that starts a request after its refusal, when the
// entry may already have sent it to another target.
func TestRefusalIsFinal(t *testing.T) {
	q := newQueue(1, 0, 1)
	q.Step(start, arrival(1, "a", btrequest.Normal))
	q.Step(start, arrival(2, "a", btrequest.Normal))
	q.Step(start, btqueue.Finished{ID: request(1), Took: time.Second})
	again := q.Step(start, arrival(2, "a", btrequest.Normal))
	assert.Equal(t, again[0].(btqueue.Refuse).Reason, btqueue.ReasonFull)
}

func ExampleQueue() {
	q := btqueue.New(btqueue.DefaultSettings(1, 8), rand.New(rand.NewPCG(1, 1)), btassert.New(btassert.Panic()))
	fmt.Println(q.Step(start, arrival(1, "booking", btrequest.Normal)))
	fmt.Println(q.Step(start, arrival(2, "booking", btrequest.Normal)))
	fmt.Println(q.Step(start, btqueue.Drain{}))
	fmt.Println(q.Step(start, btqueue.Finished{ID: request(1), Took: time.Second}))
	// Output:
	// [{e1-1-1}]
	// []
	// [{e1-1-2 draining 0s 0s}]
	// [{}]
}

// BenchmarkArrived measures an arrival and the end of a request at a busy target whose
// queue holds one request of each account.
func BenchmarkArrived(b *testing.B) {
	for _, accounts := range []int{1, 10, 690} {
		b.Run(fmt.Sprintf("accounts_%d", accounts), func(b *testing.B) {
			before := heapAlloc()
			q := newQueue(64, accounts, 1)
			names := make([]btid.Account, accounts)
			for i := range names {
				names[i] = btid.Account(fmt.Sprintf("account-%d", i))
			}
			for n := range uint64(64 + accounts) {
				q.Step(start, arrival(n+1, names[int(n)%accounts], btrequest.Normal))
			}
			first := uint64(1)
			next := uint64(64 + accounts)
			running := make([]btid.Request, 0, 64)
			for ; first <= 64; first++ {
				running = append(running, request(first))
			}
			memory := float64(heapAlloc()-before) / float64(accounts)
			b.ReportAllocs()
			for b.Loop() {
				effects := q.Step(start, btqueue.Finished{ID: running[0], Took: time.Millisecond})
				running = append(running[1:], effects[0].(btqueue.Start).ID)
				next++
				q.Step(start, arrival(next, names[int(next)%accounts], btrequest.Normal))
			}
			b.ReportMetric(memory, "B/account")
		})
	}
}

func heapAlloc() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
