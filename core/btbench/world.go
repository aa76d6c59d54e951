package btbench

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"bilberrytide/core/btassert"
	"bilberrytide/core/btid"
	"bilberrytide/core/btload"
	"bilberrytide/core/btretry"
	"bilberrytide/core/btroute"
)

// Intervals of the model.
const (
	sampleInterval    = 50 * time.Millisecond
	heartbeatInterval = 250 * time.Millisecond
	leaseLength       = 1500 * time.Millisecond
	eventInterval     = 500 * time.Millisecond
	// contactTimeout is when an entry gives up on an agent that is silent.
	contactTimeout = 500 * time.Millisecond
	healthyLag     = 100 * time.Millisecond
	healthyDelay   = 200 * time.Millisecond
)

const service btid.Service = "assistant"

var epoch = time.Unix(1_700_000_000, 0)

// world is one replay.
type world struct {
	fleet    Fleet
	faults   Faults
	returns  Return
	anyEntry bool
	now      time.Time
	until    time.Time
	agenda   agenda
	random   *rand.Rand
	engines  []*engine
	entries  []*entry
	result   Result
}

// timer is one thing to happen; order breaks ties.
type timer struct {
	at    time.Time
	order int
	run   func(now time.Time)
}

// agenda is a heap of timers.
type agenda struct {
	timers []timer
	order  int
}

// Len is part of heap.Interface.
func (a *agenda) Len() int { return len(a.timers) }

// Less is part of heap.Interface.
func (a *agenda) Less(i, j int) bool {
	if !a.timers[i].at.Equal(a.timers[j].at) {
		return a.timers[i].at.Before(a.timers[j].at)
	}
	return a.timers[i].order < a.timers[j].order
}

// Swap is part of heap.Interface.
func (a *agenda) Swap(i, j int) { a.timers[i], a.timers[j] = a.timers[j], a.timers[i] }

// Push is part of heap.Interface.
func (a *agenda) Push(x any) { a.timers = append(a.timers, x.(timer)) }

// Pop is part of heap.Interface.
func (a *agenda) Pop() any {
	last := a.timers[len(a.timers)-1]
	a.timers = a.timers[:len(a.timers)-1]
	return last
}

func (w *world) at(at time.Time, run func(now time.Time)) {
	w.agenda.order++
	heap.Push(&w.agenda, timer{at: at, order: w.agenda.order, run: run})
}

// every runs something at an interval until the trace has ended.
func (w *world) every(interval time.Duration, run func(now time.Time)) {
	var again func(now time.Time)
	again = func(now time.Time) {
		run(now)
		if now.Before(w.until) {
			w.at(now.Add(interval), again)
		}
	}
	w.at(w.now, again)
}

// Replay runs one trace under one policy.
func Replay(f Fleet, c Case, p Contender, trace []Arrival) Result {
	w := &world{
		fleet:    f,
		faults:   c.Faults,
		returns:  c.Return,
		anyEntry: c.AnyEntry,
		now:      epoch,
		until:    epoch.Add(c.Load.Length + time.Minute),
		random:   rand.New(rand.NewPCG(c.Load.Seed, 11)),
		result:   newResult(c, p, len(trace)),
	}
	w.build(p, c.Load.Seed)
	w.start(trace)
	for w.agenda.Len() > 0 {
		next := heap.Pop(&w.agenda).(timer)
		w.now = next.at
		next.run(next.at)
	}
	return w.result.finish(c.Load.Length)
}

func (w *world) build(p Contender, seed uint64) {
	var members []btroute.Member
	for i := range w.fleet.Targets {
		e := &engine{
			world:      w,
			name:       btid.Target(fmt.Sprintf("t%03d", i)),
			dataCentre: i % w.fleet.DataCentres,
			slow:       1,
			cache:      newLRU(w.fleet.CacheChunks),
			experts:    expertLoad(i, w.fleet),
		}
		w.engines = append(w.engines, e)
		members = append(members, btroute.Member{Target: e.name, DataCentre: dataCentre(e.dataCentre), Region: "r"})
	}
	for i := range w.fleet.DataCentres {
		w.entries = append(w.entries, w.newEntry(p, i, seed, members))
	}
}

func dataCentre(i int) btid.DataCentre { return btid.DataCentre(fmt.Sprintf("dc%d", i)) }

func (w *world) newEntry(p Contender, i int, seed uint64, members []btroute.Member) *entry {
	c := btroute.Defaults()
	c.DataCentre, c.Region = dataCentre(i), "r"
	c.SkewWeight = p.SkewWeight
	a := btassert.New(btassert.Panic())
	router := btroute.New(c, btload.New(p.Load), rand.NewPCG(seed, uint64(100+i)), a)
	if p.Policy != nil {
		router.SetPolicy(p.Policy(i, rand.NewPCG(seed, uint64(200+i))))
	}
	router.Step(w.now, btroute.Members{Service: service, Targets: members})
	retry := btretry.DefaultConfig()
	budget := btretry.NewBudget(retry)
	return &entry{
		world:      w,
		dataCentre: i,
		router:     router,
		budget:     budget,
		reserved:   btretry.NewReservations(btretry.DefaultReservationConfig()),
		decider:    btretry.New(retry, budget, rand.NewPCG(seed, uint64(300+i))),
	}
}

// start puts the trace, the regular messages and the faults on the agenda.
func (w *world) start(trace []Arrival) {
	w.every(sampleInterval, func(now time.Time) {
		for _, e := range w.engines {
			e.sampleLoad(now)
		}
		w.result.step(w.steps())
	})
	w.every(heartbeatInterval, w.heartbeats)
	w.every(eventInterval, w.cacheEvents)
	w.at(epoch.Add(w.faults.From), func(time.Time) { w.fail() })
	for i := range trace {
		w.at(epoch.Add(time.Second+trace[i].At), func(now time.Time) { w.submit(now, &trace[i], int(trace[i].Entry), false) })
	}
}

func (w *world) fail() {
	if w.faults.SlowTarget > 0 {
		w.engines[len(w.engines)-1].slow = w.faults.SlowTarget
	}
	if !w.faults.DeadDataCentre {
		return
	}
	for _, e := range w.engines {
		e.dead = e.dead || e.dataCentre == 1
	}
	w.entries[1].dead = true
}

func (w *world) faulty(now time.Time) bool { return !now.Before(epoch.Add(w.faults.From)) }

func (w *world) lag(now time.Time) time.Duration {
	if w.faults.ReportLag > 0 && w.faulty(now) {
		return w.faults.ReportLag
	}
	return healthyLag
}

func (w *world) heartbeats(now time.Time) {
	for _, e := range w.engines {
		if e.dead {
			continue
		}
		for _, t := range w.entries {
			w.tell(now, e, t)
			w.at(now.Add(w.hop(e, t)), func(now time.Time) {
				t.step(now, btroute.Lease{Target: e.name, Until: now.Add(leaseLength)})
			})
		}
	}
}

// tell sends the target's present report to the entry.
func (w *world) tell(now time.Time, e *engine, t *entry) {
	report, ok := e.report(now, w.lag(now))
	if !ok {
		return
	}
	w.at(now.Add(w.hop(e, t)), func(now time.Time) {
		t.step(now, btroute.LoadEvent{Event: btload.Reported{Report: report}})
	})
}

func (w *world) cacheEvents(now time.Time) {
	delay, loss := healthyDelay, 0.0
	if w.faulty(now) && w.faults.EventDelay > 0 {
		delay, loss = w.faults.EventDelay, w.faults.EventLoss
	}
	for _, e := range w.engines {
		for len(e.events) > 0 && !e.dead {
			count := min(len(e.events), btload.MaxCacheEvents)
			batch := btload.CacheEvents{Target: e.name, Epoch: 1, Events: e.events[:count:count]}
			e.events = e.events[count:]
			for _, t := range w.entries {
				if w.random.Float64() < loss {
					continue
				}
				w.at(now.Add(delay), func(now time.Time) {
					t.step(now, btroute.LoadEvent{Event: btload.CacheReported{Batch: batch}})
				})
			}
		}
	}
}

func (w *world) hop(e *engine, t *entry) time.Duration {
	if e.dataCentre == t.dataCentre {
		return w.fleet.Hop
	}
	return w.fleet.FarHop
}
