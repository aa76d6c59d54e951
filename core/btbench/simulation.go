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
	// contactTimeout is how long an entry waits for a silent agent.
	contactTimeout = 500 * time.Millisecond
	healthyLag     = 100 * time.Millisecond
	healthyDelay   = 200 * time.Millisecond
)

const service btid.Service = "assistant"

var epoch = time.Unix(1_700_000_000, 0)

// simulation is the state of one replay.
type simulation struct {
	fleet         Fleet
	faults        Faults
	retryTiming   RetryTiming
	retryAnyEntry bool
	now           time.Time
	until         time.Time
	events        eventQueue
	random        *rand.Rand
	engines       []*engine
	entries       []*entry
	result        Result
}

// event is a scheduled callback; order breaks ties of time.
type event struct {
	at    time.Time
	order int
	run   func(now time.Time)
}

// eventQueue is a heap of events by time.
type eventQueue struct {
	events []event
	order  int
}

// Len implements heap.Interface.
func (a *eventQueue) Len() int { return len(a.events) }

// Less implements heap.Interface.
func (a *eventQueue) Less(i, j int) bool {
	if !a.events[i].at.Equal(a.events[j].at) {
		return a.events[i].at.Before(a.events[j].at)
	}
	return a.events[i].order < a.events[j].order
}

// Swap implements heap.Interface.
func (a *eventQueue) Swap(i, j int) { a.events[i], a.events[j] = a.events[j], a.events[i] }

// Push implements heap.Interface.
func (a *eventQueue) Push(x any) { a.events = append(a.events, x.(event)) }

// Pop implements heap.Interface.
func (a *eventQueue) Pop() any {
	last := a.events[len(a.events)-1]
	a.events = a.events[:len(a.events)-1]
	return last
}

func (s *simulation) schedule(at time.Time, run func(now time.Time)) {
	s.events.order++
	heap.Push(&s.events, event{at: at, order: s.events.order, run: run})
}

// every calls run at an interval until the end of the simulation.
func (s *simulation) every(interval time.Duration, run func(now time.Time)) {
	var again func(now time.Time)
	again = func(now time.Time) {
		run(now)
		if now.Before(s.until) {
			s.schedule(now.Add(interval), again)
		}
	}
	s.schedule(s.now, again)
}

// Replay runs one trace under one policy and returns its measurements.
func Replay(f Fleet, c Case, p PolicyConfig, trace []Arrival) Result {
	s := &simulation{
		fleet:         f,
		faults:        c.Faults,
		retryTiming:   c.RetryTiming,
		retryAnyEntry: c.RetryAnyEntry,
		now:           epoch,
		until:         epoch.Add(c.Load.Length + time.Minute),
		random:        rand.New(rand.NewPCG(c.Load.Seed, 11)),
		result:        newResult(c, p, len(trace)),
	}
	s.build(p, c.Load.Seed)
	s.start(trace)
	for s.events.Len() > 0 {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.run(next.at)
	}
	return s.result.finish(c.Load.Length)
}

func (s *simulation) build(p PolicyConfig, seed uint64) {
	var members []btroute.Member
	for i := range s.fleet.Targets {
		e := &engine{
			sim:        s,
			name:       btid.Target(fmt.Sprintf("t%03d", i)),
			dataCentre: i % s.fleet.DataCentres,
			slowdown:   1,
			cache:      newPrefixCache(s.fleet.CacheChunks),
			expertLoad: relativeExpertLoad(i, s.fleet),
		}
		s.engines = append(s.engines, e)
		members = append(members, btroute.Member{Target: e.name, DataCentre: dataCentre(e.dataCentre), Region: "r"})
	}
	for i := range s.fleet.DataCentres {
		s.entries = append(s.entries, s.newEntry(p, i, seed, members))
	}
}

func dataCentre(i int) btid.DataCentre { return btid.DataCentre(fmt.Sprintf("dc%d", i)) }

func (s *simulation) newEntry(p PolicyConfig, i int, seed uint64, members []btroute.Member) *entry {
	c := btroute.Defaults()
	c.DataCentre, c.Region = dataCentre(i), "r"
	c.SkewWeight = p.SkewWeight
	a := btassert.New(btassert.Panic())
	router := btroute.New(c, btload.New(p.Load), rand.NewPCG(seed, uint64(100+i)), a)
	if p.Policy != nil {
		router.SetPolicy(p.Policy(i, rand.NewPCG(seed, uint64(200+i))))
	}
	router.Step(s.now, btroute.Members{Service: service, Targets: members})
	retry := btretry.DefaultConfig()
	budget := btretry.NewBudget(retry)
	return &entry{
		sim:        s,
		dataCentre: i,
		router:     router,
		budget:     budget,
		reserved:   btretry.NewReservations(btretry.DefaultReservationConfig()),
		decider:    btretry.New(retry, budget, rand.NewPCG(seed, uint64(300+i))),
	}
}

// start schedules the trace, the periodic messages and the faults.
func (s *simulation) start(trace []Arrival) {
	s.every(sampleInterval, func(now time.Time) {
		for _, e := range s.engines {
			e.sampleLoad(now)
		}
		s.result.addStep(s.steps())
	})
	s.every(heartbeatInterval, s.heartbeats)
	s.every(eventInterval, s.cacheEvents)
	s.schedule(epoch.Add(s.faults.From), func(time.Time) { s.injectFaults() })
	for i := range trace {
		s.schedule(epoch.Add(time.Second+trace[i].At), func(now time.Time) { s.submit(now, &trace[i], int(trace[i].Entry), false) })
	}
}

func (s *simulation) injectFaults() {
	if s.faults.SlowTarget > 0 {
		s.engines[len(s.engines)-1].slowdown = s.faults.SlowTarget
	}
	if !s.faults.DeadDataCentre {
		return
	}
	for _, e := range s.engines {
		e.dead = e.dead || e.dataCentre == 1
	}
	s.entries[1].dead = true
}

func (s *simulation) faulty(now time.Time) bool { return !now.Before(epoch.Add(s.faults.From)) }

func (s *simulation) reportLag(now time.Time) time.Duration {
	if s.faults.ReportLag > 0 && s.faulty(now) {
		return s.faults.ReportLag
	}
	return healthyLag
}

func (s *simulation) heartbeats(now time.Time) {
	for _, e := range s.engines {
		if e.dead {
			continue
		}
		for _, t := range s.entries {
			s.sendReport(now, e, t)
			s.schedule(now.Add(s.delay(e, t)), func(now time.Time) {
				t.step(now, btroute.Lease{Target: e.name, Until: now.Add(leaseLength)})
			})
		}
	}
}

// sendReport sends the target's newest load report to the entry.
func (s *simulation) sendReport(now time.Time, e *engine, t *entry) {
	report, ok := e.report(now, s.reportLag(now))
	if !ok {
		return
	}
	s.schedule(now.Add(s.delay(e, t)), func(now time.Time) {
		t.step(now, btroute.LoadEvent{Event: btload.Reported{Report: report}})
	})
}

func (s *simulation) cacheEvents(now time.Time) {
	delay, loss := healthyDelay, 0.0
	if s.faulty(now) && s.faults.EventDelay > 0 {
		delay, loss = s.faults.EventDelay, s.faults.EventLoss
	}
	for _, e := range s.engines {
		for len(e.events) > 0 && !e.dead {
			count := min(len(e.events), btload.MaxCacheEvents)
			batch := btload.CacheEvents{Target: e.name, Epoch: 1, Events: e.events[:count:count]}
			e.events = e.events[count:]
			for _, t := range s.entries {
				if s.random.Float64() < loss {
					continue
				}
				s.schedule(now.Add(delay), func(now time.Time) {
					t.step(now, btroute.LoadEvent{Event: btload.CacheReported{Batch: batch}})
				})
			}
		}
	}
}

func (s *simulation) delay(e *engine, t *entry) time.Duration {
	if e.dataCentre == t.dataCentre {
		return s.fleet.LocalDelay
	}
	return s.fleet.RemoteDelay
}
