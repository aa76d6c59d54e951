package btswitch

import (
	"fmt"
	"time"

	"bilberrytide/core/btassert"
	"bilberrytide/core/btbundle"
	"bilberrytide/core/btid"
	"bilberrytide/core/btrequest"
)

// MapCheck returns an error for an encoded map that doesn't fit the group's
// membership. It must be a pure function.
type MapCheck func(members Members, encoded []byte) error

// Member executes rounds at one engine. All orders to that engine come from
// it, one at a time. It keeps no state across restarts: it reads what it needs
// from the engine.
type Member struct {
	self     btid.Executor
	members  Members
	settings Settings
	check    MapCheck
	assert   *btassert.Asserter
	variant  variant

	now     time.Time
	effects []MemberEffect

	lead     btid.Target
	promised Ballot
	round    *memberRound

	engine         EngineState
	engineMap      []byte
	engineFresh    bool
	call           *call
	lastFencing    uint64
	lastReadNumber uint64
	nextCallAt     time.Time

	lastReadAt    time.Time
	lastMessageAt time.Time
	idleSince     time.Time
	lastReportAt  time.Time
}

// variant disables parts of the protocol in the tests that show why they are
// needed. It is zero in production.
type variant struct {
	// ballotOnly accepts messages by their ballot, without checking for a promise
	// or the incarnation.
	ballotOnly bool
	// releaseOnPromise ends a hold as soon as no promise shows a commit.
	releaseOnPromise bool
}

// call is the open call to the engine.
type call struct {
	// fencing is the order's number, zero for a read.
	fencing uint64
	// number is the read's number, zero for an order.
	number   uint64
	op       Op
	withMap  bool
	openedAt time.Time
	round    *memberRound
	// invalidated is set if the process was paused after the call was made, so
	// that a state in the answer may be out of date.
	invalidated bool
}

// NewMember returns the member of the group for this incarnation of its agent. It
// makes no call before its first event.
func NewMember(self btid.Executor, members Members, settings Settings, check MapCheck, assert *btassert.Asserter) *Member {
	return &Member{
		self:     self,
		members:  members,
		settings: settings,
		check:    check,
		assert:   assert,
	}
}

// Promised returns the highest ballot that the member has promised or found in
// its engine's state.
func (m *Member) Promised() Ballot { return m.promised }

// LastEngineState returns the engine's state as last read and the time of that
// read, which is zero if there was none.
func (m *Member) LastEngineState() (EngineState, time.Time) { return m.engine, m.lastReadAt }

// Step applies one event and returns the effects to carry out; see btcore.Machine.
func (m *Member) Step(now time.Time, event MemberEvent) []MemberEffect {
	m.effects = nil
	m.advanceClock(now)
	switch e := event.(type) {
	case Tick:
		m.expireCall()
	case Received:
		m.receive(e.Message)
	case Configured:
		m.members = e.Members
	case Elected:
		m.lead = e.Lead
	case OrderDone:
		m.handleOrderDone(e)
	case OrderFailed:
		m.handleOrderFailed(e.Fencing)
	case OrderRefused:
		m.handleOrderRefused(e)
	case EngineRead:
		m.handleEngineRead(e)
	case ReadFailed:
		m.handleReadFailed(e.Number)
	}
	m.callEngine()
	m.reportIdle()
	return m.effects
}

// advanceClock sets the time. A gap above Settings.PauseThreshold shows that the
// process was paused, so that the engine has to be read again.
func (m *Member) advanceClock(now time.Time) {
	first := m.now.IsZero()
	if first {
		m.now = now
		m.nextCallAt = now.Add(m.settings.SettleDelay)
		return
	}
	if now.Before(m.now) {
		return
	}
	gap := now.Sub(m.now)
	m.now = now
	if gap <= m.settings.PauseThreshold {
		return
	}
	m.engineFresh = false
	m.invalidateCall()
	m.addDiagnostic(ReasonPaused, fmt.Sprintf("paused for %v", gap))
}

// invalidateCall drops an open read and marks an open order, so that the state in
// its answer isn't used.
func (m *Member) invalidateCall() {
	switch {
	case m.call == nil:
	case m.call.number != 0:
		m.call = nil
	default:
		m.call.invalidated = true
	}
}

func (m *Member) receive(message Message) {
	switch {
	case message.Prepare != nil:
		m.handlePrepare(*message.Prepare)
	case message.Instruct != nil:
		m.handleInstruct(*message.Instruct)
	}
}

// handlePrepare promises a ballot that is higher than all known ones and answers
// a repeated Prepare again.
func (m *Member) handlePrepare(p Prepare) {
	h := p.Header
	order := h.Ballot.Compare(m.promised)
	repeated := order == 0 && m.round != nil && m.round.ballot == h.Ballot
	switch {
	case h.Group != m.members.Group || h.To.Target != m.self.Target:
		return
	case h.Members != m.members.Digest, m.members.rank(h.From.Target) < 0:
		m.refuse(h, "", ReasonMembers, fmt.Sprintf("bundle %d here, %d at the lead", m.members.Bundle, h.Bundle))
		return
	case order < 0 || order == 0 && !repeated:
		m.refuse(h, "", ReasonBallot, h.Ballot.String())
		return
	case !repeated:
		m.joinRound(h)
	}
	m.round.leadMaps = p.Known
	m.round.promiseDue = true
	m.lastMessageAt = m.now
}

func (m *Member) joinRound(h Header) {
	m.raisePromised(h.Ballot)
	m.round = newMemberRound(h, m.members)
}

// raisePromised sets the promised ballot, which never falls.
func (m *Member) raisePromised(b Ballot) {
	if m.assert.That(b.Compare(m.promised) >= 0, BallotMonotonic, "promised ballot would change from %v to %v", m.promised, b) {
		m.promised = b
	}
}

// callEngine makes the next call to the engine, unless one is open or the wait
// after the last isn't over.
func (m *Member) callEngine() {
	if m.call != nil || m.now.Before(m.nextCallAt) {
		return
	}
	r := m.round
	switch {
	case r != nil && r.promiseDue:
		m.readEngine(true)
	case r != nil && r.unverified != "", !m.engineFresh:
		m.readEngine(false)
	case r != nil && r.task != nil:
		m.orderEngine(r)
	case m.now.Sub(m.lastReadAt) >= m.settings.PollInterval:
		m.readEngine(false)
	}
}

func (m *Member) readEngine(withMap bool) {
	m.lastReadNumber++
	m.openCall(&call{number: m.lastReadNumber, withMap: withMap, openedAt: m.now, round: m.round})
	m.effects = append(m.effects, Read{Number: m.lastReadNumber, Map: withMap})
}

func (m *Member) openCall(c *call) {
	m.assert.That(m.call == nil, OneOrderInFlight, "%s has an open engine call already", m.self)
	m.call = c
}

// reportIdle reports to the lead an engine that can't step and isn't in a round: it
// is held, or its map is for other members than the group's current ones.
func (m *Member) reportIdle() {
	limit := m.settings.IdleTimeout
	noRecentMessage := m.now.Sub(m.lastMessageAt) >= limit && m.now.Sub(m.lastReportAt) >= limit
	idle := !m.idleSince.IsZero() && m.now.Sub(m.idleSince) >= limit
	if !idle || !noRecentMessage || m.lead == "" || m.members.rank(m.self.Target) < 0 {
		return
	}
	m.lastReportAt = m.now
	m.send(m.lead, Message{Report: &Report{
		Group:    m.members.Group,
		Members:  m.members.Digest,
		From:     m.self,
		Promised: m.promised,
		State:    m.engine,
		Idle:     m.now.Sub(m.idleSince),
	}})
}

// observeState records a state that the engine reported. If it names a higher
// ballot than the promised one, another incarnation of this agent has promised
// that ballot and the member's round is over.
func (m *Member) observeState(state EngineState) {
	if !state.Held && state.InForce.Members == m.members.Digest {
		m.idleSince = time.Time{}
	} else if m.idleSince.IsZero() {
		m.idleSince = m.now
	}
	m.engine = state
	m.engineFresh = true
	m.lastReadAt = m.now
	m.lastFencing = max(m.lastFencing, state.Fencing)
	if m.variant.ballotOnly {
		return
	}
	for _, v := range []Version{state.InForce, state.Staged, state.Loading} {
		if v.Ballot.Compare(m.promised) > 0 {
			m.raisePromised(v.Ballot)
			m.round = nil
		}
	}
}

// refuse answers a message with the reason why it is refused.
func (m *Member) refuse(h Header, op Op, reason btrequest.Reason, detail string) {
	m.addDiagnostic(reason, detail)
	m.send(h.From.Target, Message{Refusal: &Refusal{
		Header:   m.replyHeader(h),
		Op:       op,
		Reason:   reason,
		Promised: m.promised,
	}})
}

// replyHeader returns the header of an answer to the header's sender.
func (m *Member) replyHeader(h Header) Header {
	h.To = h.From
	h.From = m.self
	h.Bundle = m.members.Bundle
	return h
}

func (m *Member) send(to btid.Target, message Message) {
	m.effects = append(m.effects, Send{To: to, Message: message})
}

func (m *Member) addDiagnostic(reason btrequest.Reason, detail string) {
	m.effects = append(m.effects, Diagnostic{Reason: reason, Detail: detail})
}

// mapUnlessKnown returns the encoded map in force unless the lead has it, and nil if
// the member doesn't have it either.
func (m *Member) mapUnlessKnown(known []btbundle.Digest) []byte {
	for _, d := range known {
		if d == m.engine.InForce.Map {
			return nil
		}
	}
	if len(m.engineMap) == 0 || btbundle.DigestOf(m.engineMap) != m.engine.InForce.Map {
		return nil
	}
	return m.engineMap
}
