package btswitch

import (
	"fmt"
	"time"

	"bilberrytide/core/btassert"
	"bilberrytide/core/btbundle"
	"bilberrytide/core/btid"
	"bilberrytide/core/btrequest"
)

// MapCheck reports an encoded map that doesn't fit the group's membership. It
// must be a pure function.
type MapCheck func(members Members, encoded []byte) error

// Member carries out rounds at one engine. It is the only giver of orders to
// that engine, one at a time, and remembers nothing over a restart: what it
// needs it reads from the engine.
type Member struct {
	self     btid.Executor
	members  Members
	settings Settings
	check    MapCheck
	assert   *btassert.Asserter
	variant  variant

	now time.Time
	out []MemberEffect

	lead     btid.Target
	promised Ballot
	round    *memberRound

	engine     EngineState
	engineMap  []byte
	fresh      bool
	call       *call
	fencing    uint64
	reads      uint64
	quietUntil time.Time

	lastRead   time.Time
	lastWord   time.Time
	idleSince  time.Time
	lastReport time.Time
}

// variant turns off parts of the protocol, for the tests that show why they are
// needed. It is zero in production.
type variant struct {
	// ballotAlone accepts messages by ballot, without promise or incarnation.
	ballotAlone bool
	// releaseOnPromise ends a hold as soon as no promise shows a commit.
	releaseOnPromise bool
}

// call is the one open call to the engine.
type call struct {
	// fencing is the order's number, zero for a read.
	fencing uint64
	// number is the read's number, zero for an order.
	number  uint64
	op      Op
	withMap bool
	since   time.Time
	round   *memberRound
	// outdated tells that the process was paused since.
	outdated bool
}

// NewMember returns the member of the given membership in this incarnation of
// its agent. It acts from the first event on.
func NewMember(self btid.Executor, members Members, settings Settings, check MapCheck, assert *btassert.Asserter) *Member {
	return &Member{
		self:     self,
		members:  members,
		settings: settings,
		check:    check,
		assert:   assert,
	}
}

// Promised returns the highest ballot that the member knows of.
func (m *Member) Promised() Ballot { return m.promised }

// LastEngineState returns the engine's state as last read, and when; the zero time where
// it was never read.
func (m *Member) LastEngineState() (EngineState, time.Time) { return m.engine, m.lastRead }

// Step applies one event; see btcore.Machine.
func (m *Member) Step(now time.Time, event MemberEvent) []MemberEffect {
	m.out = nil
	m.passTime(now)
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
		m.orderDone(e)
	case OrderFailed:
		m.orderFailed(e.Fencing)
	case OrderRefused:
		m.orderRefused(e)
	case EngineRead:
		m.engineRead(e)
	case ReadFailed:
		m.readFailed(e.Number)
	}
	m.advance()
	m.reportIdle()
	return m.out
}

// passTime notices a pause of the process: what was read before it no longer
// counts.
func (m *Member) passTime(now time.Time) {
	first := m.now.IsZero()
	if first {
		m.now = now
		m.quietUntil = now.Add(m.settings.SettleDelay)
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
	m.fresh = false
	m.outdateCall()
	m.note(ReasonPaused, fmt.Sprintf("paused for %v", gap))
}

// outdateCall makes the answer to the open call count for no state.
func (m *Member) outdateCall() {
	switch {
	case m.call == nil:
	case m.call.number != 0:
		m.call = nil
	default:
		m.call.outdated = true
	}
}

func (m *Member) receive(message Message) {
	switch {
	case message.Prepare != nil:
		m.prepare(*message.Prepare)
	case message.Instruct != nil:
		m.instruct(*message.Instruct)
	}
}

// prepare promises a ballot that is higher than all known ones.
func (m *Member) prepare(p Prepare) {
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
		m.promise(h)
	}
	m.round.known = p.Known
	m.round.answer = true
	m.lastWord = m.now
}

func (m *Member) promise(h Header) {
	m.raise(h.Ballot)
	m.round = newMemberRound(h, m.members)
}

// raise sets the promised ballot, which never falls.
func (m *Member) raise(b Ballot) {
	if m.assert.That(b.Compare(m.promised) >= 0, BallotMonotonic, "%v promised, then %v", m.promised, b) {
		m.promised = b
	}
}

// advance makes the next call to the engine, if none is open.
func (m *Member) advance() {
	if m.call != nil || m.now.Before(m.quietUntil) {
		return
	}
	r := m.round
	switch {
	case r != nil && r.answer:
		m.read(true)
	case r != nil && r.verify != "", !m.fresh:
		m.read(false)
	case r != nil && r.task != nil:
		m.order(r)
	case m.now.Sub(m.lastRead) >= m.settings.PollInterval:
		m.read(false)
	}
}

func (m *Member) read(withMap bool) {
	m.reads++
	m.open(&call{number: m.reads, withMap: withMap, since: m.now, round: m.round})
	m.out = append(m.out, Read{Number: m.reads, Map: withMap})
}

func (m *Member) open(c *call) {
	m.assert.That(m.call == nil, OneOrderInFlight, "%s opens a second call", m.self)
	m.call = c
}

// reportIdle tells the lead of an engine that can't step and isn't in a round:
// it is held, or its map is for other ranks than the group's present ones.
func (m *Member) reportIdle() {
	limit := m.settings.IdleTimeout
	quiet := m.now.Sub(m.lastWord) >= limit && m.now.Sub(m.lastReport) >= limit
	idle := !m.idleSince.IsZero() && m.now.Sub(m.idleSince) >= limit
	if !idle || !quiet || m.lead == "" || m.members.rank(m.self.Target) < 0 {
		return
	}
	m.lastReport = m.now
	m.send(m.lead, Message{Report: &Report{
		Group:    m.members.Group,
		Members:  m.members.Digest,
		From:     m.self,
		Promised: m.promised,
		State:    m.engine,
		Idle:     m.now.Sub(m.idleSince),
	}})
}

// observe takes in what the engine says of itself. A higher ballot there than
// any promised shows that another incarnation of this agent has promised it.
func (m *Member) observe(state EngineState) {
	if !state.Held && state.InForce.Members == m.members.Digest {
		m.idleSince = time.Time{}
	} else if m.idleSince.IsZero() {
		m.idleSince = m.now
	}
	m.engine = state
	m.fresh = true
	m.lastRead = m.now
	m.fencing = max(m.fencing, state.Fencing)
	if m.variant.ballotAlone {
		return
	}
	for _, v := range []Version{state.InForce, state.Staged, state.Loading} {
		if v.Ballot.Compare(m.promised) > 0 {
			m.raise(v.Ballot)
			m.round = nil
		}
	}
}

// refuse answers a message with the reason for which it is not followed.
func (m *Member) refuse(h Header, op Op, reason btrequest.Reason, detail string) {
	m.note(reason, detail)
	m.send(h.From.Target, Message{Refusal: &Refusal{
		Header:   m.reply(h),
		Op:       op,
		Reason:   reason,
		Promised: m.promised,
	}})
}

// reply returns the header of an answer.
func (m *Member) reply(h Header) Header {
	h.To = h.From
	h.From = m.self
	h.Bundle = m.members.Bundle
	return h
}

func (m *Member) send(to btid.Target, message Message) {
	m.out = append(m.out, Send{To: to, Message: message})
}

func (m *Member) note(reason btrequest.Reason, detail string) {
	m.out = append(m.out, Diagnostic{Reason: reason, Detail: detail})
}

// mapOf returns the encoded map in force for a lead that doesn't know it.
func (m *Member) mapOf(known []btbundle.Digest) []byte {
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
