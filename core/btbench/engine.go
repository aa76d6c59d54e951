package btbench

import (
	"container/list"
	"time"

	"bilberrytide/core/btid"
	"bilberrytide/core/btload"
)

// engine is the queueing model of one target and the agent beside it.
type engine struct {
	world      *world
	name       btid.Target
	dataCentre int
	slow       float64
	// experts is the rank's expert work over the group's mean.
	experts float64
	dead    bool

	running int
	queue   []*attempt
	// prefillFree is when the prompts accepted so far are processed.
	prefillFree time.Time
	cache       lru
	seq         uint64
	events      []btload.CacheEvent
	number      uint64
	samples     []sample
}

// sample is a load report with the time at which it was taken.
type sample struct {
	at     time.Time
	report btload.Report
}

// lru is a prefix cache of limited memory.
type lru struct {
	limit  int
	order  *list.List
	places map[uint64]*list.Element
}

func newLRU(limit int) lru {
	return lru{limit: limit, order: list.New(), places: map[uint64]*list.Element{}}
}

// hits returns how many chunks are cached, from the chain's start.
func (c *lru) hits(chain []uint64) int {
	for i, prefix := range chain {
		if _, ok := c.places[prefix]; !ok {
			return i
		}
	}
	return len(chain)
}

// store caches the chain, the last chunk as the oldest, so that leaves go
// first.
func (e *engine) store(chain []uint64) {
	c := &e.cache
	for i := len(chain) - 1; i >= 0; i-- {
		prefix := chain[i]
		if place, ok := c.places[prefix]; ok {
			c.order.MoveToFront(place)
			continue
		}
		c.places[prefix] = c.order.PushFront(prefix)
		e.publish(btload.Stored, prefix)
	}
	for c.order.Len() > c.limit {
		oldest := c.order.Back()
		prefix := c.order.Remove(oldest).(uint64)
		delete(c.places, prefix)
		e.publish(btload.Evicted, prefix)
	}
}

func (e *engine) publish(op btload.CacheOp, prefix uint64) {
	e.seq++
	e.events = append(e.events, btload.CacheEvent{Seq: e.seq, Op: op, Prefix: prefix})
}

func (e *engine) prefill() time.Duration {
	return time.Duration(float64(e.world.fleet.Prefill) * e.slow)
}

// step is the time per generated token at the present batch: the slowest rank's
// in a group.
func (e *engine) step() time.Duration {
	if !e.world.fleet.Lockstep {
		return e.ownStep()
	}
	slowest, _ := e.world.steps()
	return slowest
}

func (e *engine) ownStep() time.Duration {
	f := e.world.fleet
	fill := float64(e.running) / float64(f.Slots)
	return time.Duration(float64(f.Step) * e.slow * (f.StepFloor*e.experts + (1-f.StepFloor)*fill))
}

// steps returns the slowest rank's step time and the mean.
func (w *world) steps() (slowest, mean time.Duration) {
	for _, e := range w.engines {
		own := e.ownStep()
		slowest = max(slowest, own)
		mean += own / time.Duration(len(w.engines))
	}
	return slowest, mean
}

// Expert work of ranks runs evenly from the least to the most.
const (
	leastExpertLoad = 0.7
	mostExpertLoad  = 1.3
)

// expertLoad returns the expert work of a rank over its group's mean; 1 for a
// target that is no rank.
func expertLoad(rank int, f Fleet) float64 {
	if !f.Lockstep || f.Targets < 2 {
		return 1
	}
	return leastExpertLoad + (mostExpertLoad-leastExpertLoad)*float64(rank)/float64(f.Targets-1)
}

// wait is the agent's estimate of the time until a new request's prompt is
// begun: until the prompts before it are processed, and until a slot is free.
func (e *engine) wait(now time.Time) time.Duration {
	prompts := max(e.prefillFree.Sub(now), 0)
	for _, a := range e.queue {
		prompts += e.ownPrefill(a)
	}
	if e.running+len(e.queue) < e.world.fleet.Slots {
		return prompts
	}
	hold := time.Duration(float64(e.world.fleet.Step) * e.slow * meanOutput)
	return max(prompts, time.Duration(len(e.queue)+1)*hold/time.Duration(e.world.fleet.Slots))
}

// ownPrefill is the time that the attempt's prompt takes by itself.
func (e *engine) ownPrefill(a *attempt) time.Duration {
	chain := a.arrival.Prefixes
	uncached := len(chain) - e.cache.hits(chain)
	return time.Duration(uncached*btload.ChunkTokens) * e.prefill()
}

// accept takes the attempt in, or refuses it at once where it could not give a
// first token in time. Then it returns the time until it could.
func (e *engine) accept(now time.Time, a *attempt) (refused bool, after time.Duration) {
	share := e.world.fleet.AdmitNew
	if a.call.reserved {
		share = e.world.fleet.AdmitReserved
	}
	left := time.Duration(share * float64(a.call.goal.Sub(now)))
	late := e.wait(now) + e.ownPrefill(a) + e.step() - left
	if late > 0 || len(e.queue) >= e.world.fleet.Queue {
		return true, max(late, e.step())
	}
	if e.running < e.world.fleet.Slots {
		e.begin(now, a)
	} else {
		e.queue = append(e.queue, a)
	}
	return false, 0
}

// begin gives the attempt a slot.
func (e *engine) begin(now time.Time, a *attempt) {
	e.running++
	a.hits = e.cache.hits(a.arrival.Prefixes)
	start := now
	if e.prefillFree.After(now) {
		start = e.prefillFree
	}
	e.prefillFree = start.Add(e.ownPrefill(a))
	e.world.at(e.prefillFree, func(now time.Time) {
		e.store(a.arrival.Prefixes)
		step := e.step()
		e.world.at(now.Add(step), func(now time.Time) { e.world.started(now, a) })
		e.world.at(now.Add(step*time.Duration(a.arrival.Output)), func(now time.Time) { e.end(now, a) })
	})
}

// end frees the attempt's slot for the next in the queue.
func (e *engine) end(now time.Time, a *attempt) {
	e.running--
	e.world.finished(now, a)
	if len(e.queue) > 0 {
		next := e.queue[0]
		e.queue = e.queue[1:]
		e.begin(now, next)
	}
}

// sampleLoad takes a load sample, to be reported when it is old enough.
func (e *engine) sampleLoad(now time.Time) {
	e.number++
	outstanding := int64(max(e.prefillFree.Sub(now), 0) / e.prefill())
	for _, a := range e.queue {
		outstanding += int64(e.ownPrefill(a) / e.prefill())
	}
	var experts float64
	if e.world.fleet.Lockstep {
		experts = e.experts
	}
	e.samples = append(e.samples, sample{at: now, report: btload.Report{
		ExpertLoad:        experts,
		Target:            e.name,
		Incarnation:       1,
		Number:            e.number,
		Running:           e.running,
		Waiting:           len(e.queue),
		Slots:             e.world.fleet.Slots,
		QueueCapacity:     e.world.fleet.Queue,
		StepTime:          e.step(),
		OutstandingTokens: outstanding,
	}})
}

// report returns the newest sample that the lag lets out.
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
