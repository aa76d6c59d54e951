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

// fleetSize describes a fleet whose callers overload one rate-limited target.
type fleetSize struct {
	entries, targets int
	// perSecond is the request rate at all entries together.
	perSecond float64
}

var fleetSizes = []fleetSize{{4, 16, 50}, {35, 192, 470}, {380, 830, 3000}}

const (
	simSettleTime = 3 * time.Second
	simWindow     = 4 * time.Second
	// simObserveInterval is the time between two observations of the other entries.
	simObserveInterval = 500 * time.Millisecond
	// simForgetDelay is how long an unreachable entry is still known, simMaxSpread the
	// longest time until all entries know a limit.
	simForgetDelay = 5 * time.Second
	simMaxSpread   = 2 * time.Second
	simRoundTrip   = 3 * time.Millisecond

	// Times of the faults and of the break in the load.
	simRestartAt   = 14 * time.Second
	simSuspendAt   = 18 * time.Second
	simResumeAt    = 25 * time.Second
	simPartitionAt = 30 * time.Second
	simHealAt      = 42 * time.Second
	simAddAt       = 36 * time.Second
	simIdleFrom    = 250 * time.Second
	simBurstAt     = 280 * time.Second
	simEnd         = 290 * time.Second
	// simSteadyFrom is when all entries are present and know each other, until
	// simIdleFrom.
	simSteadyFrom = 50 * time.Second
)

// simulatedEntry is the state of an entry that all strategies share.
type simulatedEntry struct {
	number  int
	address netip.AddrPort
	// started is the time of its restart or later start, or zero.
	started     time.Duration
	suspended   bool
	partitioned bool
	present     bool
	// wasSuspended reports that it is one of the entries that are suspended once.
	wasSuspended bool
	// others are the entries that it knows.
	others []netip.AddrPort
	// learnsAt is the latest time at which it learns of the limit.
	learnsAt time.Duration
}

// strategy decides whether an entry sends a request to the target now.
type strategy interface {
	// observe gives an entry the others that it knows.
	observe(now time.Duration, e *simulatedEntry, others []netip.AddrPort)
	// send reports whether the entry sends.
	send(now time.Duration, e *simulatedEntry) bool
	// restart makes an entry forget everything.
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
	// arrivals are the requests at the target since it advertised its rate.
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

// group returns a part of the entries, a different one for each kind of fault.
func (r *simulation) group(kind, of int) []*simulatedEntry {
	n := max(r.size.entries/of, 1)
	return r.entries[kind*n : (kind+1)*n]
}

// applyFaults applies the faults of the given time.
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

// knows reports whether an entry knows another one at the given time.
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
	// A resumed entry has forgotten all others.
	return !(e.wasSuspended && now >= simResumeAt && now < simResumeAt+simObserveInterval)
}

// observe updates the entries that each entry knows.
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

// arrive sends a caller's request to a random entry.
func (r *simulation) arrive(now time.Duration) {
	e := r.entries[r.random.IntN(len(r.entries))]
	if !e.present || e.suspended {
		return
	}
	if now < e.learnsAt {
		// It sends as to any other target, and learns of the limit from the answer.
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

// maxInWindow returns the largest number of requests in a window that starts in the
// span.
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

// utilisation returns the fraction of the rate that is used in the steady period.
func (r *simulation) utilisation() float64 {
	n := 0
	for _, at := range r.arrivals {
		if at >= simSteadyFrom && at < simIdleFrom {
			n++
		}
	}
	return float64(n) / (r.rate * (simIdleFrom - simSteadyFrom).Seconds())
}

// allowed returns the number of requests that may reach a target in a window: half more
// than its rate, and five.
func allowed(rate float64) int { return int(1.5*rate*simWindow.Seconds() + 5) }

// limited is the target that advertises a rate.
var limited = btinventory.Instance{ID: "limited"}

// strategies are the strategies compared.
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

// compareUpTo is the largest fleet for which all strategies run by default.
const compareUpTo = 35

var allStrategies = flag.Bool("rate.ways", false, "play all ways at all sizes")

// Guards against overload of a rate-limited target: one that accepted one request per
// second got three from four entries. The load comes from persistent callers at 4, 35
// and 380 entries, while entries restart, are suspended, are cut off and are added;
// then it stops for half a minute and returns. With a separate bucket in each entry a
// small fleet keeps to the rate and a large one doesn't.
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
					t.Logf("%-26s at most %3d of %3d, before the idle period %3d; utilisation %.2f; %.0f messages per second", w.name, worst, allowed(rate), r.maxInWindow(simSettleTime, simIdleFrom), r.utilisation(), float64(r.strategy.messages())/simEnd.Seconds())
					if w.name == "few entries" {
						assert.Check(t, worst <= allowed(rate), "%d requests in %s, allowed %d", worst, simWindow, allowed(rate))
						// The load of the callers limits the utilisation.
						wanted := math.Min(1, size.perSecond/rate)
						assert.Check(t, r.utilisation() > 0.9*wanted, "utilisation %.2f", r.utilisation())
					}
					if size.entries == compareUpTo && w.name == "each by itself" {
						assert.Check(t, worst > allowed(rate), "the naive strategy keeps to the rate")
					}
				}
			})
		}
	}
}
