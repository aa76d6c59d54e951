package btswitch

import (
	"bilberrytide/core/btbundle"
	"bilberrytide/core/btid"
)

// startPhase starts a phase and sends it to every rank.
func (l *Lead) startPhase(phase int) {
	r := l.round
	r.phase = phase
	r.phaseStartedAt = l.now
	for i := range r.ranks {
		r.ranks[i].answered = false
	}
	if r.inHoldPhase() && r.holdStartedAt.IsZero() {
		r.holdStartedAt = l.now
	}
	l.sendPhase()
}

// sendPhase sends the current phase to every rank that hasn't answered.
func (l *Lead) sendPhase() {
	r := l.round
	if r.sentAt.Before(r.phaseStartedAt) || r.sentAt.IsZero() {
		r.retryInterval = l.settings.RetryInterval
	}
	r.sentAt = l.now
	for i, target := range r.members.Ranks {
		if !r.ranks[i].answered {
			l.effects = append(l.effects, Send{To: target, Message: l.phaseMessage(i)})
		}
	}
}

// phaseMessage returns the current phase's message to the rank.
func (l *Lead) phaseMessage(rank int) Message {
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
		return Message{Prepare: &Prepare{Header: header, Known: l.knownDigests()}}
	}
	instruct := &Instruct{Header: header, Op: r.op(), Digest: r.mapDigest}
	switch {
	case r.op() == Stage:
		instruct.Map = r.encodedMap
	case r.pastCommitPoint():
		instruct.Proof = r.proof()
	}
	return Message{Instruct: instruct}
}

// knownDigests lists the maps that ranks need not send, at most maxKnownMaps.
func (l *Lead) knownDigests() []btbundle.Digest {
	known := make([]btbundle.Digest, 0, len(l.knownMaps))
	for _, d := range sortedDigests(l.knownMaps) {
		if len(known) < maxKnownMaps {
			known = append(known, d)
		}
	}
	return known
}

// rankOf returns the rank that sent an answer, or -1 if the answer isn't one to
// the current round.
func (l *Lead) rankOf(h Header) int {
	if l.round == nil || h.Ballot != l.round.ballot || h.To != l.self {
		return -1
	}
	return l.round.members.rank(h.From.Target)
}

// handlePromise records a rank's promise. A promise by a newer incarnation shows
// that the rank's agent restarted during the round.
func (l *Lead) handlePromise(p Promise) {
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
		l.handleRestart(p.Header.From.Target)
		return
	case r.phase != preparePhase:
		return
	}
	r.ranks[rank] = rankState{incarnation: fresh, state: p.State, answered: true}
	r.stepTime = max(r.stepTime, p.State.StepTime)
	l.storeMap(p)
	if r.allAnswered() {
		l.chooseMap()
	}
}

// handleRestart fails the round after an agent restarted, unless the round is
// aborting already.
func (l *Lead) handleRestart(target btid.Target) {
	if !l.round.aborting {
		l.failRound(ReasonRestarted, target)
	}
}

func (l *Lead) storeMap(p Promise) {
	if len(p.Map) > 0 {
		l.knownMaps[p.State.InForce.Map] = p.Map
	}
}

// handleAck records a rank's acknowledgement of the current phase and completes
// the phase once all ranks have acknowledged it.
func (l *Lead) handleAck(a Ack) {
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
	if r.allAnswered() {
		l.completePhase()
	}
}

// completePhase starts the next phase or, after the last, ends the round.
func (l *Lead) completePhase() {
	r := l.round
	switch {
	case r.aborting:
		l.endRound(Aborted)
	case r.phase == len(r.phases)-1:
		l.endRound(Committed)
	case r.op() == Stage:
		r.sameAfterStage = r.sameInForce()
		l.startPhase(r.phase + 1)
	case l.assert.That(r.allHeld(), CommitAfterAllArmed, "%v: not all ranks are held after %s", r.ballot, r.op()):
		l.startPhase(r.phase + 1)
	default:
		l.failRound(ReasonProof, "")
	}
}

// handleRefusal fails the round, unless the refusal is by an earlier incarnation
// of the rank. While aborting, a refusal counts as an answer.
func (l *Lead) handleRefusal(f Refusal) {
	l.observeBallot(f.Promised)
	rank := l.rankOf(f.Header)
	if rank < 0 || f.Op != l.round.op() {
		return
	}
	r := l.round
	if r.aborting {
		r.ranks[rank].answered = true
		if r.allAnswered() {
			l.endRound(Aborted)
		}
		return
	}
	stale := r.ranks[rank].incarnation != 0 && f.Header.From.Incarnation < r.ranks[rank].incarnation
	if !stale {
		l.failRound(f.Reason, f.Header.From.Target)
	}
}
