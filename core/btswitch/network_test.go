package btswitch_test

import (
	"math"
	"time"

	"bilberrytide/core/btid"
	"bilberrytide/core/btswitch"
)

// delay is usually about a millisecond and, for the given share while there are
// faults, longer.
func (s *sim) delay(late float64) time.Duration {
	d := time.Duration(500+s.random.IntN(1500)) * time.Microsecond
	if s.happens(late) {
		d += s.lateness()
	}
	return d
}

// lateness is of any order of magnitude from milliseconds to lateMost.
func (s *sim) lateness() time.Duration {
	most := math.Log(float64(s.o.lateMost))
	least := math.Log(float64(10 * time.Millisecond))
	return time.Duration(math.Exp(least + (most-least)*s.random.Float64()))
}

// weight makes faults commoner where a map takes effect.
func weight(op btswitch.Op) float64 {
	switch op {
	case btswitch.Commit, btswitch.Switch, btswitch.Resume:
		return 5
	}
	return 1
}

func (s *sim) happens(share float64) bool { return s.faulty && s.random.Float64() < share }

// send carries a message to whichever life of the agent it is for.
func (s *sim) send(from *agent, e btswitch.Send) {
	share := s.o.killAtSend
	if i := e.Message.Instruct; i != nil {
		share *= weight(i.Op)
	}
	if s.happens(share) && from == from.host.agent {
		s.killAgent(from.host, time.Duration(50+s.random.IntN(1000))*time.Millisecond)
	}
	if s.o.onSend != nil {
		s.o.onSend(s, from, e.To, e.Message)
	}
	if from.dead {
		return
	}
	if err := e.Message.Validate(); err != nil {
		s.violated(err.Error())
	}
	s.deliver(from, e)
	if s.happens(s.o.repeat) {
		s.deliver(from, e)
	}
}

func (s *sim) deliver(from *agent, e btswitch.Send) {
	if s.happens(s.o.loss) || s.cut[from.self.Target] != s.cut[e.To] {
		return
	}
	s.after(s.delay(s.o.late), func() {
		if to := s.receiver(e); to != nil {
			to.do(func() { to.receive(e.Message) })
		}
	})
}

// receiver returns the life that the message names, where it still runs, else
// the newest.
func (s *sim) receiver(e btswitch.Send) *agent {
	h := s.hosts[e.To]
	for _, a := range h.twins {
		if a.self == e.Message.To() {
			return a
		}
	}
	return h.agent
}

func (a *agent) receive(m btswitch.Message) {
	if m.ForLead() {
		a.leadStep(btswitch.Received{Message: m})
		return
	}
	a.memberStep(btswitch.Received{Message: m})
}

// order carries an order to the engine. It is carried out even if the agent has
// died meanwhile, and however late it comes.
func (s *sim) order(a *agent, o btswitch.Order) {
	h := a.host
	delay := s.delay(s.o.lateCall)
	if s.happens(s.o.killAtOrder*weight(o.Op)) && a == h.agent {
		s.killAgent(h, time.Duration(50+s.random.IntN(1000))*time.Millisecond)
		delay += s.lateness()
	}
	s.after(delay, func() {
		if a.dead && s.o.orphanDelay > 0 {
			s.after(s.o.orphanDelay, func() { s.arrive(a, o) })
			return
		}
		s.arrive(a, o)
	})
}

func (s *sim) arrive(a *agent, o btswitch.Order) {
	e := a.host.engine
	if !e.up {
		s.answer(a, btswitch.OrderFailed{Fencing: o.Fencing})
		return
	}
	done, last := e.apply(o)
	if o.Op == btswitch.Stage {
		s.load(e, o.Version)
	}
	s.step()
	if done {
		answer := btswitch.OrderDone{Fencing: o.Fencing}
		if s.o.stateInAnswer {
			state := e.state
			answer.State = &state
		}
		s.answer(a, answer)
		return
	}
	s.answer(a, btswitch.OrderRefused{Fencing: o.Fencing, LastFencing: last})
}

// load ends an engine's loading at once or, where the run says so, later.
func (s *sim) load(e *engine, v btswitch.Version) {
	if s.o.loadTime == 0 {
		e.loaded(v)
		return
	}
	s.after(time.Duration(s.random.Int64N(int64(s.o.loadTime))), func() { e.loaded(v) })
}

func (s *sim) read(a *agent, r btswitch.Read) {
	h := a.host
	s.after(s.delay(s.o.lateCall), func() {
		if !h.engine.up {
			s.answer(a, btswitch.ReadFailed{Number: r.Number})
			return
		}
		state := h.engine.state
		s.answer(a, btswitch.EngineRead{Number: r.Number, State: state, Map: h.engine.maps[state.InForce.Map]})
	})
}

// answer brings an engine's answer to the life that asked, if it isn't lost.
func (s *sim) answer(a *agent, event btswitch.MemberEvent) {
	if s.happens(s.o.loss) {
		return
	}
	s.after(s.delay(s.o.lateCall), func() { a.do(func() { a.memberStep(event) }) })
}

// killAgent ends the agent's life; its orders in flight go on.
func (s *sim) killAgent(h *host, down time.Duration) {
	if h.agent == nil {
		return
	}
	h.agent.dead = true
	h.agent = nil
	s.after(down, func() {
		if h.agent == nil {
			s.launch(h)
		}
	})
}

func (s *sim) killEngine(h *host, down time.Duration) {
	h.engine.up = false
	s.after(down, h.engine.restart)
}

// pauseAgent stops the agent for a while. It may be replaced meanwhile, so that
// two lives run beside one engine when it wakes.
func (s *sim) pauseAgent(h *host, pause time.Duration) {
	a := h.agent
	if a == nil || a.paused {
		return
	}
	a.paused = true
	replaced := !s.o.noTwins && s.random.IntN(2) == 0
	if replaced {
		h.twins = append(h.twins, a)
		h.agent = nil
		s.launch(h)
		s.after(pause+10*time.Second, func() { a.dead = true })
	}
	s.after(pause, func() {
		if !a.dead {
			a.wake()
		}
	})
}

// fault brings about one fault and plans the next.
func (s *sim) fault() {
	if !s.faulty {
		return
	}
	h := s.hosts[s.targets[s.random.IntN(len(s.targets))]]
	short := time.Duration(50+s.random.IntN(2000)) * time.Millisecond
	kinds := 12
	if s.o.onlyKills {
		kinds = 3
	}
	switch s.random.IntN(kinds) {
	case 0, 1, 2:
		s.killAgent(h, short)
	case 3:
		s.killEngine(h, short)
	case 4, 5:
		s.pauseAgent(h, 4*short)
	case 6:
		s.partition(3 * short)
	case 7:
		s.rebundle()
	case 8:
		s.propose(s.targets[s.random.IntN(len(s.targets))])
	}
	s.after(time.Duration(s.random.Int64N(int64(s.o.pace))), s.fault)
}

// drift proposes a map now and then.
func (s *sim) drift() {
	if lead := s.lowestLive(); s.faulty && lead != "" {
		s.propose(lead)
		s.after(time.Duration(s.random.Int64N(int64(s.o.drift))), s.drift)
	}
}

// partition cuts a random part of the agents from the others.
func (s *sim) partition(d time.Duration) {
	for _, t := range s.targets {
		s.cut[t] = s.random.IntN(3) == 0
	}
	s.after(d, func() { clear(s.cut) })
}

// rebundle brings a bundle that replaces a rank, or leaves the group alone.
func (s *sim) rebundle() {
	ranks := append([]btid.Target(nil), s.members.Ranks...)
	if s.o.spares > 0 && s.random.IntN(2) == 0 {
		ranks[s.random.IntN(len(ranks))] = s.spare()
	}
	s.members = s.membership(s.members.Bundle+1, ranks)
}

func (s *sim) spare() btid.Target {
	used := make(map[btid.Target]bool)
	for _, t := range s.members.Ranks {
		used[t] = true
	}
	for _, t := range s.targets {
		if !used[t] {
			return t
		}
	}
	return s.targets[0]
}
