package btretry_test

import (
	"math/rand/v2"
	"time"

	"bilberrytide/core/btretry"
)

// The model of a fleet whose entries share a limit on retries: they start, stop, freeze, are
// partitioned, added and removed at random, clients move between them, and requests fail at
// random, sometimes many at once.

const (
	modelStep = 50 * time.Millisecond
	// modelSteps is the length of a run; stepsPerWindow that of a window.
	modelSteps     = 1200
	stepsPerWindow = int(10 * time.Second / modelStep)
	// discoverySteps is how long it takes until entries know each other; settleSteps until an
	// entry that has started or was frozen for frozenSteps is settled; expirySteps until a
	// removed entry expires.
	discoverySteps = int(2 * time.Second / modelStep)
	settleSteps    = int(3 * time.Second / modelStep)
	frozenSteps    = int(2 * time.Second / modelStep)
	expirySteps    = int(4 * time.Second / modelStep)
)

// fleetLimits are the limits of the modelled fleet.
var fleetLimits = btretry.WindowConfig{Share: 0.2, Slack: 88, Window: 10 * time.Second}

// entryBudget is the budget of one incarnation of an entry.
type entryBudget interface {
	// update sets the entry's view of the fleet.
	update(now time.Time, entries int, settled bool)
	countRequest(now time.Time)
	take(now time.Time) bool
}

// allotted is the budget that this package implements.
type allotted struct {
	allotment *btretry.Allotment
	window    *btretry.Window
}

func newAllotted(now time.Time, _ *modelFleet) entryBudget {
	a := btretry.NewAllotment(now, fleetLimits, false)
	return &allotted{allotment: a, window: a.NewWindow(now)}
}

func (b *allotted) update(now time.Time, entries int, settled bool) {
	b.allotment.Update(now, entries, settled)
	b.window.Configure(now, b.allotment.Config())
}

// join receives slack and the number of entries from another entry.
func (b *allotted) join(now time.Time, other *allotted) {
	if !other.allotment.Settled() {
		return
	}
	b.allotment.Inform(other.allotment.Entries())
	b.window.Configure(now, b.allotment.Config())
	b.window.Receive(now, other.window.Grant(now))
}

func (b *allotted) countRequest(now time.Time) { b.window.CountRequest(now) }
func (b *allotted) take(now time.Time) bool    { return b.window.Take(now) }

// independent is a naive budget: each incarnation counts its own window, has its share of the
// slack from its start on, and charges retries to all requests of the window before them.
type independent struct {
	fleet *modelFleet
	// spent is what each step adds to or takes from the budget; start is its first step.
	spent   []float64
	start   int
	entries int
	// divisor divides the share of the slack further.
	divisor float64
}

func newIndependent(divisor float64) func(time.Time, *modelFleet) entryBudget {
	return func(_ time.Time, f *modelFleet) entryBudget {
		return &independent{fleet: f, spent: make([]float64, modelSteps+3*stepsPerWindow), start: f.step, entries: 3, divisor: divisor}
	}
}

func (b *independent) update(_ time.Time, entries int, _ bool) {
	b.entries = max(b.entries, entries)
}

func (b *independent) countRequest(time.Time) {
	b.spent[b.fleet.step-b.start] += fleetLimits.Share * 0.85
}

func (b *independent) take(time.Time) bool {
	left := fleetLimits.Slack * 0.85 / float64(b.entries+2) / b.divisor
	age := b.fleet.step - b.start
	for _, v := range b.spent[max(age-stepsPerWindow, 0) : age+1] {
		left += v
	}
	if left < 1 {
		return false
	}
	b.spent[age]--
	return true
}

// exact is the budget of entries that know all counts of the fleet immediately: the most
// that the rule allows.
type exact struct{ fleet *modelFleet }

func newExact(_ time.Time, f *modelFleet) entryBudget { return exact{f} }

func (exact) update(time.Time, int, bool) {}
func (exact) countRequest(time.Time)      {}
func (b exact) take(time.Time) bool {
	for from := max(b.fleet.step-stepsPerWindow, 0); from <= b.fleet.step; from++ {
		if b.fleet.excess(from) > -1 {
			return false
		}
	}
	return true
}

// modelEntry is one entry of the modelled fleet.
type modelEntry struct {
	budget entryBudget
	// startedAt, frozenUntil and partitionedUntil are steps; the entry runs if it has a budget.
	startedAt, frozenUntil, partitionedUntil, settledFrom int
	// lastSeen is the last step in which others received messages of it.
	lastSeen int
	weight   float64
}

func newModelEntry(start int) *modelEntry {
	return &modelEntry{startedAt: start, frozenUntil: start, partitionedUntil: start, lastSeen: start - expirySteps - 1, weight: 1}
}

// modelFleet runs one variant on one seed.
type modelFleet struct {
	random            *rand.Rand
	entries           []*modelEntry
	step              int
	requests, retries []int
	refused           int
	newBudget         func(time.Time, *modelFleet) entryBudget
}

func (f *modelFleet) now() time.Time { return epoch.Add(time.Duration(f.step) * modelStep) }

// excess returns by how much the window that begins at the step exceeds the limits so far.
func (f *modelFleet) excess(from int) float64 {
	requests := max(f.sum(f.requests, from), f.sum(f.requests, from-stepsPerWindow/2), f.sum(f.requests, from-stepsPerWindow))
	return float64(f.sum(f.retries, from)) - fleetLimits.Share*float64(requests) - fleetLimits.Slack
}

// sum adds the counts of a window that begins at the step. The steps at both of its ends
// count for retries and requests alike.
func (f *modelFleet) sum(counts []int, from int) int {
	n := 0
	for s := max(from, 0); s <= from+stepsPerWindow && s <= f.step; s++ {
		n += counts[s]
	}
	return n
}

// modelLoad determines what happens in a run.
type modelLoad struct {
	entries int
	// perStep is the mean number of requests in a step; failing the share that fails.
	perStep, failing float64
	// faults is the mean number of restarts, freezes and partitions in a run.
	faults float64
	// shifts makes clients move, arrive and leave; bursts makes many requests fail at once.
	shifts, bursts bool
}

// runFleet runs a variant and returns the fleet.
func runFleet(seed uint64, l modelLoad, newBudget func(time.Time, *modelFleet) entryBudget) *modelFleet {
	f := &modelFleet{random: rand.New(rand.NewPCG(seed, 3)), requests: make([]int, modelSteps), retries: make([]int, modelSteps), newBudget: newBudget}
	for range l.entries {
		f.entries = append(f.entries, newModelEntry(-2*stepsPerWindow))
	}
	// Entries have run for two windows before the first request.
	f.step = -2 * stepsPerWindow
	for ; f.step < 0; f.step++ {
		f.updateViews()
	}
	for ; f.step < modelSteps; f.step++ {
		f.injectFaults(l)
		f.updateViews()
		f.sendRequests(l)
	}
	f.step = modelSteps - 1
	return f
}
