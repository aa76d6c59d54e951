package btswitch_test

import (
	"math"
	"time"

	"bilberrytide/core/btid"
	"bilberrytide/core/btswitch"
)

// delay returns the latency of a message or call: 0.5 to 2 ms and, during faults
// and for the given share, a long delay on top.
func (s *sim) delay(longRate float64) time.Duration {
	d := time.Duration(500+s.random.IntN(1500)) * time.Microsecond
	if s.faultOccurs(longRate) {
		d += s.longDelay()
	}
	return d
}

// longDelay returns a random delay from 10 ms to maxDelay, uniform in its logarithm.
func (s *sim) longDelay() time.Duration {
	most := math.Log(float64(s.o.maxDelay))
	least := math.Log(float64(10 * time.Millisecond))
	return time.Duration(math.Exp(least + (most-least)*s.random.Float64()))
}

// faultWeight makes faults more frequent at orders that put a map into effect.
func faultWeight(op btswitch.Op) float64 {
	switch op {
	case btswitch.Commit, btswitch.Switch, btswitch.Resume:
		return 5
	}
	return 1
}

func (s *sim) faultOccurs(rate float64) bool { return s.faulty && s.random.Float64() < rate }

// send sends a message and injects the faults of the run.
func (s *sim) send(from *agent, e btswitch.Send) {
	killRate := s.o.sendKillRate
	if i := e.Message.Instruct; i != nil {
		killRate *= faultWeight(i.Op)
	}
	if s.faultOccurs(killRate) && from == from.host.agent {
		s.killAgent(from.host, time.Duration(50+s.random.IntN(1000))*time.Millisecond)
	}
	if s.o.onSend != nil {
		s.o.onSend(s, from, e.To, e.Message)
	}
	if from.dead {
		return
	}
	if err := e.Message.Validate(); err != nil {
		s.recordViolation(err.Error())
	}
	s.deliver(from, e)
	if s.faultOccurs(s.o.duplicateRate) {
		s.deliver(from, e)
	}
}

func (s *sim) deliver(from *agent, e btswitch.Send) {
	if s.faultOccurs(s.o.lossRate) || s.partitioned[from.self.Target] != s.partitioned[e.To] {
		return
	}
	s.schedule(s.delay(s.o.delayRate), func() {
		if to := s.receiver(e); to != nil {
			to.do(func() { to.receive(e.Message) })
		}
	})
}

// receiver returns the incarnation that the message names if it still runs, else the
// newest.
func (s *sim) receiver(e btswitch.Send) *agent {
	h := s.hosts[e.To]
	for _, a := range h.replaced {
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

// sendOrder sends an order to the engine. It is applied even if the agent has died
// meanwhile, and however late it arrives.
func (s *sim) sendOrder(a *agent, o btswitch.Order) {
	h := a.host
	delay := s.delay(s.o.callDelayRate)
	if s.faultOccurs(s.o.orderKillRate*faultWeight(o.Op)) && a == h.agent {
		s.killAgent(h, time.Duration(50+s.random.IntN(1000))*time.Millisecond)
		delay += s.longDelay()
	}
	s.schedule(delay, func() {
		if a.dead && s.o.orphanDelay > 0 {
			s.schedule(s.o.orphanDelay, func() { s.applyOrder(a, o) })
			return
		}
		s.applyOrder(a, o)
	})
}

func (s *sim) applyOrder(a *agent, o btswitch.Order) {
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

// load completes the loading of a version, at once or with maxLoadTime after a
// random time.
func (s *sim) load(e *engine, v btswitch.Version) {
	if s.o.maxLoadTime == 0 {
		e.loaded(v)
		return
	}
	s.schedule(time.Duration(s.random.Int64N(int64(s.o.maxLoadTime))), func() { e.loaded(v) })
}

func (s *sim) readEngine(a *agent, r btswitch.Read) {
	h := a.host
	s.schedule(s.delay(s.o.callDelayRate), func() {
		if !h.engine.up {
			s.answer(a, btswitch.ReadFailed{Number: r.Number})
			return
		}
		state := h.engine.state
		s.answer(a, btswitch.EngineRead{Number: r.Number, State: state, Map: h.engine.maps[state.InForce.Map]})
	})
}

// answer sends an engine's answer to the incarnation that asked.
func (s *sim) answer(a *agent, event btswitch.MemberEvent) {
	if s.faultOccurs(s.o.lossRate) {
		return
	}
	s.schedule(s.delay(s.o.callDelayRate), func() { a.do(func() { a.memberStep(event) }) })
}

// killAgent kills the agent and starts a new incarnation after the downtime. Orders
// in flight continue.
func (s *sim) killAgent(h *host, down time.Duration) {
	if h.agent == nil {
		return
	}
	h.agent.dead = true
	h.agent = nil
	s.schedule(down, func() {
		if h.agent == nil {
			s.startAgent(h)
		}
	})
}

func (s *sim) killEngine(h *host, down time.Duration) {
	h.engine.up = false
	s.schedule(down, h.engine.restart)
}

// pauseAgent pauses the agent. It may be replaced during the pause, so that two
// incarnations run beside one engine after it.
func (s *sim) pauseAgent(h *host, pause time.Duration) {
	a := h.agent
	if a == nil || a.paused {
		return
	}
	a.paused = true
	replaced := !s.o.noOverlap && s.random.IntN(2) == 0
	if replaced {
		h.replaced = append(h.replaced, a)
		h.agent = nil
		s.startAgent(h)
		s.schedule(pause+10*time.Second, func() { a.dead = true })
	}
	s.schedule(pause, func() {
		if !a.dead {
			a.resume()
		}
	})
}

// injectFault injects one fault and schedules the next.
func (s *sim) injectFault() {
	if !s.faulty {
		return
	}
	h := s.hosts[s.targets[s.random.IntN(len(s.targets))]]
	short := time.Duration(50+s.random.IntN(2000)) * time.Millisecond
	kinds := 12
	if s.o.agentKillsOnly {
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
		s.replaceBundle()
	case 8:
		s.propose(s.targets[s.random.IntN(len(s.targets))])
	}
	s.schedule(time.Duration(s.random.Int64N(int64(s.o.maxFaultGap))), s.injectFault)
}

// proposeRepeatedly proposes maps at random intervals while there are faults.
func (s *sim) proposeRepeatedly() {
	if lead := s.lowestLive(); s.faulty && lead != "" {
		s.propose(lead)
		s.schedule(time.Duration(s.random.Int64N(int64(s.o.maxProposalGap))), s.proposeRepeatedly)
	}
}

// partition cuts a random part of the agents off from the others.
func (s *sim) partition(d time.Duration) {
	for _, t := range s.targets {
		s.partitioned[t] = s.random.IntN(3) == 0
	}
	s.schedule(d, func() { clear(s.partitioned) })
}

// replaceBundle puts a bundle in force that replaces a rank or leaves the group
// unchanged.
func (s *sim) replaceBundle() {
	ranks := append([]btid.Target(nil), s.members.Ranks...)
	if s.o.spares > 0 && s.random.IntN(2) == 0 {
		ranks[s.random.IntN(len(ranks))] = s.unusedTarget()
	}
	s.members = s.membership(s.members.Bundle+1, ranks)
}

func (s *sim) unusedTarget() btid.Target {
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
