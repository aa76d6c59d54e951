package btswitch

import (
	"fmt"
	"slices"

	"bilberrytide/core/btbundle"
	"bilberrytide/core/btid"
	"bilberrytide/core/btrequest"
)

// memberRound is the member's state of the round that it promised last.
type memberRound struct {
	header  Header
	ballot  Ballot
	members Members
	phases  []Op
	// leadMaps lists the maps that the lead has. promiseDue is set while a Prepare
	// is unanswered.
	leadMaps   []btbundle.Digest
	promiseDue bool
	// phasesDone counts the completed entries of phases.
	phasesDone int
	// ordersSent lists the orders sent so far that must not be repeated.
	ordersSent []Op
	// failure is the reason why further phases are refused; empty if none failed.
	failure btrequest.Reason
	// task is the requested phase that isn't completed yet.
	task *Instruct
	// unverified is the order whose effect is still to be read back; empty for none.
	unverified Op
	// version is what the round stages. previous was in force once it was staged.
	version  Version
	previous Version
	aborted  bool
}

func newMemberRound(h Header, members Members) *memberRound {
	return &memberRound{header: h, ballot: h.Ballot, members: members, phases: members.phases()}
}

// handleInstruct takes a phase or an abort of the promised round.
func (m *Member) handleInstruct(i Instruct) {
	h := i.Header
	if h.Group != m.members.Group || h.To.Target != m.self.Target {
		return
	}
	if m.variant.ballotOnly {
		m.joinByBallot(h)
	} else if h.To.Incarnation != m.self.Incarnation {
		m.refuse(h, i.Op, ReasonIncarnation, h.To.String())
		return
	}
	r := m.round
	if r == nil || h.Ballot != m.promised || r.ballot != m.promised {
		m.refuse(h, i.Op, ReasonBallot, h.Ballot.String())
		return
	}
	r.header = h
	m.lastMessageAt = m.now
	if i.Op == Abort {
		m.handleAbort(r, i)
		return
	}
	m.handlePhase(r, i)
}

// joinByBallot joins any round that isn't older than the promise, in the
// ballotOnly variant.
func (m *Member) joinByBallot(h Header) {
	if h.Ballot.Compare(m.promised) < 0 || m.round != nil && m.round.ballot == h.Ballot {
		return
	}
	m.joinRound(h)
}

func (m *Member) handlePhase(r *memberRound, i Instruct) {
	phase := slices.Index(r.phases, i.Op)
	if m.variant.ballotOnly && phase > r.phasesDone {
		r.joinAtPhase(phase, i.Digest)
	}
	switch {
	case phase < 0 || phase > r.phasesDone || r.aborted:
		m.refuse(i.Header, i.Op, ReasonPhase, string(i.Op))
	case phase < r.phasesDone:
		m.repeatAck(r, i)
	case r.failure != "":
		m.refuse(i.Header, i.Op, r.failure, "the round failed here")
	case r.task == nil && r.unverified == "":
		m.acceptPhase(r, i)
	}
}

// joinAtPhase joins the round midway, in the ballotOnly variant.
func (r *memberRound) joinAtPhase(phase int, digest btbundle.Digest) {
	r.phasesDone = phase
	r.version = Version{Map: digest, Members: r.members.Digest, Ballot: r.ballot}
}

// acceptPhase checks a phase and makes it the next task.
func (m *Member) acceptPhase(r *memberRound, i Instruct) {
	if reason, detail := m.refusalOf(r, i); reason != "" {
		r.failure = reason
		m.refuse(i.Header, i.Op, reason, detail)
		return
	}
	if i.Op == Stage {
		r.version = Version{Map: i.Digest, Members: r.members.Digest, Ballot: r.ballot}
	}
	r.task = &i
}

// refusalOf returns the reason to refuse a phase and its detail, empty if the
// phase is valid.
func (m *Member) refusalOf(r *memberRound, i Instruct) (btrequest.Reason, string) {
	if i.Op != Stage && i.Digest != r.version.Map {
		return ReasonMap, "another map than was staged"
	}
	if i.Op.takesEffect() {
		if m.proofValid(r, i.Proof) {
			return "", ""
		}
		return ReasonProof, string(i.Op)
	}
	if r.members.Digest != m.members.Digest {
		return ReasonMembers, fmt.Sprintf("bundle %d changed the group", m.members.Bundle)
	}
	if i.Op != Stage {
		return "", ""
	}
	if len(i.Map) == 0 {
		return ReasonMap, "no map came with the order to stage it"
	}
	if m.check == nil {
		return "", ""
	}
	if err := m.check(r.members, i.Map); err != nil {
		return ReasonMap, err.Error()
	}
	return "", ""
}

// proofValid reports whether the proof names an incarnation for every rank, and
// this one for the member's own rank.
func (m *Member) proofValid(r *memberRound, proof []btid.Incarnation) bool {
	if m.variant.ballotOnly {
		return true
	}
	rank := r.members.rank(m.self.Target)
	complete := rank >= 0 && len(proof) == len(r.members.Ranks) && !slices.Contains(proof, 0)
	if !m.assert.That(complete, CommitAfterAllArmed, "%v: proof of %d ranks", r.ballot, len(proof)) {
		return false
	}
	return m.assert.That(proof[rank] == m.self.Incarnation, NoStaleIncarnation,
		"%v: proof names %v, not %v", r.ballot, proof[rank], m.self.Incarnation)
}

// handleAbort takes an abort, which ends the round's hold. It is accepted only
// after the round's map was staged: from then on no order of an earlier round can
// take effect.
func (m *Member) handleAbort(r *memberRound, i Instruct) {
	switch {
	case r.aborted:
		m.ack(r, Abort)
	case m.variant.releaseOnPromise:
		r.version = m.engine.Staged
		r.task = &i
	case r.phasesDone < 1 || r.phasesDone > commitPhaseIndex:
		m.refuse(i.Header, Abort, ReasonPhase, "nothing to abort")
	case r.task == nil || r.task.Op != Abort:
		r.task = &i
	}
}

// orderEngine sends the task's order to the engine.
func (m *Member) orderEngine(r *memberRound) {
	op, version := m.orderFor(r)
	holds := m.assert.That(r.ballot == m.promised, BallotMonotonic, "order of ballot %v while %v is promised", r.ballot, m.promised)
	if !holds {
		r.task = nil
		return
	}
	m.lastFencing = max(m.lastFencing, uint64(m.self.Incarnation)/fencingUnit) + 1
	m.openCall(&call{fencing: m.lastFencing, op: r.task.Op, openedAt: m.now, round: r})
	order := Order{Fencing: m.lastFencing, Op: op, Version: version}
	if op == Stage {
		order.Map = r.task.Map
		order.Ranks = r.members.Ranks
	}
	if sentOnce(op) {
		m.assert.That(!slices.Contains(r.ordersSent, op), HoldOnce, "%v: %s sent twice", r.ballot, op)
		r.ordersSent = append(r.ordersSent, op)
	}
	m.effects = append(m.effects, order)
}

// fencingUnit divides an incarnation, which is in nanoseconds, so that fencing
// numbers stay below 2^53, up to which JSON numbers are exact. They start above
// those of every earlier incarnation, including its orders in flight.
const fencingUnit = 1000

// orderFor returns the engine's order for the task. To abort, an engine without a
// barrier is only resumed on the version that it has.
func (m *Member) orderFor(r *memberRound) (Op, Version) {
	if r.task.Op == Abort && !r.members.Barrier {
		return Resume, r.previous
	}
	return r.task.Op, r.version
}

// commitPhaseIndex is the index of the first phase that makes the map take
// effect, with and without a barrier.
const commitPhaseIndex = 2

// sentOnce reports whether an order is sent at most once in a round. A second
// Stage in flight could restore a version that a later round has replaced.
func sentOnce(op Op) bool { return op == Stage || op == Arm || op == Pause }

// repeatAck answers a resent phase that is completed: it acknowledges it if the
// engine still shows its effect, and else refuses the latest phase.
func (m *Member) repeatAck(r *memberRound, i Instruct) {
	if r.achieved(i.Op, m.engine) {
		m.ack(r, i.Op)
		return
	}
	if r.phases[r.phasesDone-1] == i.Op {
		m.refuse(i.Header, i.Op, ReasonEngineDiffers, string(i.Op)+" no longer stands")
	}
}

func (m *Member) ack(r *memberRound, op Op) {
	m.send(r.header.From.Target, Message{Ack: &Ack{
		Header: m.replyHeader(r.header),
		Op:     op,
		State:  m.engine,
	}})
}
