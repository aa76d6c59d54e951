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
	// receivesReports tells whether the agents report to it.
	receivesReports bool
	// keepsReports has the agents go on reporting to it after another has begun to lead.
	keepsReports bool
	// outcomes counts how rounds ended.
	outcomes map[string]int
}

// startLead adds a lead at a rank's agent.
func (w *world) startLead(r btexpert.Rank) *leader {
	assert := btassert.New(btassert.SinkFunc(func(v btassert.Violation) { w.violations = append(w.violations, v.Name) }))
	for _, other := range w.leads {
		// Agents report to one lead, and change over one by one.
		w.schedule(w.millis(0, 1500), func() { other.receivesReports = other.keepsReports })
	}
	l := &leader{world: w, self: r, lead: btround.NewLead(btround.Defaults(), "g", r, btround.Instance(len(w.leads)), assert), receivesReports: true, outcomes: make(map[string]int)}
	w.leads = append(w.leads, l)
	w.schedule(0, l.tick)
	for _, e := range w.engines {
		w.schedule(w.millis(0, 150), func() { l.scheduleReport(e) })
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

// scheduleReport has a rank's agent report, again and again.
func (l *leader) scheduleReport(e *engine) {
	w := l.world
	if l.dead {
		return
	}
	w.schedule(150*time.Millisecond, func() { l.scheduleReport(e) })
	if !l.receivesReports || e.unreachable() || w.random.Float64() < w.lostShare {
		return
	}
	s, heard := e.state(), e.agent.Promised()
	read := w.now
	arrives := func() {
		if !l.away() {
			l.lead.HandleReport(read, s, heard)
		}
	}
	w.schedule(w.millis(1, 30), arrives)
	if w.suspended && w.random.Float64() < suspendedShare {
		w.schedule(w.millis(30, 3000), arrives)
	}
	if w.relayed {
		w.schedule(w.millis(1, 450), arrives)
	}
}

// tick has the lead take its steps.
func (l *leader) tick() {
	w := l.world
	if l.dead {
		return
	}
	w.schedule(20*time.Millisecond, l.tick)
	if l.away() {
		return
	}
	l.lead.SetDeferred(!l.receivesReports)
	if l.lead.Phase() == btround.Idle && l.receivesReports && w.random.IntN(15) == 0 {
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
	l.lead.SetDeferred(!l.receivesReports)
	for _, c := range l.lead.Poll(l.world.now) {
		l.send(c)
	}
	if o := l.lead.Outcome(); o != nil {
		l.outcomes[o.Reason]++
	}
}

// holder chooses the rank that is to hold the group: mostly another.
func (l *leader) holder() btexpert.Rank {
	w := l.world
	if w.ownHolder || !w.otherHolder && w.random.IntN(4) == 0 {
		return l.self
	}
	return btexpert.Rank((int(l.self) + 1 + w.random.IntN(len(w.engines)-1)) % len(w.engines))
}

// send sends a command, which may be lost, late, or have its answer lost.
func (l *leader) send(c btround.Command) {
	w := l.world
	if w.naive && c.Kind == btround.Hold {
		// The naive variant takes the hold for granted.
		e := w.engines[c.Rank]
		s := e.state()
		s.Held, s.HeldStep = true, c.Step
		w.schedule(time.Millisecond, func() {
			l.lead.HandleResult(w.now, btround.Result{Round: c.Round, Kind: c.Kind, Verdict: btround.Reached, Ballot: c.Ballot, State: s})
		})
		return
	}
	if w.relayed && w.random.Float64() < duplicatedShare {
		w.schedule(w.millis(1, 3000), func() { l.deliver(c) })
	}
	l.deliver(c)
}

// duplicatedShare is the share of commands that a relay delivers twice, up to three seconds
// later.
const duplicatedShare = 0.1

const (
	// suspendedShare is the share of reports that their hosts send once they have woken up, and
	// fromAfar that of orders which the lead gives itself.
	suspendedShare = 0.1
	directShare    = 0.3
)

// deliver delivers a command to its rank, and the result to the lead.
func (l *leader) deliver(c btround.Command) {
	w := l.world
	if w.random.Float64() < w.lostShare {
		return
	}
	e := w.engines[c.Rank]
	most := 15
	if c.Rank == l.self {
		// The own agent is in the same process.
		most = 2
	}
	w.schedule(w.millis(1, most), func() {
		if l.away() || e.unreachable() {
			return
		}
		result := e.handle(c)
		if w.suspended && w.random.Float64() < directShare {
			result.State.Reader, result.State.ReadCount = directReader, 0
		}
		if w.random.Float64() < w.lostShare {
			return
		}
		w.schedule(w.millis(1, most), func() {
			if !l.away() {
				l.lead.HandleResult(w.now, result)
				// The answer wakes the lead, which doesn't know the others' yet.
				l.step()
			}
		})
	})
}
