package btswitch

import (
	"fmt"
	"slices"

	"bilberrytide/core/btbundle"
	"bilberrytide/core/btid"
	"bilberrytide/core/btrequest"
)

// memberRound is the round that a member has promised last.
type memberRound struct {
	header  Header
	ballot  Ballot
	members Members
	plan    []Op
	// known lists the maps that the lead has; answer tells that it waits for
	// the promise.
	known  []btbundle.Digest
	answer bool
	// done counts the phases of the plan that are carried out.
	done int
	// tried lists the orders given of those that must not be given twice.
	tried []Op
	// failed tells why no further phase is carried out; empty while none failed.
	failed btrequest.Reason
	// task is the phase asked for and not yet carried out.
	task *Instruct
	// verify is the order whose effect is to be read back; empty for none.
	verify Op
	// version is what the round stages; base was in force when it had staged.
	version Version
	base    Version
	aborted bool
}

func newMemberRound(h Header, members Members) *memberRound {
	return &memberRound{header: h, ballot: h.Ballot, members: members, plan: members.plan()}
}

// instruct takes a phase of the promised round.
func (m *Member) instruct(i Instruct) {
	h := i.Header
	if h.Group != m.members.Group || h.To.Target != m.self.Target {
		return
	}
	if m.variant.ballotAlone {
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
	m.lastWord = m.now
	if i.Op == Abort {
		m.instructAbort(r, i)
		return
	}
	m.instructPhase(r, i)
}

// joinByBallot takes part in any round that isn't older than the promise.
func (m *Member) joinByBallot(h Header) {
	if h.Ballot.Compare(m.promised) < 0 || m.round != nil && m.round.ballot == h.Ballot {
		return
	}
	m.promise(h)
}

func (m *Member) instructPhase(r *memberRound, i Instruct) {
	phase := slices.Index(r.plan, i.Op)
	if m.variant.ballotAlone && phase > r.done {
		r.enterAt(phase, i.Digest)
	}
	switch {
	case phase < 0 || phase > r.done || r.aborted:
		m.refuse(i.Header, i.Op, ReasonPhase, string(i.Op))
	case phase < r.done:
		m.ackAgain(r, i)
	case r.failed != "":
		m.refuse(i.Header, i.Op, r.failed, "the round failed here")
	case r.task == nil && r.verify == "":
		m.accept(r, i)
	}
}

// enterAt joins the round midway, in the ballotAlone variant.
func (r *memberRound) enterAt(phase int, digest btbundle.Digest) {
	r.done = phase
	r.version = Version{Map: digest, Members: r.members.Digest, Ballot: r.ballot}
}

// accept checks a phase and takes it as the next task.
func (m *Member) accept(r *memberRound, i Instruct) {
	if reason, detail := m.unacceptable(r, i); reason != "" {
		r.failed = reason
		m.refuse(i.Header, i.Op, reason, detail)
		return
	}
	if i.Op == Stage {
		r.version = Version{Map: i.Digest, Members: r.members.Digest, Ballot: r.ballot}
	}
	r.task = &i
}

func (m *Member) unacceptable(r *memberRound, i Instruct) (btrequest.Reason, string) {
	if i.Op != Stage && i.Digest != r.version.Map {
		return ReasonMap, "another map than was staged"
	}
	if i.Op.effective() {
		if m.proven(r, i.Proof) {
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

// proven tells whether the proof names every rank's incarnation, this one's own
// among them.
func (m *Member) proven(r *memberRound, proof []btid.Incarnation) bool {
	if m.variant.ballotAlone {
		return true
	}
	rank := r.members.rank(m.self.Target)
	whole := rank >= 0 && len(proof) == len(r.members.Ranks) && !slices.Contains(proof, 0)
	if !m.assert.That(whole, CommitAfterAllArmed, "%v: proof of %d ranks", r.ballot, len(proof)) {
		return false
	}
	return m.assert.That(proof[rank] == m.self.Incarnation, NoStaleIncarnation,
		"%v: proof names %v, not %v", r.ballot, proof[rank], m.self.Incarnation)
}

// instructAbort ends the round's hold. It is accepted only once the round's map
// was staged: from then on no order of an earlier round can take effect.
func (m *Member) instructAbort(r *memberRound, i Instruct) {
	switch {
	case r.aborted:
		m.ack(r, Abort)
	case m.variant.releaseOnPromise:
		r.version = m.engine.Staged
		r.task = &i
	case r.done < 1 || r.done > commitPhase:
		m.refuse(i.Header, Abort, ReasonPhase, "nothing to abort")
	case r.task == nil || r.task.Op != Abort:
		r.task = &i
	}
}

// order gives the task's order to the engine.
func (m *Member) order(r *memberRound) {
	op, version := m.orderFor(r)
	holds := m.assert.That(r.ballot == m.promised, BallotMonotonic, "%v ordered under promise of %v", r.ballot, m.promised)
	if !holds {
		r.task = nil
		return
	}
	m.fencing = max(m.fencing, uint64(m.self.Incarnation)/fencingUnit) + 1
	m.open(&call{fencing: m.fencing, op: r.task.Op, since: m.now, round: r})
	order := Order{Fencing: m.fencing, Op: op, Version: version}
	if op == Stage {
		order.Map = r.task.Map
		order.Ranks = r.members.Ranks
	}
	if once(op) {
		m.assert.That(!slices.Contains(r.tried, op), HoldOnce, "%v: %s again", r.ballot, op)
		r.tried = append(r.tried, op)
	}
	m.out = append(m.out, order)
}

// fencingUnit divides an incarnation, in nanoseconds, to a number that stays
// below 2^53, which JSON numbers are exact to. An incarnation's fencing numbers
// so start above those of every earlier incarnation, also of those still in
// flight.
const fencingUnit = 1000

// orderFor returns the engine's order for the task. An engine without a barrier
// has nothing to abort but its pause.
func (m *Member) orderFor(r *memberRound) (Op, Version) {
	if r.task.Op == Abort && !r.members.Barrier {
		return Resume, r.base
	}
	return r.task.Op, r.version
}

// commitPhase is the index in every plan of the first phase that makes the map
// take effect.
const commitPhase = 2

// once tells whether an order is given at most once in a round. If a Stage were
// given again, one in flight could bring back a version that a later round has
// replaced.
func once(op Op) bool { return op == Stage || op == Arm || op == Pause }

// ackAgain answers a repeated message, if the phase still stands.
func (m *Member) ackAgain(r *memberRound, i Instruct) {
	if r.achieved(i.Op, m.engine) {
		m.ack(r, i.Op)
		return
	}
	if r.plan[r.done-1] == i.Op {
		m.refuse(i.Header, i.Op, ReasonEngineDiffers, string(i.Op)+" no longer stands")
	}
}

func (m *Member) ack(r *memberRound, op Op) {
	m.send(r.header.From.Target, Message{Ack: &Ack{
		Header: m.reply(r.header),
		Op:     op,
		State:  m.engine,
	}})
}
