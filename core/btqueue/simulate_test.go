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

// caller is a source of requests of one account, at random times.
type caller struct {
	account btid.Account
	weight  float64
	every   time.Duration
	until   time.Duration
}

// tally is what became of one account's requests.
type tally struct {
	offered, inTime, refused, late int
	// during counts those answered in time within the first minute.
	during          int
	back, backTaken int
	waits           []time.Duration
	told            time.Duration
}

func (t *tally) p99() time.Duration {
	if len(t.waits) == 0 {
		return 0
	}
	slices.Sort(t.waits)
	return t.waits[len(t.waits)*99/100]
}

// trial drives a machine with callers and a target whose requests take random
// times of a mean. Refused requests come back once when they were told to.
type trial struct {
	machine  machine
	random   *rand.Rand
	mean     time.Duration
	deadline time.Duration
	agenda   []due
	number   uint64
	asked    map[btid.Request]asked
	tallies  map[btid.Account]*tally
}

type due struct {
	at time.Time
	do func(now time.Time)
}

type asked struct {
	caller  caller
	at      time.Time
	returns bool
}

func newTrial(m machine, seed uint64) *trial {
	return &trial{
		machine:  m,
		random:   newRandom(seed),
		mean:     200 * time.Millisecond,
		deadline: 3 * time.Second,
		asked:    map[btid.Request]asked{},
		tallies:  map[btid.Account]*tally{},
	}
}

func (t *trial) run(callers ...caller) map[btid.Account]*tally {
	for _, c := range callers {
		t.tallies[c.account] = &tally{}
		t.next(start, c)
	}
	for len(t.agenda) > 0 {
		d := t.agenda[0]
		t.agenda = t.agenda[1:]
		d.do(d.at)
	}
	return t.tallies
}

func (t *trial) plan(at time.Time, do func(time.Time)) {
	i, _ := slices.BinarySearchFunc(t.agenda, at, func(d due, at time.Time) int {
		if d.at.After(at) {
			return 1
		}
		return -1
	})
	t.agenda = slices.Insert(t.agenda, i, due{at: at, do: do})
}

func (t *trial) next(now time.Time, c caller) {
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

func (t *trial) arrive(now time.Time, c caller, returns bool) {
	t.number++
	id := request(t.number)
	t.asked[id] = asked{caller: c, at: now, returns: returns}
	t.apply(now, btqueue.Arrived{
		ID:       id,
		Account:  c.account,
		Weight:   c.weight,
		Priority: btrequest.Normal,
		Deadline: now.Add(t.deadline),
		Cost:     1,
	})
}

func (t *trial) apply(now time.Time, event btqueue.Event) {
	for _, effect := range t.machine.Step(now, event) {
		switch e := effect.(type) {
		case btqueue.Start:
			t.started(now, e.ID)
		case btqueue.Refuse:
			t.refused(now, e)
		}
	}
}

func (t *trial) started(now time.Time, id btid.Request) {
	a := t.asked[id]
	y := t.tallies[a.caller.account]
	took := time.Duration(t.random.ExpFloat64() * float64(t.mean))
	if a.returns {
		y.backTaken++
	} else {
		y.waits = append(y.waits, now.Sub(a.at))
	}
	if now.Add(took).After(a.at.Add(t.deadline)) {
		y.late++
	} else {
		y.inTime++
	}
	if now.Add(took).Before(earliest(a.at.Add(t.deadline), start.Add(time.Minute))) {
		y.during++
	}
	t.plan(now.Add(took), func(now time.Time) { t.apply(now, btqueue.Finished{ID: id, Took: took}) })
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (t *trial) refused(now time.Time, e btqueue.Refuse) {
	a := t.asked[e.ID]
	y := t.tallies[a.caller.account]
	if a.returns {
		return
	}
	y.refused++
	y.back++
	y.told += e.RetryAfter
	t.plan(now.Add(e.RetryAfter), func(now time.Time) { t.arrive(now, a.caller, true) })
}

// fifo is the naive queue: first come, first served; refused when full, with
// the time in which the queue drains.
type fifo struct {
	slots, room int
	mean        time.Duration
	waiting     []btid.Request
	running     int
}

func (f *fifo) Step(_ time.Time, event btqueue.Event) []btqueue.Effect {
	var effects []btqueue.Effect
	switch e := event.(type) {
	case btqueue.Arrived:
		if len(f.waiting) >= f.room {
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
