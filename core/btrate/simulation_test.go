package btrate_test

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btinventory"
)

// fleetSize is a fleet whose callers press on one target that names a rate.
type fleetSize struct {
	entries, targets int
	// perSecond is how many requests come to all entries together.
	perSecond float64
}

var fleetSizes = []fleetSize{{4, 16, 50}, {35, 192, 470}, {380, 830, 3000}}

const (
	simSettleTime = 3 * time.Second
	simWindow     = 4 * time.Second
	// simObserveInterval is the time between two looks at the other entries.
	simObserveInterval = 500 * time.Millisecond
	// simForgetDelay is how long an entry that is gone is still known, replayNews how long a
	// word takes to all at the most.
	simForgetDelay = 5 * time.Second
	simMaxSpread   = 2 * time.Second
	simRoundTrip   = 3 * time.Millisecond

	// What befalls the entries, and when callers stay away.
	simRestartAt   = 14 * time.Second
	simSuspendAt   = 18 * time.Second
	simResumeAt    = 25 * time.Second
	simPartitionAt = 30 * time.Second
	simHealAt      = 42 * time.Second
	simAddAt       = 36 * time.Second
	simIdleFrom    = 250 * time.Second
	simBurstAt     = 280 * time.Second
	simEnd         = 290 * time.Second
	// simSteadyFrom is from when all entries are there and know each other, until the lull.
	simSteadyFrom = 50 * time.Second
)

// simulatedEntry is an entry as all ways see it.
type simulatedEntry struct {
	number  int
	address netip.AddrPort
	// started is when its process did, after the first start.
	started     time.Duration
	suspended   bool
	partitioned bool
	present     bool
	// wasSuspended tells that it is one of those that stand still once.
	wasSuspended bool
	// others are those that it knows.
	others []netip.AddrPort
	// learnsAt is when it hears of the limit at the latest.
	learnsAt time.Duration
}

// strategy decides whether an entry sends a request to the target now.
type strategy interface {
	// observe has an entry observe at the others that it knows.
	observe(now time.Duration, e *simulatedEntry, others []netip.AddrPort)
	// send tells whether it sends. Messages that this takes are counted.
	send(now time.Duration, e *simulatedEntry) bool
	// restart has an entry forget all.
	restart(now time.Duration, e *simulatedEntry)
	messages() int
}

// simulation is one run of a load.
type simulation struct {
	size     fleetSize
	rate     float64
	random   *rand.Rand
	entries  []*simulatedEntry
	strategy strategy
	// arrivals are those at the target since it named its rate.
	arrivals []time.Duration
	known    bool
}

func entryAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 8), byte(i), 1}), 8240)
}

func newSimulation(size fleetSize, rate float64, seed uint64, newStrategy func(r *simulation) strategy) *simulation {
	r := &simulation{size: size, rate: rate, random: rand.New(rand.NewPCG(seed, 17))}
	for i := range size.entries + max(size.entries/4, 1) {
		r.entries = append(r.entries, &simulatedEntry{
			number: i, address: entryAddress(i), present: i < size.entries,
			learnsAt: time.Duration(r.random.Float64() * float64(simMaxSpread)),
		})
	}
	r.strategy = newStrategy(r)
	return r
}

// group returns so many of the entries, another group for each kind of fault.
func (r *simulation) group(kind, of int) []*simulatedEntry {
	n := max(r.size.entries/of, 1)
	return r.entries[kind*n : (kind+1)*n]
}

// applyFaults brings about what befalls the entries at the time.
func (r *simulation) applyFaults(now time.Duration) {
	switch now {
	case simRestartAt:
		for _, e := range r.group(0, 8) {
			e.started = now
			r.strategy.restart(now, e)
		}
	case simSuspendAt, simResumeAt:
		for _, e := range r.group(1, 8) {
			e.suspended = now == simSuspendAt
			e.wasSuspended = true
		}
	case simPartitionAt, simHealAt:
		for _, e := range r.group(2, 8) {
			e.partitioned = now == simPartitionAt
		}
	case simAddAt:
		for _, e := range r.entries[r.size.entries:] {
			e.present = true
			e.started = now
			r.strategy.restart(now, e)
		}
	}
}

// knows tells whether an entry knows another at the time.
func (r *simulation) knows(now time.Duration, e, o *simulatedEntry) bool {
	if e == o || !o.present || now < e.started+simObserveInterval || now < o.started {
		return false
	}
	if o.started > 0 && o.number >= r.size.entries && now < o.started+simMaxSpread*time.Duration(e.number%4)/4 {
		return false
	}
	if (e.partitioned || o.partitioned) && now > simPartitionAt+simForgetDelay || o.suspended && now > simSuspendAt+simForgetDelay {
		return false
	}
	// One that stood still has forgotten all others.
	return !(e.wasSuspended && now >= simResumeAt && now < simResumeAt+simObserveInterval)
}

// observe has all entries observe at the others.
func (r *simulation) observe(now time.Duration) {
	for _, e := range r.entries {
		if !e.present || e.suspended {
			continue
		}
		if now < simSteadyFrom {
			e.others = e.others[:0]
			for _, o := range r.entries {
				if r.knows(now, e, o) {
					e.others = append(e.others, o.address)
				}
			}
		}
		r.strategy.observe(now, e, e.others)
	}
}

func (r *simulation) run() *simulation {
	r.known = true
	next := time.Duration(0)
	for round := time.Duration(0); round < simEnd; round += simObserveInterval {
		r.applyFaults(round)
		r.observe(round)
		for ; next < round+simObserveInterval; next += time.Duration(r.random.ExpFloat64() / r.size.perSecond * float64(time.Second)) {
			if next < simIdleFrom || next >= simBurstAt {
				r.arrive(next)
			}
		}
	}
	return r
}

// arrive has a caller's arrive come to an entry.
func (r *simulation) arrive(now time.Duration) {
	e := r.entries[r.random.IntN(len(r.entries))]
	if !e.present || e.suspended {
		return
	}
	if now < e.learnsAt {
		// It sends as to any other target, and hears of the limit with the answer.
		if r.random.IntN(r.size.targets) == 0 {
			r.arrivals = append(r.arrivals, now)
			e.learnsAt = min(e.learnsAt, now+simRoundTrip)
		}
		return
	}
	if r.strategy.send(now, e) {
		r.arrivals = append(r.arrivals, now)
	}
}

// maxInWindow returns the most requests in a window that begins in the span.
func (r *simulation) maxInWindow(from, to time.Duration) int {
	most, first := 0, 0
	for i, at := range r.arrivals {
		for r.arrivals[first] < from || at-r.arrivals[first] > simWindow {
			if first == i {
				break
			}
			first++
		}
		if at >= from && at < to {
			most = max(most, i-first+1)
		}
	}
	return most
}

// utilisation returns which part of the rate is used from some time on.
func (r *simulation) utilisation() float64 {
	n := 0
	for _, at := range r.arrivals {
		if at >= simSteadyFrom && at < simIdleFrom {
			n++
		}
	}
	return float64(n) / (r.rate * (simIdleFrom - simSteadyFrom).Seconds())
}

// allowed is how many requests may reach a target in a window: half as many again as its
// rate allows, and five.
func allowed(rate float64) int { return int(1.5*rate*simWindow.Seconds() + 5) }

// limited is the target that names a rate.
var limited = btinventory.Instance{ID: "limited"}

// strategies are the ways that were weighed.
var strategies = []struct {
	name        string
	newStrategy func(r *simulation) strategy
}{
	{"each by itself", newLocalStrategy(false, false)},
	{"even parts", newLocalStrategy(true, false)},
	{"even parts, empty at first", newLocalStrategy(true, true)},
	{"one that grants", newGranterStrategy},
	{"few entries", newSharesStrategy},
}

// compareUpTo is the largest fleet for which all ways are played in each run.
const compareUpTo = 35

var allStrategies = flag.Bool("rate.ways", false, "play all ways at all sizes")

// A target got three requests a second though it took one, from four entries. The load is
// callers who press on a target at 4, 35 and 380 entries while entries start anew, stand
// still, are cut off and are added, then stay away for half a minute and come back. With a
// bucket in each entry the small fleet keeps to the rate and the large one doesn't.
func TestLoadOfARateLimitedTarget(t *testing.T) {
	for _, size := range fleetSizes {
		for _, rate := range []float64{0.2, 1, 10, 100} {
			t.Run(fmt.Sprintf("%d entries, %v a second", size.entries, rate), func(t *testing.T) {
				for _, w := range strategies {
					if size.entries > compareUpTo && w.name != "few entries" && !*allStrategies {
						continue
					}
					r := newSimulation(size, rate, 1, w.newStrategy).run()
					worst := r.maxInWindow(simSettleTime, simEnd)
					t.Logf("%-26s at most %3d of %3d, before the lull %3d; use %.2f; %.0f messages a second", w.name, worst, allowed(rate), r.maxInWindow(simSettleTime, simIdleFrom), r.utilisation(), float64(r.strategy.messages())/simEnd.Seconds())
					if w.name == "few entries" {
						assert.Check(t, worst <= allowed(rate), "%d requests in %s, allowed %d", worst, simWindow, allowed(rate))
						// The most that callers ask for bounds the use.
						wanted := math.Min(1, size.perSecond/rate)
						assert.Check(t, r.utilisation() > 0.9*wanted, "use %.2f", r.utilisation())
					}
					if size.entries == compareUpTo && w.name == "each by itself" {
						assert.Check(t, worst > allowed(rate), "the naive way keeps to the rate")
					}
				}
			})
		}
	}
}
