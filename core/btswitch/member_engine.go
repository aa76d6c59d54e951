package btswitch

import (
	"slices"

	"bilberrytide/core/btrequest"
)

// closeOrder closes and returns the open order with the fencing number, or nil if
// that isn't open. The engine's state as read before is then out of date.
func (m *Member) closeOrder(fencing uint64) *call {
	c := m.call
	if c == nil || c.fencing == 0 || c.fencing != fencing {
		return nil
	}
	m.call = nil
	m.engineFresh = false
	return c
}

func (m *Member) closeRead(number uint64) *call {
	c := m.call
	if c == nil || c.number == 0 || c.number != number {
		return nil
	}
	m.call = nil
	return c
}

// handleOrderDone verifies the order by the state in the answer or, if there is
// none, by the next read.
func (m *Member) handleOrderDone(e OrderDone) {
	c := m.closeOrder(e.Fencing)
	if c == nil {
		return
	}
	m.scheduleVerify(c)
	if e.State == nil || c.invalidated {
		return
	}
	m.observeState(*e.State)
	if r := m.round; r != nil && r == c.round {
		m.verifyOrder(r)
	}
}

// handleOrderFailed fails the round at this member if the order must not be
// repeated: at most one Stage of a version may be in flight. The effect of other
// orders is read back, and they may be sent again.
func (m *Member) handleOrderFailed(fencing uint64) {
	c := m.closeOrder(fencing)
	if c == nil {
		return
	}
	m.nextCallAt = m.now.Add(m.settings.SettleDelay)
	m.orderUnconfirmed(c, ReasonOrderUnknown)
}

func (m *Member) handleOrderRefused(e OrderRefused) {
	c := m.closeOrder(e.Fencing)
	if c == nil {
		return
	}
	reason := ReasonEngineDiffers
	if e.LastFencing >= e.Fencing {
		reason = ReasonFenced
		m.lastFencing = max(m.lastFencing, e.LastFencing)
	}
	m.orderUnconfirmed(c, reason)
}

// orderUnconfirmed handles an order that was refused or whose outcome is unknown.
func (m *Member) orderUnconfirmed(c *call, reason btrequest.Reason) {
	if c.round != m.round {
		return
	}
	if sentOnce(c.op) {
		m.failTask(c.round, c.op, reason)
		return
	}
	m.addDiagnostic(reason, string(c.op))
	m.scheduleVerify(c)
}

func (m *Member) failTask(r *memberRound, op Op, reason btrequest.Reason) {
	r.dropTask(op)
	r.unverified = ""
	r.failure = reason
	m.refuse(r.header, op, reason, string(op)+" at the engine")
}

func (m *Member) scheduleVerify(c *call) {
	if c.round == m.round {
		c.round.unverified = c.op
	}
}

// expireCall cancels a call that wasn't answered within its timeout.
func (m *Member) expireCall() {
	if m.call == nil {
		return
	}
	limit := m.settings.OrderTimeout
	if m.call.op == Stage {
		limit = m.settings.StageTimeout
	}
	if m.now.Sub(m.call.openedAt) < limit {
		return
	}
	if m.call.fencing != 0 {
		m.handleOrderFailed(m.call.fencing)
		return
	}
	m.call = nil
}

// handleReadFailed delays the next call by Settings.RetryInterval.
func (m *Member) handleReadFailed(number uint64) {
	if m.closeRead(number) != nil {
		m.nextCallAt = m.now.Add(m.settings.RetryInterval)
	}
}

func (m *Member) handleEngineRead(e EngineRead) {
	c := m.closeRead(e.Number)
	if c == nil {
		return
	}
	if c.withMap {
		m.engineMap = e.Map
	}
	m.observeState(e.State)
	r := m.round
	if r == nil || c.round != r {
		return
	}
	if r.unverified != "" {
		m.verifyOrder(r)
	}
	if r.promiseDue && c.withMap {
		m.sendPromise(r)
	}
}

// sendPromise answers a Prepare with the engine's state, which was read after the
// ballot was promised.
func (m *Member) sendPromise(r *memberRound) {
	r.promiseDue = false
	m.send(r.header.From.Target, Message{Promise: &Promise{
		Header: m.replyHeader(r.header),
		State:  m.engine,
		Map:    m.mapUnlessKnown(r.leadMaps),
	}})
}

// verifyOrder checks the engine's state for the effect of the last order.
func (m *Member) verifyOrder(r *memberRound) {
	op := r.unverified
	r.unverified = ""
	switch {
	case r.achieved(op, m.engine):
		m.completeTask(r, op)
	case op == Stage && m.engine.Loading == r.version:
		r.unverified = op
		m.nextCallAt = m.now.Add(m.settings.RetryInterval)
	case sentOnce(op) || !r.achievable(op, m.engine):
		m.failTask(r, op, ReasonEngineDiffers)
	default:
		// The lead resends the phase, which sends the order again.
		r.dropTask(op)
	}
}

func (m *Member) completeTask(r *memberRound, op Op) {
	r.dropTask(op)
	if op == Abort {
		r.aborted = true
		m.ack(r, op)
		return
	}
	if op == Stage {
		r.previous = m.engine.InForce
	}
	r.phasesDone = max(r.phasesDone, slices.Index(r.phases, op)+1)
	m.ack(r, op)
}

// dropTask clears the task if it is of the given phase.
func (r *memberRound) dropTask(op Op) {
	if r.task != nil && r.task.Op == op {
		r.task = nil
	}
}

// achieved reports whether the engine's state shows the order's effect.
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

// achievable reports whether the order can still succeed.
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
		return state.InForce == r.previous
	}
	return false
}
