package btqueue_test

import (
	"math/rand/v2"
	"slices"
	"time"

	"bilberrytide/core/btassert"
	"bilberrytide/core/btcore"
	"bilberrytide/core/btid"
	"bilberrytide/core/btqueue"
	"bilberrytide/core/btrequest"
)

type machine = btcore.Machine[btqueue.Event, btqueue.Effect]

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }

func newQueue(slots, queue int, seed uint64) *btqueue.Queue {
	settings := btqueue.DefaultSettings(slots, queue)
	return btqueue.New(settings, newRandom(seed), btassert.New(btassert.Panic()))
}

func request(number uint64) btid.Request {
	return btid.Request{Entry: "e1", Incarnation: 1, Number: number}
}

// caller sends requests of one account at random times.
type caller struct {
	account btid.Account
	weight  float64
	every   time.Duration
	until   time.Duration
}

// tally counts the outcomes of one account's requests.
type tally struct {
	offered, inTime, refused, late int
	// inFirstMinute counts those answered in time within the first minute.
	inFirstMinute           int
	retries, retriesStarted int
	waits                   []time.Duration
	retryDelays             time.Duration
}

func (t *tally) p99() time.Duration {
	if len(t.waits) == 0 {
		return 0
	}
	slices.Sort(t.waits)
	return t.waits[len(t.waits)*99/100]
}

// simulation drives a machine with callers and a target whose service times are
// exponentially distributed. A refused request is retried once after its delay.
type simulation struct {
	machine  machine
	random   *rand.Rand
	mean     time.Duration
	deadline time.Duration
	schedule []scheduled
	number   uint64
	sent     map[btid.Request]sentRequest
	tallies  map[btid.Account]*tally
}

type scheduled struct {
	at time.Time
	do func(now time.Time)
}

type sentRequest struct {
	caller caller
	at     time.Time
	retry  bool
}

func newSimulation(m machine, seed uint64) *simulation {
	return &simulation{
		machine:  m,
		random:   newRandom(seed),
		mean:     200 * time.Millisecond,
		deadline: 3 * time.Second,
		sent:     map[btid.Request]sentRequest{},
		tallies:  map[btid.Account]*tally{},
	}
}

func (t *simulation) run(callers ...caller) map[btid.Account]*tally {
	for _, c := range callers {
		t.tallies[c.account] = &tally{}
		t.next(start, c)
	}
	for len(t.schedule) > 0 {
		d := t.schedule[0]
		t.schedule = t.schedule[1:]
		d.do(d.at)
	}
	return t.tallies
}

func (t *simulation) plan(at time.Time, do func(time.Time)) {
	i, _ := slices.BinarySearchFunc(t.schedule, at, func(d scheduled, at time.Time) int {
		if d.at.After(at) {
			return 1
		}
		return -1
	})
	t.schedule = slices.Insert(t.schedule, i, scheduled{at: at, do: do})
}

func (t *simulation) next(now time.Time, c caller) {
	at := now.Add(time.Duration(t.random.ExpFloat64() * float64(c.every)))
	if at.Sub(start) > c.until {
		return
	}
	t.plan(at, func(now time.Time) {
		t.tallies[c.account].offered++
		t.arrive(now, c, false)
		t.next(now, c)
	})
}

func (t *simulation) arrive(now time.Time, c caller, retry bool) {
	t.number++
	id := request(t.number)
	t.sent[id] = sentRequest{caller: c, at: now, retry: retry}
	t.apply(now, btqueue.Arrived{
		ID:       id,
		Account:  c.account,
		Weight:   c.weight,
		Priority: btrequest.Normal,
		Deadline: now.Add(t.deadline),
		Cost:     1,
	})
}

func (t *simulation) apply(now time.Time, event btqueue.Event) {
	for _, effect := range t.machine.Step(now, event) {
		switch e := effect.(type) {
		case btqueue.Start:
			t.started(now, e.ID)
		case btqueue.Refuse:
			t.refused(now, e)
		}
	}
}

func (t *simulation) started(now time.Time, id btid.Request) {
	a := t.sent[id]
	y := t.tallies[a.caller.account]
	took := time.Duration(t.random.ExpFloat64() * float64(t.mean))
	if a.retry {
		y.retriesStarted++
	} else {
		y.waits = append(y.waits, now.Sub(a.at))
	}
	if now.Add(took).After(a.at.Add(t.deadline)) {
		y.late++
	} else {
		y.inTime++
	}
	if now.Add(took).Before(earliest(a.at.Add(t.deadline), start.Add(time.Minute))) {
		y.inFirstMinute++
	}
	t.plan(now.Add(took), func(now time.Time) { t.apply(now, btqueue.Finished{ID: id, Took: took}) })
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (t *simulation) refused(now time.Time, e btqueue.Refuse) {
	a := t.sent[e.ID]
	y := t.tallies[a.caller.account]
	if a.retry {
		return
	}
	y.refused++
	y.retries++
	y.retryDelays += e.RetryAfter
	t.plan(now.Add(e.RetryAfter), func(now time.Time) { t.arrive(now, a.caller, true) })
}

// fifoQueue is the naive queue: first in, first out. It refuses requests when full,
// with the time in which the queue drains as the retry delay.
type fifoQueue struct {
	slots, queueLimit int
	mean              time.Duration
	waiting           []btid.Request
	running           int
}

func (f *fifoQueue) Step(_ time.Time, event btqueue.Event) []btqueue.Effect {
	var effects []btqueue.Effect
	switch e := event.(type) {
	case btqueue.Arrived:
		if len(f.waiting) >= f.queueLimit {
			after := f.mean * time.Duration(len(f.waiting)) / time.Duration(f.slots)
			return []btqueue.Effect{btqueue.Refuse{ID: e.ID, Reason: btqueue.ReasonFull, RetryAfter: after}}
		}
		f.waiting = append(f.waiting, e.ID)
	case btqueue.Finished:
		f.running--
	}
	for f.running < f.slots && len(f.waiting) > 0 {
		effects = append(effects, btqueue.Start{ID: f.waiting[0]})
		f.waiting = f.waiting[1:]
		f.running++
	}
	return effects
}
