package btnotice_test

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btgate"
	"bilberrytide/core/btid"
	"bilberrytide/core/btinventory"
	"bilberrytide/core/btnotice"
)

// The load of the simulation: entries before a few plain targets that refuse requests beyond
// their slots and queue, and ask for rest. Callers come at a steady rate with a burst, and
// retry once at a random entry.
const (
	simEntries  = 4
	simTargets  = 4
	simSlots    = 8
	simQueue    = 4
	simWork     = 100 * time.Millisecond
	simRest     = 3 * time.Second
	simRate     = 200.0
	simBurst    = 1000.0
	simBurstAt  = time.Second
	simBurstEnd = 2500 * time.Millisecond
	simEnd      = 12 * time.Second
	simDeadline = 6 * time.Second
	// simCallerShare is the largest part of its time left that a caller waits to retry.
	simCallerShare = 1.0 / 3
)

// releaseWay is how targets are used at the end of their rests.
type releaseWay string

const (
	atOnce   releaseWay = "at once"
	timed    releaseWay = "over half of the rest"
	windowed releaseWay = "one more for each accepted"
)

// refuseWay is what happens to requests while all targets rest.
type refuseWay string

const (
	refuseAll   refuseWay = "refuse all, retry at the end"
	queueSame   refuseWay = "queue, retry at the end"
	queueRandom refuseWay = "queue, retry at random"
	queueBooked refuseWay = "queue, retry one after the other"
)

// simCall is an attempt of a caller.
type simCall struct {
	deadline time.Time
	retried  bool
}

// simResult is what a run counts.
type simResult struct {
	calls, served, shed int
	waited              time.Duration
}

// simEvent is something that happens at a time.
type simEvent struct {
	at  time.Time
	run func()
}

type simQueueOfEvents []simEvent

func (q simQueueOfEvents) Len() int           { return len(q) }
func (q simQueueOfEvents) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q simQueueOfEvents) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *simQueueOfEvents) Push(x any)        { *q = append(*q, x.(simEvent)) }
func (q *simQueueOfEvents) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simulation is one run.
type simulation struct {
	release releaseWay
	refuse  refuseWay
	random  *rand.Rand
	now     time.Time
	events  simQueueOfEvents
	entries []*simEntry
	// atWork counts the requests at each target.
	atWork [simTargets]int
	result simResult
}

// simEntry is an entry with its own view of the targets.
type simEntry struct {
	*simulation
	register *btnotice.Register
	gate     *btgate.Gate[simCall]
	sent     [simTargets]int
	resumeAt time.Time
}

func instance(i int) btinventory.Instance {
	return btinventory.Instance{ID: "i", Start: btid.Incarnation(1 + i)}
}

func simulate(release releaseWay, refuse refuseWay, seed uint64) simResult {
	s := &simulation{release: release, refuse: refuse, random: rand.New(rand.NewPCG(seed, 1)), now: start}
	for range simEntries {
		s.entries = append(s.entries, &simEntry{
			simulation: s,
			register:   btnotice.NewRegister(),
			gate:       btgate.New[simCall](btgate.Config{MinLimit: 1, MaxLimit: 1, InitialLimit: 1, Entries: 1}),
		})
	}
	s.nextArrival()
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.run()
	}
	return s.result
}

func (s *simulation) after(d time.Duration, run func()) {
	heap.Push(&s.events, simEvent{at: s.now.Add(d), run: run})
}

func (s *simulation) nextArrival() {
	rate := simRate
	if t := s.now.Sub(start); t >= simBurstAt && t < simBurstEnd {
		rate = simBurst
	}
	s.after(time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), func() {
		if s.now.Sub(start) > simEnd {
			return
		}
		s.result.calls++
		s.anyEntry().arrive(simCall{deadline: s.now.Add(simDeadline)})
		s.nextArrival()
	})
}

func (s *simulation) anyEntry() *simEntry { return s.entries[s.random.IntN(len(s.entries))] }

// window returns how many requests the target may have.
func (s *simEntry) window(i int) int {
	const all = simSlots + simQueue
	switch s.release {
	case windowed:
		if size, limited := s.register.Window(instance(i)); limited {
			return size
		}
	case timed:
		if _, limited := s.register.Window(instance(i)); limited {
			since := s.now.Sub(s.lastEnd(i))
			return max(1, min(all, int(float64(all)*since.Seconds()/(simRest/2).Seconds())))
		}
	}
	return all
}

// lastEnd returns the end of the target's last rest.
func (s *simEntry) lastEnd(i int) time.Time {
	low, high := start, s.now.Add(simRest)
	for high.Sub(low) > time.Millisecond {
		middle := low.Add(high.Sub(low) / 2)
		if _, rests := s.register.RestEnd(middle, instance(i)); rests {
			low = middle
		} else {
			high = middle
		}
	}
	return high
}

// configure updates the gate, and returns the first end of a rest if all targets rest.
func (s *simEntry) configure() time.Time {
	limit := 0
	var first time.Time
	resting := 0
	for i := range simTargets {
		end, rests := s.register.RestEnd(s.now, instance(i))
		if !rests {
			limit += s.window(i)
			continue
		}
		resting++
		if first.IsZero() || end.Before(first) {
			first = end
		}
	}
	if resting < simTargets {
		first = time.Time{}
	} else {
		limit = simTargets
	}
	s.gate.Configure(btgate.Config{MinLimit: float64(limit), MaxLimit: float64(limit), InitialLimit: float64(limit), Entries: 1})
	s.gate.PauseUntil(first)
	if !first.IsZero() && !first.Equal(s.resumeAt) {
		s.resumeAt = first
		s.after(first.Sub(s.now), func() { s.resume() })
	}
	return first
}

func (s *simEntry) resume() {
	s.configure()
	for _, w := range s.gate.Resume(s.now) {
		s.send(w.Value)
	}
}

func (s *simEntry) arrive(c simCall) {
	end := s.configure()
	if s.gate.TryAcquire(s.now) {
		s.send(c)
		return
	}
	left := c.deadline.Sub(s.now)
	wait := s.now.Add(btgate.MaxWait(left))
	if s.refuse == refuseAll && !end.IsZero() {
		s.turnAway(c, end)
		return
	}
	w := s.gate.Enqueue(s.now, btgate.Request{WaitUntil: wait, StartBy: wait, LastAttempt: c.retried}, c)
	if w == nil {
		s.turnAway(c, end)
		return
	}
	s.after(wait.Sub(s.now), func() {
		if s.gate.Cancel(w) {
			s.turnAway(c, s.configure())
		}
	})
}

// turnAway refuses an attempt; its caller retries once.
func (s *simEntry) turnAway(c simCall, end time.Time) {
	left := c.deadline.Sub(s.now)
	delay := left / 3
	if !end.IsZero() {
		rest := end.Sub(s.now)
		delay = rest
		switch s.refuse {
		case queueRandom:
			delay = btnotice.RetryAfter(rest, s.random.Float64)
		case queueBooked:
			booked := s.gate.RetryAfter(s.now, rest+rest/2)
			delay = max(booked, rest)
			if booked >= rest+rest/2 {
				delay = rest + time.Duration(s.random.Float64()*float64(rest)/2)
			}
		}
	}
	if c.retried {
		return
	}
	s.after(min(delay, time.Duration(float64(left)*simCallerShare)), func() {
		s.anyEntry().arrive(simCall{deadline: c.deadline, retried: true})
	})
}

// send sends an admitted attempt to the least loaded target that doesn't rest.
func (s *simEntry) send(c simCall) {
	best := -1
	for i := range simTargets {
		if _, rests := s.register.RestEnd(s.now, instance(i)); rests {
			continue
		}
		if best < 0 || s.sent[i]-s.window(i) < s.sent[best]-s.window(best) {
			best = i
		}
	}
	if best < 0 {
		s.releaseSlot(0)
		s.turnAway(c, s.configure())
		return
	}
	if s.atWork[best] >= simSlots+simQueue {
		s.result.shed++
		s.register.Observe(s.now, instance(best), btnotice.Notice{Rest: simRest})
		s.releaseSlot(0)
		s.arrive(c)
		return
	}
	s.atWork[best]++
	s.sent[best]++
	sentAt := s.now
	work := simWork * time.Duration(s.atWork[best]) / simSlots
	s.after(max(work, simWork), func() {
		s.atWork[best]--
		s.sent[best]--
		s.register.RecordAccepted(s.now, sentAt, instance(best), simSlots)
		s.result.served++
		s.result.waited += s.now.Sub(c.deadline.Add(-simDeadline))
		s.releaseSlot(s.now.Sub(sentAt))
	})
}

func (s *simEntry) releaseSlot(held time.Duration) {
	s.configure()
	for _, w := range s.gate.Release(s.now, held) {
		s.send(w.Value)
	}
}

// TestWaysThroughARestOfAllTargets compares ways to handle requests while all targets rest
// and after it, on the same load and seeds. Run with -v for the table of docs/design/rests.md.
func TestWaysThroughARestOfAllTargets(t *testing.T) {
	seeds := uint64(10)
	results := map[releaseWay]map[refuseWay]simResult{}
	for _, release := range []releaseWay{atOnce, timed, windowed} {
		results[release] = map[refuseWay]simResult{}
		for _, refuse := range []refuseWay{refuseAll, queueSame, queueRandom, queueBooked} {
			var sum simResult
			for seed := range seeds {
				r := simulate(release, refuse, seed)
				sum.calls += r.calls
				sum.served += r.served
				sum.shed += r.shed
				sum.waited += r.waited
			}
			results[release][refuse] = sum
			t.Logf("%-28s | %-34s | served %.4f | refused by targets %d | mean time %s", release, refuse, float64(sum.served)/float64(sum.calls), sum.shed/int(seeds), (sum.waited / time.Duration(sum.served)).Round(time.Millisecond))
		}
	}
	used := results[windowed][queueRandom]
	assert.Assert(t, used.served >= results[windowed][refuseAll].served, "refusing all serves more")
	assert.Assert(t, used.shed <= results[atOnce][queueRandom].shed, "sending all at once costs fewer refusals")
}
