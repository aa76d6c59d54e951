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
	replaySettles = 3 * time.Second
	replayWindow  = 4 * time.Second
	// replayRound is the time between two looks at the other entries.
	replayRound = 500 * time.Millisecond
	// replayAway is how long an entry that is gone is still known, replayNews how long a
	// word takes to all at the most.
	replayAway = 5 * time.Second
	replayNews = 2 * time.Second
	replayTrip = 3 * time.Millisecond

	// What befalls the entries, and when callers stay away.
	replayRestart = 14 * time.Second
	replayStill   = 18 * time.Second
	replayWakes   = 25 * time.Second
	replayCut     = 30 * time.Second
	replayHealed  = 42 * time.Second
	replayAdded   = 36 * time.Second
	replayLull    = 250 * time.Second
	replayRush    = 280 * time.Second
	replayEnd     = 290 * time.Second
	// replayCalm is from when all entries are there and know each other, until the lull.
	replayCalm = 50 * time.Second
)

// replayEntry is an entry as all ways see it.
type replayEntry struct {
	number  int
	address netip.AddrPort
	// started is when its process did, after the first start.
	started time.Duration
	still   bool
	cut     bool
	there   bool
	// woken tells that it is one of those that stand still once.
	woken bool
	// others are those that it knows.
	others []netip.AddrPort
	// heard is when it hears of the limit at the latest.
	heard time.Duration
}

// way decides whether an entry sends a request to the target now.
type way interface {
	// look has an entry look at the others that it knows.
	look(now time.Duration, e *replayEntry, others []netip.AddrPort)
	// send tells whether it sends. Messages that this takes are counted.
	send(now time.Duration, e *replayEntry) bool
	// restart has an entry forget all.
	restart(now time.Duration, e *replayEntry)
	messages() int
}

// replay is one run of a load.
type replay struct {
	size    fleetSize
	rate    float64
	random  *rand.Rand
	entries []*replayEntry
	way     way
	// arrivals are those at the target since it named its rate.
	arrivals []time.Duration
	known    bool
}

func replayAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 8), byte(i), 1}), 8240)
}

func newReplay(size fleetSize, rate float64, seed uint64, make func(r *replay) way) *replay {
	r := &replay{size: size, rate: rate, random: rand.New(rand.NewPCG(seed, 17))}
	for i := range size.entries + max(size.entries/4, 1) {
		r.entries = append(r.entries, &replayEntry{
			number: i, address: replayAddress(i), there: i < size.entries,
			heard: time.Duration(r.random.Float64() * float64(replayNews)),
		})
	}
	r.way = make(r)
	return r
}

// part returns so many of the entries, another part for each kind of fault.
func (r *replay) part(kind, of int) []*replayEntry {
	n := max(r.size.entries/of, 1)
	return r.entries[kind*n : (kind+1)*n]
}

// faults brings about what befalls the entries at the time.
func (r *replay) faults(now time.Duration) {
	switch now {
	case replayRestart:
		for _, e := range r.part(0, 8) {
			e.started = now
			r.way.restart(now, e)
		}
	case replayStill, replayWakes:
		for _, e := range r.part(1, 8) {
			e.still = now == replayStill
			e.woken = true
		}
	case replayCut, replayHealed:
		for _, e := range r.part(2, 8) {
			e.cut = now == replayCut
		}
	case replayAdded:
		for _, e := range r.entries[r.size.entries:] {
			e.there = true
			e.started = now
			r.way.restart(now, e)
		}
	}
}

// knows tells whether an entry knows another at the time.
func (r *replay) knows(now time.Duration, e, o *replayEntry) bool {
	if e == o || !o.there || now < e.started+replayRound || now < o.started {
		return false
	}
	if o.started > 0 && o.number >= r.size.entries && now < o.started+replayNews*time.Duration(e.number%4)/4 {
		return false
	}
	if (e.cut || o.cut) && now > replayCut+replayAway || o.still && now > replayStill+replayAway {
		return false
	}
	// One that stood still has forgotten all others.
	return !(e.woken && now >= replayWakes && now < replayWakes+replayRound)
}

// look has all entries look at the others.
func (r *replay) look(now time.Duration) {
	for _, e := range r.entries {
		if !e.there || e.still {
			continue
		}
		if now < replayCalm {
			e.others = e.others[:0]
			for _, o := range r.entries {
				if r.knows(now, e, o) {
					e.others = append(e.others, o.address)
				}
			}
		}
		r.way.look(now, e, e.others)
	}
}

func (r *replay) play() *replay {
	r.known = true
	next := time.Duration(0)
	for round := time.Duration(0); round < replayEnd; round += replayRound {
		r.faults(round)
		r.look(round)
		for ; next < round+replayRound; next += time.Duration(r.random.ExpFloat64() / r.size.perSecond * float64(time.Second)) {
			if next < replayLull || next >= replayRush {
				r.request(next)
			}
		}
	}
	return r
}

// request has a caller's request come to an entry.
func (r *replay) request(now time.Duration) {
	e := r.entries[r.random.IntN(len(r.entries))]
	if !e.there || e.still {
		return
	}
	if now < e.heard {
		// It sends as to any other target, and hears of the limit with the answer.
		if r.random.IntN(r.size.targets) == 0 {
			r.arrivals = append(r.arrivals, now)
			e.heard = min(e.heard, now+replayTrip)
		}
		return
	}
	if r.way.send(now, e) {
		r.arrivals = append(r.arrivals, now)
	}
}

// worst returns the most requests in a window that begins in the span.
func (r *replay) worst(from, to time.Duration) int {
	most, first := 0, 0
	for i, at := range r.arrivals {
		for r.arrivals[first] < from || at-r.arrivals[first] > replayWindow {
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

// use returns which part of the rate is used from some time on.
func (r *replay) use() float64 {
	n := 0
	for _, at := range r.arrivals {
		if at >= replayCalm && at < replayLull {
			n++
		}
	}
	return float64(n) / (r.rate * (replayLull - replayCalm).Seconds())
}

// allowed is how many requests may reach a target in a window: half as many again as its
// rate allows, and five.
func allowed(rate float64) int { return int(1.5*rate*replayWindow.Seconds() + 5) }

// limited is the target that names a rate.
var limited = btinventory.Instance{ID: "limited"}

// replayWays are the ways that were weighed.
var replayWays = []struct {
	name string
	make func(r *replay) way
}{
	{"each by itself", newByOwnBucket(false, false)},
	{"even parts", newByOwnBucket(true, false)},
	{"even parts, empty at first", newByOwnBucket(true, true)},
	{"one that grants", newByGranter},
	{"few entries", newByShares},
}

// replayWeighed is the largest fleet for which all ways are played in each run.
const replayWeighed = 35

var allWays = flag.Bool("rate.ways", false, "play all ways at all sizes")

// A target got three requests a second though it took one, from four entries. The load is
// callers who press on a target at 4, 35 and 380 entries while entries start anew, stand
// still, are cut off and are added, then stay away for half a minute and come back. With a
// bucket in each entry the small fleet keeps to the rate and the large one doesn't.
func TestTheLoadOfATargetThatNamesARate(t *testing.T) {
	for _, size := range fleetSizes {
		for _, rate := range []float64{0.2, 1, 10, 100} {
			t.Run(fmt.Sprintf("%d entries, %v a second", size.entries, rate), func(t *testing.T) {
				for _, w := range replayWays {
					if size.entries > replayWeighed && w.name != "few entries" && !*allWays {
						continue
					}
					r := newReplay(size, rate, 1, w.make).play()
					worst := r.worst(replaySettles, replayEnd)
					t.Logf("%-26s at most %3d of %3d, before the lull %3d; use %.2f; %.0f messages a second", w.name, worst, allowed(rate), r.worst(replaySettles, replayLull), r.use(), float64(r.way.messages())/replayEnd.Seconds())
					if w.name == "few entries" {
						assert.Check(t, worst <= allowed(rate), "%d requests in %s, allowed %d", worst, replayWindow, allowed(rate))
						// The most that callers ask for bounds the use.
						wanted := math.Min(1, size.perSecond/rate)
						assert.Check(t, r.use() > 0.9*wanted, "use %.2f", r.use())
					}
					if size.entries == replayWeighed && w.name == "each by itself" {
						assert.Check(t, worst > allowed(rate), "the naive way keeps to the rate")
					}
				}
			})
		}
	}
}
