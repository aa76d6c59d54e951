package btswitch

import (
	"slices"

	"bilberrytide/core/btrequest"
)

// takeOrder returns and closes the open order with the number; nil where the
// answer is for none.
func (m *Member) takeOrder(fencing uint64) *call {
	c := m.call
	if c == nil || c.fencing == 0 || c.fencing != fencing {
		return nil
	}
	m.call = nil
	m.fresh = false
	return c
}

func (m *Member) takeRead(number uint64) *call {
	c := m.call
	if c == nil || c.number == 0 || c.number != number {
		return nil
	}
	m.call = nil
	return c
}

// orderDone judges the order by the engine's state after it, which it has read
// unless the answer told it.
func (m *Member) orderDone(e OrderDone) {
	c := m.takeOrder(e.Fencing)
	if c == nil {
		return
	}
	m.verify(c)
	if e.State == nil || c.outdated {
		return
	}
	m.observe(*e.State)
	if r := m.round; r != nil && r == c.round {
		m.verified(r)
	}
}

// orderFailed ends the round here if the order holds the engine or stages: only
// so does each version's Stage stand alone in flight. Other orders may be given
// again.
func (m *Member) orderFailed(fencing uint64) {
	c := m.takeOrder(fencing)
	if c == nil {
		return
	}
	m.quietUntil = m.now.Add(m.settings.SettleDelay)
	m.unfulfilled(c, ReasonOrderUnknown)
}

func (m *Member) orderRefused(e OrderRefused) {
	c := m.takeOrder(e.Fencing)
	if c == nil {
		return
	}
	reason := ReasonEngineDiffers
	if e.LastFencing >= e.Fencing {
		reason = ReasonFenced
		m.fencing = max(m.fencing, e.LastFencing)
	}
	m.unfulfilled(c, reason)
}

// unfulfilled handles an order that wasn't, or may not have been, carried out.
func (m *Member) unfulfilled(c *call, reason btrequest.Reason) {
	if c.round != m.round {
		return
	}
	if once(c.op) {
		m.fail(c.round, c.op, reason)
		return
	}
	m.note(reason, string(c.op))
	m.verify(c)
}

func (m *Member) fail(r *memberRound, op Op, reason btrequest.Reason) {
	r.drop(op)
	r.verify = ""
	r.failed = reason
	m.refuse(r.header, op, reason, string(op)+" at the engine")
}

func (m *Member) verify(c *call) {
	if c.round == m.round {
		c.round.verify = c.op
	}
}

// expireCall gives up a call that was never answered.
func (m *Member) expireCall() {
	if m.call == nil {
		return
	}
	limit := m.settings.OrderTimeout
	if m.call.op == Stage {
		limit = m.settings.StageTimeout
	}
	if m.now.Sub(m.call.since) < limit {
		return
	}
	if m.call.fencing != 0 {
		m.orderFailed(m.call.fencing)
		return
	}
	m.call = nil
}

// readFailed waits for the next poll or message before it reads again.
func (m *Member) readFailed(number uint64) {
	if m.takeRead(number) != nil {
		m.quietUntil = m.now.Add(m.settings.RetryInterval)
	}
}

func (m *Member) engineRead(e EngineRead) {
	c := m.takeRead(e.Number)
	if c == nil {
		return
	}
	if c.withMap {
		m.engineMap = e.Map
	}
	m.observe(e.State)
	r := m.round
	if r == nil || c.round != r {
		return
	}
	if r.verify != "" {
		m.verified(r)
	}
	if r.answer && c.withMap {
		m.answer(r)
	}
}

// answer sends the promise, with the engine's state as read after it was made.
func (m *Member) answer(r *memberRound) {
	r.answer = false
	m.send(r.header.From.Target, Message{Promise: &Promise{
		Header: m.reply(r.header),
		State:  m.engine,
		Map:    m.mapOf(r.known),
	}})
}

// verified judges an order by the state read back after it.
func (m *Member) verified(r *memberRound) {
	op := r.verify
	r.verify = ""
	switch {
	case r.achieved(op, m.engine):
		m.finish(r, op)
	case op == Stage && m.engine.Loading == r.version:
		r.verify = op
		m.quietUntil = m.now.Add(m.settings.RetryInterval)
	case once(op) || !r.achievable(op, m.engine):
		m.fail(r, op, ReasonEngineDiffers)
	default:
		// The lead asks again.
		r.drop(op)
	}
}

func (m *Member) finish(r *memberRound, op Op) {
	r.drop(op)
	if op == Abort {
		r.aborted = true
		m.ack(r, op)
		return
	}
	if op == Stage {
		r.base = m.engine.InForce
	}
	r.done = max(r.done, slices.Index(r.plan, op)+1)
	m.ack(r, op)
}

// drop forgets the task, unless another phase has taken its place.
func (r *memberRound) drop(op Op) {
	if r.task != nil && r.task.Op == op {
		r.task = nil
	}
}

// achieved tells whether the engine's state shows the order carried out.
func (r *memberRound) achieved(op Op, state EngineState) bool {
	switch op {
	case Stage:
		return state.Staged == r.version
	case Arm, Pause:
		return state.Held && state.Staged == r.version
	case Commit:
		return state.InForce == r.version
	case Switch:
		return state.InForce == r.version && state.Held
	case Resume:
		return state.InForce == r.version && !state.Held
	case Abort:
		return !state.Held
	}
	return false
}

// achievable tells whether the order can still succeed.
func (r *memberRound) achievable(op Op, state EngineState) bool {
	switch op {
	case Commit, Switch:
		return state.Staged == r.version
	case Resume:
		return state.InForce == r.version
	case Abort:
		if r.members.Barrier {
			return state.Staged == r.version
		}
		return state.InForce == r.base
	}
	return false
}
