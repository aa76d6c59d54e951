package btround_test

import (
	"time"

	"bilberrytide/core/btassert"
	"bilberrytide/core/btexpert"
	"bilberrytide/core/btround"
)

// leader is the lead at one agent.
type leader struct {
	simulation *simulation
	lead       *btround.Lead
	self       btexpert.Rank
	frozen     time.Time
	dead       bool
	// receivesReports is set while the agents report to it.
	receivesReports bool
	// keepsReceivingReports has the agents continue to report to it after another lead has
	// started.
	keepsReceivingReports bool
	// outcomes counts rounds by the reason they ended.
	outcomes map[string]int
}

// startLead starts a lead at a rank's agent.
func (w *simulation) startLead(r btexpert.Rank) *leader {
	assert := btassert.New(btassert.SinkFunc(func(v btassert.Violation) { w.violations = append(w.violations, v.Name) }))
	for _, other := range w.leads {
		// Agents report to one lead and switch to a new one at different times.
		w.schedule(w.millis(0, 1500), func() { other.receivesReports = other.keepsReceivingReports })
	}
	l := &leader{simulation: w, self: r, lead: btround.NewLead(btround.Defaults(), "g", r, btround.Instance(len(w.leads)), assert), receivesReports: true, outcomes: make(map[string]int)}
	w.leads = append(w.leads, l)
	w.schedule(0, l.tick)
	for _, e := range w.engines {
		w.schedule(w.millis(0, 150), func() { l.scheduleReport(e) })
	}
	return l
}

// unavailable reports whether the lead is dead or frozen, or its host unreachable.
func (l *leader) unavailable() bool {
	return l.dead || l.simulation.now.Before(l.frozen) || l.simulation.engines[l.self].unreachable()
}

// unreachable reports whether the engine's host is unreachable. The engine still takes
// part in the group's steps.
func (e *engine) unreachable() bool { return e.simulation.now.Before(e.frozen) }

// scheduleReport sends a report of a rank's agent at a fixed interval.
func (l *leader) scheduleReport(e *engine) {
	w := l.simulation
	if l.dead {
		return
	}
	w.schedule(150*time.Millisecond, func() { l.scheduleReport(e) })
	if !l.receivesReports || e.unreachable() || w.random.Float64() < w.lostShare {
		return
	}
	s, promised := e.state(), e.agent.Promised()
	read := w.now
	arrives := func() {
		if !l.unavailable() {
			l.lead.HandleReport(read, s, promised)
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

// tick runs the lead at a fixed interval and begins rounds at random.
func (l *leader) tick() {
	w := l.simulation
	if l.dead {
		return
	}
	w.schedule(20*time.Millisecond, l.tick)
	if l.unavailable() {
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

// step polls the lead and sends its commands.
func (l *leader) step() {
	l.lead.SetDeferred(!l.receivesReports)
	for _, c := range l.lead.Poll(l.simulation.now) {
		l.send(c)
	}
	if o := l.lead.Outcome(); o != nil {
		l.outcomes[o.Reason]++
	}
}

// holder chooses the rank that is to hold the group, usually another than the lead's.
func (l *leader) holder() btexpert.Rank {
	w := l.simulation
	if w.ownHolder || !w.otherHolder && w.random.IntN(4) == 0 {
		return l.self
	}
	return btexpert.Rank((int(l.self) + 1 + w.random.IntN(len(w.engines)-1)) % len(w.engines))
}

// send sends a command, which a relay may duplicate.
func (l *leader) send(c btround.Command) {
	w := l.simulation
	if w.naive && c.Kind == btround.Hold {
		// Without holds, the lead assumes that the group is held.
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

// duplicatedShare is the share of commands that a relay delivers twice, the second time
// up to three seconds later.
const duplicatedShare = 0.1

const (
	// suspendedShare is the share of reports also delivered after a suspension of their
	// host, directShare that of orders which the lead sends to engines itself.
	suspendedShare = 0.1
	directShare    = 0.3
)

// deliver delivers a command to its rank and the result to the lead. Either may be
// lost.
func (l *leader) deliver(c btround.Command) {
	w := l.simulation
	if w.random.Float64() < w.lostShare {
		return
	}
	e := w.engines[c.Rank]
	most := 15
	if c.Rank == l.self {
		// The lead's own agent runs in the same process.
		most = 2
	}
	w.schedule(w.millis(1, most), func() {
		if l.unavailable() || e.unreachable() {
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
			if !l.unavailable() {
				l.lead.HandleResult(w.now, result)
				// A result is followed by a poll before those of other ranks arrive.
				l.step()
			}
		})
	})
}
