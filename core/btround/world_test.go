package btround_test

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"bilberrytide/core/btassert"
	"bilberrytide/core/btexpert"
	"bilberrytide/core/btround"
)

// engine is one rank as the engines behave: orders may be lost, or carried out
// seconds later without an answer.
type engine struct {
	world       *world
	rank        btexpert.Rank
	mapVersion  btround.Version
	prepared    btround.Version
	preparing   btround.Version
	highest     btround.Version
	armed       btround.Version
	armedStep   int64
	held        bool
	heldStep    int64
	fence       btround.Ballot
	reads       uint64
	heardBallot btround.Ballot
}

// world is a group with its agents and up to two leads, on a clock of its own.
type world struct {
	random  *rand.Rand
	now     time.Time
	start   time.Time
	events  queue
	engines []*engine
	step    int64
	busy    bool
	nextAt  time.Time
	leads   []*leader
	// late is the share of orders that are carried out late, lost that of
	// messages that don't arrive.
	late, lost float64
	split      int64
	switches   int
	heldSince  time.Time
	longest    time.Duration
	epoch      uint64
	// oneHold lets the naive variant arm without a hold.
	naive bool
}

// leader is one agent's lead.
type leader struct {
	world  *world
	lead   *btround.Lead
	self   btexpert.Rank
	frozen time.Time
	dead   bool
	// hears tells whether the agents report to it.
	hears bool
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

func newWorld(seed uint64, ranks int, late, lost float64) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 1)),
		now:    time.Unix(1000, 0),
		late:   late,
		lost:   lost,
		busy:   true,
		epoch:  1,
	}
	w.start = w.now
	for r := range ranks {
		w.engines = append(w.engines, &engine{world: w, rank: btexpert.Rank(r)})
	}
	w.nextAt = w.now
	return w
}

func (w *world) after(d time.Duration, do func()) {
	heap.Push(&w.events, event{at: w.now.Add(d), do: do, seq: int(w.random.Int64N(1 << 40))})
}

func (w *world) millis(least, most int) time.Duration {
	return time.Duration(least+w.random.IntN(most-least+1)) * time.Millisecond
}

// run lets the world go on for a while.
func (w *world) run(d time.Duration) {
	const tick = 5 * time.Millisecond
	end := w.now.Add(d)
	for w.now.Before(end) {
		for len(w.events) > 0 && !w.events[0].at.After(w.now) {
			heap.Pop(&w.events).(event).do()
		}
		w.pass()
		w.now = w.now.Add(tick)
	}
}

// pass begins the next step where it is due and nobody holds the group.
func (w *world) pass() {
	if !w.busy || w.now.Before(w.nextAt) {
		return
	}
	next := w.step + 1
	for _, e := range w.engines {
		if e.held && e.heldStep == next {
			if w.heldSince.IsZero() {
				w.heldSince = w.now
			}
			w.longest = max(w.longest, w.now.Sub(w.heldSince))
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
			w.split++
			return
		}
	}
}

func (e *engine) state() btround.State {
	e.reads++
	return btround.State{
		Rank: e.rank, Size: len(e.world.engines), Group: "g", Epoch: e.world.epoch, Open: true,
		Step: e.world.step, Map: e.mapVersion, Prepared: e.prepared, Armed: e.armed, ArmedStep: e.armedStep,
		Held: e.held, HeldStep: e.heldStep, Reader: uint64(e.rank) + 1, Reading: e.reads, Pace: 1,
	}
}

// order carries an order out as an engine does, and tells whether it is
// accepted, and whether the ballot is too old.
func (e *engine) order(c btround.Command) (accepted, fenced bool) {
	if c.Ballot < e.fence {
		return false, true
	}
	e.fence = c.Ballot
	if c.Epoch != e.world.epoch {
		return false, false
	}
	switch c.Kind {
	case btround.Prepare:
		return e.prepare(c.Version), false
	case btround.Arm:
		if e.armed == c.Version && e.armedStep == c.Step {
			return true, false
		}
		if e.prepared != c.Version || c.Step <= e.world.step {
			return false, false
		}
		e.armed, e.armedStep = c.Version, c.Step
	case btround.Disarm:
		if e.mapVersion == c.Version {
			return false, false
		}
		if e.armed == c.Version {
			e.armed = 0
		}
	case btround.Hold:
		if e.held && e.heldStep == c.Step {
			return true, false
		}
		if e.held || c.Step <= e.world.step {
			return false, false
		}
		e.held, e.heldStep = true, c.Step
	case btround.Go:
		if e.held && e.heldStep == c.Step {
			e.held = false
		}
	}
	return true, false
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
	e.world.after(e.world.millis(50, 300), func() {
		if e.preparing == v {
			e.prepared = v
		}
	})
	return true
}

// carryOut is what an agent does with a command.
func (e *engine) carryOut(c btround.Command) btround.Result {
	result := btround.Result{Round: c.Round, Kind: c.Kind, Verdict: btround.Pending, Ballot: c.Ballot}
	if c.Ballot < e.heardBallot {
		result.Verdict = btround.Outranked
		result.Ballot = e.heardBallot
		result.State = e.state()
		return result
	}
	e.heardBallot = c.Ballot
	if c.Satisfied(e.state()) && !c.Force {
		result.Verdict = btround.Reached
		result.State = e.state()
		return result
	}
	if c.Kind == btround.Prepare && e.preparing == c.Version {
		result.State = e.state()
		return result
	}
	if e.world.random.Float64() < e.world.late {
		e.world.after(e.world.millis(2000, 12000), func() { e.order(c) })
		result.State = e.state()
		return result
	}
	accepted, fenced := e.order(c)
	result.State = e.state()
	switch {
	case fenced:
		result.Verdict = btround.Outranked
		result.Ballot = c.Ballot.Next(0)
	case c.Satisfied(result.State):
		result.Verdict = btround.Reached
	case !accepted:
		result.Verdict = btround.Refused
	}
	return result
}

// leadBy adds a lead at a rank's agent.
func (w *world) leadBy(r btexpert.Rank) *leader {
	assert := btassert.New(btassert.SinkFunc(func(btassert.Violation) {}))
	for _, other := range w.leads {
		// Agents report to one lead, and change over one by one.
		w.after(w.millis(0, 1500), func() { other.hears = false })
	}
	l := &leader{world: w, self: r, lead: btround.NewLead(btround.Defaults(), r, assert), hears: true}
	w.leads = append(w.leads, l)
	w.after(0, l.tick)
	for _, e := range w.engines {
		w.after(w.millis(0, 150), func() { l.reports(e) })
	}
	return l
}

func (l *leader) away() bool { return l.dead || l.world.now.Before(l.frozen) }

// reports has a rank's agent report, again and again.
func (l *leader) reports(e *engine) {
	w := l.world
	if l.dead {
		return
	}
	w.after(150*time.Millisecond, func() { l.reports(e) })
	if !l.hears || w.random.Float64() < w.lost {
		return
	}
	s, heard := e.state(), e.heardBallot
	w.after(w.millis(1, 30), func() {
		if !l.away() {
			l.lead.Report(w.now, s, heard)
		}
	})
}

// tick has the lead take its steps.
func (l *leader) tick() {
	w := l.world
	if l.dead {
		return
	}
	w.after(20*time.Millisecond, l.tick)
	if l.away() {
		return
	}
	if l.lead.Phase() == btround.Idle && l.hears && w.random.IntN(15) == 0 {
		l.lead.Begin(w.now, []btexpert.Layer{{Ranks: make([][]btexpert.Expert, len(w.engines))}}, w.random.Uint32())
	}
	for _, c := range l.lead.Step(w.now) {
		l.give(c)
	}
	l.lead.Outcome()
}

// give sends a command, which may be lost, late, or have its answer lost.
func (l *leader) give(c btround.Command) {
	w := l.world
	if w.naive && c.Kind == btround.Hold {
		// The naive variant takes the hold for granted.
		e := w.engines[c.Rank]
		s := e.state()
		s.Held, s.HeldStep = true, c.Step
		w.after(time.Millisecond, func() {
			l.lead.Result(w.now, btround.Result{Round: c.Round, Kind: c.Kind, Verdict: btround.Reached, Ballot: c.Ballot, State: s})
		})
		return
	}
	if w.random.Float64() < w.lost {
		return
	}
	w.after(w.millis(1, 15), func() {
		result := w.engines[c.Rank].carryOut(c)
		if w.random.Float64() < w.lost {
			return
		}
		w.after(w.millis(1, 15), func() {
			if !l.away() {
				l.lead.Result(w.now, result)
			}
		})
	})
}
