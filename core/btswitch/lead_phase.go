package btswitch

import (
	"bilberrytide/core/btbundle"
	"bilberrytide/core/btid"
)

// enter starts a phase: it is asked of every rank.
func (l *Lead) enter(phase int) {
	r := l.round
	r.phase = phase
	r.phaseAt = l.now
	for i := range r.ranks {
		r.ranks[i].answered = false
	}
	if r.holding() && r.holdAt.IsZero() {
		r.holdAt = l.now
	}
	l.sendPhase()
}

// sendPhase asks the current phase of every rank that hasn't answered.
func (l *Lead) sendPhase() {
	r := l.round
	if r.sentAt.Before(r.phaseAt) || r.sentAt.IsZero() {
		r.retry = l.settings.RetryInterval
	}
	r.sentAt = l.now
	for i, target := range r.members.Ranks {
		if !r.ranks[i].answered {
			l.out = append(l.out, Send{To: target, Message: l.message(i)})
		}
	}
}

// message returns the current phase's message to the rank.
func (l *Lead) message(rank int) Message {
	r := l.round
	header := Header{
		Group:   r.members.Group,
		Ballot:  r.ballot,
		Bundle:  r.members.Bundle,
		Members: r.members.Digest,
		From:    l.self,
		To:      btid.Executor{Target: r.members.Ranks[rank], Incarnation: r.ranks[rank].incarnation},
	}
	if r.op() == "" {
		header.To.Incarnation = 0
		return Message{Prepare: &Prepare{Header: header, Known: l.known()}}
	}
	instruct := &Instruct{Header: header, Op: r.op(), Digest: r.digest}
	switch {
	case r.op() == Stage:
		instruct.Map = r.encoded
	case r.effective():
		instruct.Proof = r.proof()
	}
	return Message{Instruct: instruct}
}

// known lists the maps that ranks need not send.
func (l *Lead) known() []btbundle.Digest {
	known := make([]btbundle.Digest, 0, len(l.maps))
	for _, d := range sortedDigests(l.maps) {
		if len(known) < maxKnown {
			known = append(known, d)
		}
	}
	return known
}

// rankOf returns the rank that an answer of the current round is from, or -1
// where it is from none.
func (l *Lead) rankOf(h Header) int {
	if l.round == nil || h.Ballot != l.round.ballot || h.To != l.self {
		return -1
	}
	return l.round.members.rank(h.From.Target)
}

// promised takes a rank's promise. A rank that promises in a second incarnation
// has restarted during the round.
func (l *Lead) promised(p Promise) {
	rank := l.rankOf(p.Header)
	if rank < 0 || p.Header.Members != l.round.members.Digest {
		return
	}
	r := l.round
	known := r.ranks[rank].incarnation
	fresh := p.Header.From.Incarnation
	switch {
	case known != 0 && fresh < known, known == fresh && r.ranks[rank].answered:
		return
	case known != 0 && fresh > known:
		l.restarted(p.Header.From.Target)
		return
	case r.phase != preparing:
		return
	}
	r.ranks[rank] = rankState{incarnation: fresh, state: p.State, answered: true}
	r.stepTime = max(r.stepTime, p.State.StepTime)
	l.learn(p)
	if r.complete() {
		l.choose()
	}
}

// restarted ends a round in which one agent restarted.
func (l *Lead) restarted(target btid.Target) {
	if !l.round.aborting {
		l.fail(ReasonRestarted, target)
	}
}

func (l *Lead) learn(p Promise) {
	if len(p.Map) > 0 {
		l.maps[p.State.InForce.Map] = p.Map
	}
}

// acked takes a rank's acknowledgement of the current phase, and goes on when
// all are.
func (l *Lead) acked(a Ack) {
	rank := l.rankOf(a.Header)
	if rank < 0 || a.Op != l.round.op() || l.round.ranks[rank].answered {
		return
	}
	r := l.round
	if a.Header.From.Incarnation != r.ranks[rank].incarnation {
		return
	}
	r.ranks[rank].state = a.State
	r.ranks[rank].answered = true
	if r.complete() {
		l.advance()
	}
}

// advance goes on to the phase after the current one.
func (l *Lead) advance() {
	r := l.round
	switch {
	case r.aborting:
		l.end(Aborted)
	case r.phase == len(r.plan)-1:
		l.end(Committed)
	case r.op() == Stage:
		r.uniform = r.sameInForce()
		l.enter(r.phase + 1)
	case l.assert.That(r.allHeld(), CommitAfterAllArmed, "%v: not all ranks are held after %s", r.ballot, r.op()):
		l.enter(r.phase + 1)
	default:
		l.fail(ReasonProof, "")
	}
}

// refused takes a rank's refusal, which ends the round.
func (l *Lead) refused(f Refusal) {
	l.heard(f.Promised)
	rank := l.rankOf(f.Header)
	if rank < 0 || f.Op != l.round.op() {
		return
	}
	r := l.round
	if r.aborting {
		r.ranks[rank].answered = true
		if r.complete() {
			l.end(Aborted)
		}
		return
	}
	stale := r.ranks[rank].incarnation != 0 && f.Header.From.Incarnation < r.ranks[rank].incarnation
	if !stale {
		l.fail(f.Reason, f.Header.From.Target)
	}
}
