package btround_test

import (
	"time"

	"bilberrytide/core/btassert"
	"bilberrytide/core/btexpert"
	"bilberrytide/core/btround"
)

// leader is one agent's lead.
type leader struct {
	world  *world
	lead   *btround.Lead
	self   btexpert.Rank
	frozen time.Time
	dead   bool
	// hears tells whether the agents report to it.
	hears bool
	// stays has the agents go on reporting to it after another has begun to lead.
	stays bool
	// outcomes counts how rounds ended.
	outcomes map[string]int
}

// leadBy adds a lead at a rank's agent.
func (w *world) leadBy(r btexpert.Rank) *leader {
	assert := btassert.New(btassert.SinkFunc(func(v btassert.Violation) { w.violations = append(w.violations, v.Name) }))
	for _, other := range w.leads {
		// Agents report to one lead, and change over one by one.
		w.after(w.millis(0, 1500), func() { other.hears = other.stays })
	}
	l := &leader{world: w, self: r, lead: btround.NewLead(btround.Defaults(), "g", r, btround.Life(len(w.leads)), assert), hears: true, outcomes: make(map[string]int)}
	w.leads = append(w.leads, l)
	w.after(0, l.tick)
	for _, e := range w.engines {
		w.after(w.millis(0, 150), func() { l.reports(e) })
	}
	return l
}

// away tells whether the lead, or its host, stands still.
func (l *leader) away() bool {
	return l.dead || l.world.now.Before(l.frozen) || l.world.engines[l.self].unreachable()
}

// unreachable tells whether the engine's host can't be reached. The engine takes
// part in the group's steps all the same.
func (e *engine) unreachable() bool { return e.world.now.Before(e.frozen) }

// reports has a rank's agent report, again and again.
func (l *leader) reports(e *engine) {
	w := l.world
	if l.dead {
		return
	}
	w.after(150*time.Millisecond, func() { l.reports(e) })
	if !l.hears || e.unreachable() || w.random.Float64() < w.lost {
		return
	}
	s, heard := e.state(), e.agent.Heard()
	read := w.now
	arrives := func() {
		if !l.away() {
			l.lead.Report(read, s, heard)
		}
	}
	w.after(w.millis(1, 30), arrives)
	if w.suspended && w.random.Float64() < slept {
		w.after(w.millis(30, 3000), arrives)
	}
	if w.relayed {
		w.after(w.millis(1, 450), arrives)
	}
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
	l.lead.Defer(!l.hears)
	if l.lead.Phase() == btround.Idle && l.hears && w.random.IntN(15) == 0 {
		l.lead.Begin(w.now, btround.Proposal{
			Layers: []btexpert.Layer{{Ranks: make([][]btexpert.Expert, len(w.engines))}},
			Holder: l.holder(),
			Nonce:  w.random.Uint32(),
		})
	}
	l.step()
}

// step has the lead take the steps that are due.
func (l *leader) step() {
	l.lead.Defer(!l.hears)
	for _, c := range l.lead.Step(l.world.now) {
		l.give(c)
	}
	if o := l.lead.Outcome(); o != nil {
		l.outcomes[o.Reason]++
	}
}

// holder chooses the rank that is to hold the group: mostly another.
func (l *leader) holder() btexpert.Rank {
	w := l.world
	if w.own || !w.other && w.random.IntN(4) == 0 {
		return l.self
	}
	return btexpert.Rank((int(l.self) + 1 + w.random.IntN(len(w.engines)-1)) % len(w.engines))
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
	if w.relayed && w.random.Float64() < repeated {
		w.after(w.millis(1, 3000), func() { l.send(c) })
	}
	l.send(c)
}

// repeated is the share of commands that a relay delivers twice, up to three seconds
// later.
const repeated = 0.1

const (
	// slept is the share of reports that their hosts send once they have woken up, and
	// fromAfar that of orders which the lead gives itself.
	slept    = 0.1
	fromAfar = 0.3
)

// send delivers a command to its rank, and the result to the lead.
func (l *leader) send(c btround.Command) {
	w := l.world
	if w.random.Float64() < w.lost {
		return
	}
	e := w.engines[c.Rank]
	most := 15
	if c.Rank == l.self {
		// The own agent is in the same process.
		most = 2
	}
	w.after(w.millis(1, most), func() {
		if l.away() || e.unreachable() {
			return
		}
		result := e.directly(c)
		if w.suspended && w.random.Float64() < fromAfar {
			result.State.Reader, result.State.Reading = far, 0
		}
		if w.random.Float64() < w.lost {
			return
		}
		w.after(w.millis(1, most), func() {
			if !l.away() {
				l.lead.Result(w.now, result)
				// The answer wakes the lead, which doesn't know the others' yet.
				l.step()
			}
		})
	})
}
