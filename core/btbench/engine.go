package btbench

import (
	"container/list"
	"time"

	"bilberrytide/core/btid"
	"bilberrytide/core/btload"
)

// engine is the queueing model of one target and its agent.
type engine struct {
	sim        *simulation
	name       btid.Target
	dataCentre int
	slowdown   float64
	// expertLoad is the rank's expert work relative to the group's mean.
	expertLoad float64
	dead       bool

	running int
	queue   []*attempt
	// prefillDone is when all prompts started so far will be processed.
	prefillDone time.Time
	cache       prefixCache
	seq         uint64
	events      []btload.CacheEvent
	number      uint64
	samples     []sample
}

// sample is a load report with the time of its measurement.
type sample struct {
	at     time.Time
	report btload.Report
}

// prefixCache is a prefix cache with LRU eviction.
type prefixCache struct {
	limit    int
	order    *list.List
	elements map[uint64]*list.Element
}

func newPrefixCache(limit int) prefixCache {
	return prefixCache{limit: limit, order: list.New(), elements: map[uint64]*list.Element{}}
}

// hits returns the number of leading chunks of the chain that are cached.
func (c *prefixCache) hits(chain []uint64) int {
	for i, prefix := range chain {
		if _, ok := c.elements[prefix]; !ok {
			return i
		}
	}
	return len(chain)
}

// store caches the chain. Its last chunk becomes the least recently used, so that leaves
// are evicted first.
func (e *engine) store(chain []uint64) {
	c := &e.cache
	for i := len(chain) - 1; i >= 0; i-- {
		prefix := chain[i]
		if element, ok := c.elements[prefix]; ok {
			c.order.MoveToFront(element)
			continue
		}
		c.elements[prefix] = c.order.PushFront(prefix)
		e.publish(btload.Stored, prefix)
	}
	for c.order.Len() > c.limit {
		oldest := c.order.Back()
		prefix := c.order.Remove(oldest).(uint64)
		delete(c.elements, prefix)
		e.publish(btload.Evicted, prefix)
	}
}

func (e *engine) publish(op btload.CacheOp, prefix uint64) {
	e.seq++
	e.events = append(e.events, btload.CacheEvent{Seq: e.seq, Op: op, Prefix: prefix})
}

func (e *engine) prefill() time.Duration {
	return time.Duration(float64(e.sim.fleet.Prefill) * e.slowdown)
}

// step returns the time per generated token at the present batch: in a group, that of
// the slowest rank.
func (e *engine) step() time.Duration {
	if !e.sim.fleet.Lockstep {
		return e.ownStep()
	}
	slowest, _ := e.sim.steps()
	return slowest
}

func (e *engine) ownStep() time.Duration {
	f := e.sim.fleet
	fill := float64(e.running) / float64(f.Slots)
	return time.Duration(float64(f.Step) * e.slowdown * (f.StepFloor*e.expertLoad + (1-f.StepFloor)*fill))
}

// steps returns the slowest rank's step time and the mean.
func (s *simulation) steps() (slowest, mean time.Duration) {
	for _, e := range s.engines {
		own := e.ownStep()
		slowest = max(slowest, own)
		mean += own / time.Duration(len(s.engines))
	}
	return slowest, mean
}

// Bounds of the ranks' relative expert work, which is spread evenly between them.
const (
	leastExpertLoad = 0.7
	mostExpertLoad  = 1.3
)

// relativeExpertLoad returns the expert work of a rank relative to its group's mean; 1 for
// a target that isn't a rank.
func relativeExpertLoad(rank int, f Fleet) float64 {
	if !f.Lockstep || f.Targets < 2 {
		return 1
	}
	return leastExpertLoad + (mostExpertLoad-leastExpertLoad)*float64(rank)/float64(f.Targets-1)
}

// estimateWait returns the agent's estimate of the time until processing of a new
// request's prompt starts: all earlier prompts are processed and a slot is free.
func (e *engine) estimateWait(now time.Time) time.Duration {
	prompts := max(e.prefillDone.Sub(now), 0)
	for _, a := range e.queue {
		prompts += e.ownPrefill(a)
	}
	if e.running+len(e.queue) < e.sim.fleet.Slots {
		return prompts
	}
	slotTime := time.Duration(float64(e.sim.fleet.Step) * e.slowdown * meanOutput)
	return max(prompts, time.Duration(len(e.queue)+1)*slotTime/time.Duration(e.sim.fleet.Slots))
}

// ownPrefill returns the time to process the attempt's prompt alone.
func (e *engine) ownPrefill(a *attempt) time.Duration {
	chain := a.arrival.Prefixes
	uncached := len(chain) - e.cache.hits(chain)
	return time.Duration(uncached*btload.ChunkTokens) * e.prefill()
}

// admit starts or queues the attempt. It refuses one that would not get its first token
// in time, and returns the time until it would.
func (e *engine) admit(now time.Time, a *attempt) (refused bool, after time.Duration) {
	share := e.sim.fleet.AdmitNew
	if a.call.reserved {
		share = e.sim.fleet.AdmitReserved
	}
	left := time.Duration(share * float64(a.call.deadline.Sub(now)))
	late := e.estimateWait(now) + e.ownPrefill(a) + e.step() - left
	if late > 0 || len(e.queue) >= e.sim.fleet.Queue {
		return true, max(late, e.step())
	}
	if e.running < e.sim.fleet.Slots {
		e.start(now, a)
	} else {
		e.queue = append(e.queue, a)
	}
	return false, 0
}

// start runs the attempt in a free slot.
func (e *engine) start(now time.Time, a *attempt) {
	e.running++
	a.hits = e.cache.hits(a.arrival.Prefixes)
	start := now
	if e.prefillDone.After(now) {
		start = e.prefillDone
	}
	e.prefillDone = start.Add(e.ownPrefill(a))
	e.sim.schedule(e.prefillDone, func(now time.Time) {
		e.store(a.arrival.Prefixes)
		step := e.step()
		e.sim.schedule(now.Add(step), func(now time.Time) { e.sim.firstToken(now, a) })
		e.sim.schedule(now.Add(step*time.Duration(a.arrival.Output)), func(now time.Time) { e.finish(now, a) })
	})
}

// finish frees the attempt's slot and starts the next in the queue.
func (e *engine) finish(now time.Time, a *attempt) {
	e.running--
	e.sim.finishAnswer(now, a)
	if len(e.queue) > 0 {
		next := e.queue[0]
		e.queue = e.queue[1:]
		e.start(now, next)
	}
}

// sampleLoad stores a load sample, to be reported after the report lag.
func (e *engine) sampleLoad(now time.Time) {
	e.number++
	outstanding := int64(max(e.prefillDone.Sub(now), 0) / e.prefill())
	for _, a := range e.queue {
		outstanding += int64(e.ownPrefill(a) / e.prefill())
	}
	var experts float64
	if e.sim.fleet.Lockstep {
		experts = e.expertLoad
	}
	e.samples = append(e.samples, sample{at: now, report: btload.Report{
		ExpertLoad:        experts,
		Target:            e.name,
		Incarnation:       1,
		Number:            e.number,
		Running:           e.running,
		Waiting:           len(e.queue),
		Slots:             e.sim.fleet.Slots,
		QueueCapacity:     e.sim.fleet.Queue,
		StepTime:          e.step(),
		OutstandingTokens: outstanding,
	}})
}

// report returns the newest sample that is at least as old as the lag; false if there is
// none.
func (e *engine) report(now time.Time, lag time.Duration) (btload.Report, bool) {
	var newest int
	for newest < len(e.samples) && !e.samples[newest].at.Add(lag).After(now) {
		newest++
	}
	if newest == 0 {
		return btload.Report{}, false
	}
	e.samples = e.samples[newest-1:]
	report := e.samples[0].report
	report.Age = now.Sub(e.samples[0].at)
	return report, true
}
