package btround_test

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"bilberrytide/core/btassert"
	"bilberrytide/core/btexpert"
	"bilberrytide/core/btid"
	"bilberrytide/core/btround"
)

// engine simulates one rank's engine and agent. Orders may be lost, or carried out
// seconds later without an answer.
type engine struct {
	simulation *simulation
	rank       btexpert.Rank
	mapVersion btround.Version
	prepared   btround.Version
	preparing  btround.Version
	highest    btround.Version
	armed      btround.Version
	armedStep  int64
	held       bool
	heldStep   int64
	fence      btround.Ballot
	reads      uint64
	// agent is the acceptor of the rank's agent.
	agent btround.Acceptor
	// started counts the engine's starts.
	started btid.Incarnation
	// frozen is the time until which the host is unreachable.
	frozen time.Time
}

// simulation simulates a group with its agents and leads on a virtual clock.
type simulation struct {
	random  *rand.Rand
	now     time.Time
	start   time.Time
	events  queue
	engines []*engine
	step    int64
	busy    bool
	nextAt  time.Time
	leads   []*leader
	// delayedShare is the share of orders that are carried out late, lostShare that of
	// messages that are lost.
	delayedShare, lostShare float64
	splitSteps              int64
	switches                int
	heldSince               time.Time
	longestHold             time.Duration
	epoch                   uint64
	// forming is set from the restart of an engine until the group has formed again.
	forming bool
	// faultsEnded stops further faults.
	faultsEnded bool
	// naive skips holds. ownHolder has each lead hold the group at its own rank,
	// otherHolder at another rank.
	naive, ownHolder, otherHolder bool
	// relayed sends reports and commands through relays, which delay, reorder and
	// duplicate them.
	relayed bool
	// suspended delays some reports by seconds, as from hosts suspended after the read,
	// and has leads read some states themselves, whose read counts don't compare with
	// the agents'.
	suspended bool
	// violations lists the invariants reported as violated.
	violations []btassert.Name
}

type event struct {
	at  time.Time
	do  func()
	seq int
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].seq < q[j].seq
	}
	return q[i].at.Before(q[j].at)
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func newSimulation(seed uint64, ranks int, delayedShare, lostShare float64) *simulation {
	w := &simulation{
		random:       rand.New(rand.NewPCG(seed, 1)),
		now:          time.Unix(1000, 0),
		delayedShare: delayedShare,
		lostShare:    lostShare,
		busy:         true,
		epoch:        1,
	}
	w.start = w.now
	for r := range ranks {
		w.engines = append(w.engines, &engine{simulation: w, rank: btexpert.Rank(r), started: 1})
	}
	w.nextAt = w.now
	return w
}

func (w *simulation) schedule(d time.Duration, do func()) {
	heap.Push(&w.events, event{at: w.now.Add(d), do: do, seq: int(w.random.Int64N(1 << 40))})
}

func (w *simulation) millis(least, most int) time.Duration {
	return time.Duration(least+w.random.IntN(most-least+1)) * time.Millisecond
}

// run advances the simulation by a duration.
func (w *simulation) run(d time.Duration) {
	const tick = 5 * time.Millisecond
	end := w.now.Add(d)
	for w.now.Before(end) {
		for len(w.events) > 0 && !w.events[0].at.After(w.now) {
			heap.Pop(&w.events).(event).do()
		}
		w.advanceStep()
		w.now = w.now.Add(tick)
	}
}

// advanceStep begins the next step if it is due and no rank holds it.
func (w *simulation) advanceStep() {
	if !w.busy || w.forming || w.now.Before(w.nextAt) {
		return
	}
	next := w.step + 1
	for _, e := range w.engines {
		if e.held && e.heldStep == next {
			if w.heldSince.IsZero() {
				w.heldSince = w.now
			}
			w.longestHold = max(w.longestHold, w.now.Sub(w.heldSince))
			return
		}
	}
	w.heldSince = time.Time{}
	w.step = next
	w.nextAt = w.now.Add(w.millis(50, 90))
	for _, e := range w.engines {
		if e.armed != 0 && e.armedStep <= next {
			e.mapVersion = e.armed
			e.armed = 0
			e.prepared = 0
			if e.rank == 0 {
				w.switches++
			}
		}
	}
	for _, e := range w.engines {
		if e.mapVersion != w.engines[0].mapVersion {
			w.splitSteps++
			return
		}
	}
}

func (e *engine) state() btround.State {
	e.reads++
	return btround.State{
		Rank: e.rank, Size: len(e.simulation.engines), Group: "g", Epoch: e.simulation.epoch, Start: e.started, Open: !e.simulation.forming,
		Step: e.simulation.step, Map: e.mapVersion, Prepared: e.prepared, Armed: e.armed, ArmedStep: e.armedStep,
		Held: e.held, HeldStep: e.heldStep, Reader: uint64(e.rank) + 1, ReadCount: e.reads, Pace: 1,
	}
}

// order carries out an order and reports whether it was accepted, and whether its
// ballot was too low. A refused order leaves the fence unchanged.
func (e *engine) order(c btround.Command) (accepted, fenced bool) {
	if c.Ballot < e.fence {
		return false, true
	}
	if c.Epoch != e.simulation.epoch || !e.apply(c) {
		return false, false
	}
	e.fence = c.Ballot
	return true, false
}

// apply changes the engine's state as ordered; false if the order doesn't fit the
// state.
func (e *engine) apply(c btround.Command) bool {
	switch c.Kind {
	case btround.Prepare:
		return e.prepare(c.Version)
	case btround.Arm:
		if e.armed == c.Version && e.armedStep == c.Step {
			return true
		}
		if e.prepared != c.Version || c.Step <= e.simulation.step {
			return false
		}
		e.armed, e.armedStep = c.Version, c.Step
	case btround.Disarm:
		if e.mapVersion == c.Version {
			return false
		}
		if e.armed == c.Version {
			e.armed = 0
		}
	case btround.Hold:
		if e.held && e.heldStep == c.Step {
			return true
		}
		if e.held || c.Step <= e.simulation.step {
			return false
		}
		e.held, e.heldStep = true, c.Step
	case btround.Release:
		if e.held && e.heldStep == c.Step {
			e.held = false
		}
	}
	return true
}

func (e *engine) prepare(v btround.Version) bool {
	if e.preparing == v || e.prepared == v {
		return true
	}
	if v <= e.highest || e.armed != 0 {
		return false
	}
	e.highest = v
	e.preparing = v
	e.prepared = 0
	e.simulation.schedule(e.simulation.millis(50, 300), func() {
		if e.preparing == v {
			e.prepared = v
		}
	})
	return true
}

// handleCommand is what an agent does with a command.
func (e *engine) handleCommand(c btround.Command) btround.Result {
	result := btround.Result{Round: c.Round, Kind: c.Kind, Verdict: btround.Pending, Ballot: c.Ballot}
	if !e.agent.Accept(c) {
		result.Verdict = btround.Outranked
		result.Ballot = e.agent.Promised()
		result.State = e.state()
		return result
	}
	if c.Kind == btround.StoreRecord || c.Kind == btround.Commit {
		result.Verdict = e.agent.UpdateRecord(c)
		result.State = e.state()
		return result
	}
	result = e.execute(c)
	result.Record = e.agent.Record()
	return result
}

// execute carries out a command at the engine.
func (e *engine) execute(c btround.Command) btround.Result {
	result := btround.Result{Round: c.Round, Kind: c.Kind, Verdict: btround.Pending, Ballot: c.Ballot}
	if c.Satisfied(e.state()) && !c.Force {
		result.Verdict = btround.Reached
		result.State = e.state()
		return result
	}
	if c.Kind == btround.Prepare && e.preparing == c.Version {
		result.State = e.state()
		return result
	}
	if e.simulation.random.Float64() < e.simulation.delayedShare {
		e.simulation.schedule(e.simulation.millis(2000, 12000), func() { e.order(c) })
		result.State = e.state()
		return result
	}
	accepted, fenced := e.order(c)
	result.State = e.state()
	switch {
	case fenced:
		result.Verdict = btround.Outranked
		result.Ballot, result.Fenced = c.Ballot.Next(0, 0), true
	case c.Satisfied(result.State):
		result.Verdict = btround.Reached
	case !accepted:
		result.Verdict = btround.Refused
	}
	return result
}

// handle passes a command to the engine directly or to its agent, as the command says.
func (e *engine) handle(c btround.Command) btround.Result {
	if c.Direct {
		return e.execute(c)
	}
	return e.handleCommand(c)
}
