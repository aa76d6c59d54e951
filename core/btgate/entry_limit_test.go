package btgate_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btgate"
)

// entryLoad is callers of unequal entries before one group: each entry's part of
// the arrivals, and how many arrive a second in all.
type entryLoad struct {
	shares    []float64
	perSecond float64
	// stopInterval takes one entry after the other out for the time, zero for none.
	stopInterval time.Duration
}

const (
	groupSlots      = 192
	meanServiceTime = 1200 * time.Millisecond
	// reportInterval is how often a lead tells of the group's load, wordLag how old it
	// is then.
	reportInterval = 200 * time.Millisecond
	reportLag      = 200 * time.Millisecond
	tick           = 5 * time.Millisecond
)

// entryResult is what became of a load.
type entryResult struct {
	arrived, refused int
	// over is the most requests beyond the group's places, overFor the longest time
	// for which there were any.
	over       int
	excessTime time.Duration
}

// entrySimulation plays a load through gates.
type entrySimulation struct {
	load    entryLoad
	reports bool
	random  *rand.Rand
	gates   []*btgate.Gate[int]
	ends    [][]time.Time
	// totals are the requests at work by tick.
	totals     []int
	excessTime time.Duration
	// next is when the next request arrives.
	next   time.Time
	result entryResult
}

// run returns what becomes of a load where entries hear words on the group's load,
// or hear none.
func (l entryLoad) run(seed uint64, reports bool) entryResult {
	r := &entrySimulation{load: l, reports: reports, random: rand.New(rand.NewPCG(seed, 1)), ends: make([][]time.Time, len(l.shares)), next: start}
	for range l.shares {
		r.gates = append(r.gates, btgate.New[int](btgate.Config{MinLimit: 48, MaxLimit: groupSlots, InitialLimit: groupSlots, Entries: len(l.shares)}))
	}
	const ticks = int(30 * time.Second / tick)
	for i := range ticks {
		r.step(i, start.Add(time.Duration(i)*tick))
	}
	return r.result
}

func (r *entrySimulation) step(i int, now time.Time) {
	total := 0
	for e, g := range r.gates {
		kept := r.ends[e][:0]
		for _, end := range r.ends[e] {
			if end.After(now) {
				kept = append(kept, end)
				continue
			}
			g.Release(now, meanServiceTime)
		}
		r.ends[e] = kept
		total += g.Running()
	}
	r.totals = append(r.totals, total)
	r.recordExcess(total)
	if lag := int(reportLag / tick); r.reports && i >= lag && i%int(reportInterval/tick) == 0 {
		for _, g := range r.gates {
			g.ObserveTotal(now, r.totals[i-lag])
		}
	}
	for !r.next.After(now) {
		r.arrive(now)
		gap := r.random.ExpFloat64() / r.load.perSecond
		r.next = r.next.Add(time.Duration(gap * float64(time.Second)))
	}
}

func (r *entrySimulation) recordExcess(total int) {
	if total <= groupSlots {
		r.excessTime = 0
		return
	}
	r.excessTime += tick
	r.result.over = max(r.result.over, total-groupSlots)
	r.result.excessTime = max(r.result.excessTime, r.excessTime)
}

// arrive sends a request to an entry that is there.
func (r *entrySimulation) arrive(now time.Time) {
	stopped := -1
	if r.load.stopInterval > 0 {
		stopped = int(now.Sub(start)/r.load.stopInterval) % len(r.gates)
	}
	e := stopped
	for e == stopped {
		e = r.drawEntry()
	}
	r.result.arrived++
	if !r.gates[e].TryAcquire(now) {
		r.result.refused++
		return
	}
	spread := time.Duration(r.random.Float64() * float64(meanServiceTime))
	r.ends[e] = append(r.ends[e], now.Add(meanServiceTime/2+spread))
}

func (r *entrySimulation) drawEntry() int {
	offset := r.random.Float64()
	for e, share := range r.load.shares {
		if offset < share {
			return e
		}
		offset -= share
	}
	return len(r.load.shares) - 1
}

// unevenShares gives one entry half of the callers and the rest to the others.
func unevenShares(entries int) []float64 {
	list := make([]float64, entries)
	for i := range list {
		list[i] = 0.5 / float64(entries-1)
	}
	list[0] = 0.5
	return list
}

// An entry with more callers than others takes the places that those leave, at any
// number of entries. With even parts it turns callers away while half of the group
// is idle.
func TestEntryLimitFollowsDemand(t *testing.T) {
	for _, entries := range []int{4, 11, 16} {
		l := entryLoad{shares: unevenShares(entries), perSecond: 90}
		equal := l.run(1, false)
		adaptive := l.run(1, true)
		t.Logf("%d entries: of %d refused %d with even parts, %d that follow; over by %d for %s", entries, adaptive.arrived, equal.refused, adaptive.refused, adaptive.over, adaptive.excessTime)
		assert.Assert(t, equal.refused*20 > equal.arrived)
		assert.Assert(t, adaptive.refused*200 < adaptive.arrived)
	}
}

// While entries are replaced one after the other, those that are left take the
// callers of the one that is away.
func TestEntryLimitFollowsDemandDuringReplacement(t *testing.T) {
	l := entryLoad{shares: []float64{0.15, 0.15, 0.36, 0.34}, perSecond: 90, stopInterval: 4 * time.Second}
	equal := l.run(2, false)
	adaptive := l.run(2, true)
	t.Logf("of %d refused %d with even parts, %d that follow; over by %d for %s", adaptive.arrived, equal.refused, adaptive.refused, adaptive.over, adaptive.excessTime)
	assert.Assert(t, equal.refused*20 > equal.arrived)
	assert.Assert(t, adaptive.refused*100 < adaptive.arrived)
}

// With more callers than the group can serve the entries together don't go beyond
// its places for longer than a few words take, and never by a third.
func TestEntryLimitsStayNearCapacityInOverload(t *testing.T) {
	for _, entries := range []int{4, 11, 16} {
		l := entryLoad{shares: unevenShares(entries), perSecond: 400}
		r := l.run(3, true)
		t.Logf("%d entries: of %d refused %d; over by %d, for %s", entries, r.arrived, r.refused, r.over, r.excessTime)
		assert.Assert(t, r.over < groupSlots/3)
		assert.Assert(t, r.excessTime < 3*time.Second)
	}
}

// An entry that hears nothing of the group keeps to its even part, and so does one
// that has only just come where others fill the group.
func TestEntryLimitWithoutReports(t *testing.T) {
	g := btgate.New[int](btgate.Config{MinLimit: 10, MaxLimit: 40, InitialLimit: 40, Entries: 4})
	assert.Equal(t, g.EntryLimit(start), 10)
	g.ObserveTotal(start, 40)
	assert.Equal(t, g.EntryLimit(start), 10)
	g.ObserveTotal(start, 4)
	assert.Equal(t, g.EntryLimit(start), 10)
	assert.Equal(t, g.EntryLimit(start.Add(time.Minute)), 10)
}
