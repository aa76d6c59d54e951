package btgate_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btgate"
)

// entryLoad is the load of a group whose entries have unequal demand: each entry's
// share of the arrivals, and the total arrivals per second.
type entryLoad struct {
	shares    []float64
	perSecond float64
	// stopInterval is how long each entry in turn is stopped; zero for never.
	stopInterval time.Duration
	// funnelInterval is how long each entry in turn gets all requests; zero for never.
	funnelInterval time.Duration
}

const (
	groupSlots      = 192
	meanServiceTime = 1200 * time.Millisecond
	// reportInterval is the time between two reports of the group's load, reportLag
	// their age on arrival.
	reportInterval = 200 * time.Millisecond
	reportLag      = 200 * time.Millisecond
	tick           = 5 * time.Millisecond
	// contactTime is the time after which one entry must serve what all served before.
	contactTime = 3 * time.Second
)

// entryResult counts the outcomes of a load.
type entryResult struct {
	arrived, refused int
	// settledArrived and settledRefused count those that came contactTime after all
	// requests began to come to one entry, or later.
	settledArrived, settledRefused int
	// excess is the largest number of requests above the group's slots, excessTime the
	// longest time above them.
	excess     int
	excessTime time.Duration
}

// entrySimulation runs a load through the gates of several entries.
type entrySimulation struct {
	load    entryLoad
	reports bool
	random  *rand.Rand
	gates   []*btgate.Gate[int]
	ends    [][]time.Time
	// totals are the requests in flight at each tick.
	totals     []int
	excessTime time.Duration
	// next is when the next request arrives.
	next   time.Time
	result entryResult
}

// run returns the outcome of a load, with or without reports of the group's load.
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
	r.result.excess = max(r.result.excess, total-groupSlots)
	r.result.excessTime = max(r.result.excessTime, r.excessTime)
}

// arrive sends a request to a running entry.
func (r *entrySimulation) arrive(now time.Time) {
	stopped := -1
	if r.load.stopInterval > 0 {
		stopped = int(now.Sub(start)/r.load.stopInterval) % len(r.gates)
	}
	e := stopped
	for e == stopped {
		e = r.drawEntry()
	}
	settled := r.load.funnelInterval > 0 && now.Sub(start)%r.load.funnelInterval >= contactTime
	if r.load.funnelInterval > 0 {
		e = int(now.Sub(start)/r.load.funnelInterval) % len(r.gates)
	}
	r.result.arrived++
	if settled {
		r.result.settledArrived++
	}
	if !r.gates[e].TryAcquire(now) {
		r.result.refused++
		if settled {
			r.result.settledRefused++
		}
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

// unevenShares gives one entry half of the arrivals and divides the rest among the
// others.
func unevenShares(entries int) []float64 {
	list := make([]float64, entries)
	for i := range list {
		list[i] = 0.5 / float64(entries-1)
	}
	list[0] = 0.5
	return list
}

// An entry with more callers than the others uses the slots that they leave, at any
// number of entries. With equal fractions it refuses callers while half of the group's
// capacity is idle.
func TestEntryLimitFollowsDemand(t *testing.T) {
	for _, entries := range []int{4, 11, 16} {
		l := entryLoad{shares: unevenShares(entries), perSecond: 90}
		equal := l.run(1, false)
		adaptive := l.run(1, true)
		t.Logf("%d entries: of %d refused %d with equal fractions, %d adaptive; excess %d for %s", entries, adaptive.arrived, equal.refused, adaptive.refused, adaptive.excess, adaptive.excessTime)
		assert.Assert(t, equal.refused*20 > equal.arrived)
		assert.Assert(t, adaptive.refused*200 < adaptive.arrived)
	}
}

// TestEntryLimitFollowsAllRequestsToOneEntry guards against an entry that gets all requests
// at once, and then another one, and refuses most of them while the slots of the others are
// idle. With equal fractions it would serve one in so many as there are entries.
func TestEntryLimitFollowsAllRequestsToOneEntry(t *testing.T) {
	for _, entries := range []int{4, 16, 35} {
		l := entryLoad{shares: unevenShares(entries), perSecond: 90, funnelInterval: 8 * time.Second}
		r := l.run(4, true)
		t.Logf("%d entries: of %d refused %d; settled %d of %d; excess %d for %s", entries, r.arrived, r.refused, r.settledRefused, r.settledArrived, r.excess, r.excessTime)
		assert.Check(t, r.settledRefused*4 < r.settledArrived)
	}
}

// While entries are replaced one by one, the remaining ones serve the callers of the
// stopped one.
func TestEntryLimitFollowsDemandDuringReplacement(t *testing.T) {
	l := entryLoad{shares: []float64{0.15, 0.15, 0.36, 0.34}, perSecond: 90, stopInterval: 4 * time.Second}
	equal := l.run(2, false)
	adaptive := l.run(2, true)
	t.Logf("of %d refused %d with equal fractions, %d adaptive; excess %d for %s", adaptive.arrived, equal.refused, adaptive.refused, adaptive.excess, adaptive.excessTime)
	assert.Assert(t, equal.refused*20 > equal.arrived)
	assert.Assert(t, adaptive.refused*100 < adaptive.arrived)
}

// Under overload the entries together don't exceed the group's slots for longer than a
// few reports take, and never by a third.
func TestEntryLimitsStayNearCapacityUnderOverload(t *testing.T) {
	for _, entries := range []int{4, 11, 16} {
		l := entryLoad{shares: unevenShares(entries), perSecond: 400}
		r := l.run(3, true)
		t.Logf("%d entries: of %d refused %d; excess %d, for %s", entries, r.arrived, r.refused, r.excess, r.excessTime)
		assert.Assert(t, r.excess < groupSlots/3)
		assert.Assert(t, r.excessTime < 3*time.Second)
	}
}

// An entry without a report uses its equal fraction of the limit, and so does a new
// entry when the others use the whole group.
func TestEntryLimitWithoutReportsIsEqualFraction(t *testing.T) {
	g := btgate.New[int](btgate.Config{MinLimit: 10, MaxLimit: 40, InitialLimit: 40, Entries: 4})
	assert.Equal(t, g.EntryLimit(start), 10)
	g.ObserveTotal(start, 40)
	assert.Equal(t, g.EntryLimit(start), 10)
	g.ObserveTotal(start, 4)
	assert.Equal(t, g.EntryLimit(start), 10)
	assert.Equal(t, g.EntryLimit(start.Add(time.Minute)), 10)
}
