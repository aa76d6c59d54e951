package btswitch

import (
	"time"

	"bilberrytide/core/btbundle"
	"bilberrytide/core/btid"
	"bilberrytide/core/btrequest"
)

// preparePhase is the phase before the first one in leadRound.phases.
const preparePhase = -1

// rankState is what the lead knows of a rank in a round.
type rankState struct {
	// incarnation is the one that promised; zero until then.
	incarnation btid.Incarnation
	state       EngineState
	// answered is set once the rank has completed the current phase.
	answered bool
}

// leadRound is the lead's state of one round.
type leadRound struct {
	ballot  Ballot
	members Members
	cause   string
	phases  []Op
	phase   int
	ranks   []rankState

	mapDigest  btbundle.Digest
	encodedMap []byte
	// proposal is the one that the round carries out; nil for none.
	proposal *Propose
	// groupRunning is set if the group could step when all ranks had promised.
	groupRunning bool
	// sameAfterStage is set if all ranks had the same agreed map in force after
	// staging, so that an abort may release them on it.
	sameAfterStage bool
	aborting       bool
	reason         btrequest.Reason
	failedRank     btid.Target

	startedAt      time.Time
	holdStartedAt  time.Time
	phaseStartedAt time.Time
	sentAt         time.Time
	retryInterval  time.Duration
	stepTime       time.Duration
}

func newLeadRound(ballot Ballot, members Members, now time.Time) *leadRound {
	return &leadRound{
		ballot:         ballot,
		members:        members,
		phases:         members.phases(),
		phase:          preparePhase,
		ranks:          make([]rankState, len(members.Ranks)),
		startedAt:      now,
		phaseStartedAt: now,
	}
}

// op returns the order of the current phase, empty while preparing.
func (r *leadRound) op() Op {
	switch {
	case r.aborting:
		return Abort
	case r.phase == preparePhase:
		return ""
	}
	return r.phases[r.phase]
}

// pastCommitPoint reports whether the round's map may be in force at some rank.
func (r *leadRound) pastCommitPoint() bool { return r.op().takesEffect() }

// inHoldPhase reports whether the current phase holds the ranks.
func (r *leadRound) inHoldPhase() bool { return r.op() == Arm || r.op() == Pause }

// phaseTimeout returns the time limit of the current phase.
func (r *leadRound) phaseTimeout(s Settings) time.Duration {
	switch r.op() {
	case "":
		return s.PrepareTimeout
	case Stage:
		return s.StageTimeout
	case Arm, Pause:
		return s.HoldTimeout
	}
	return s.FinishTimeout
}

func (r *leadRound) allAnswered() bool {
	for _, k := range r.ranks {
		if !k.answered {
			return false
		}
	}
	return true
}

// firstUnanswered returns the first rank that hasn't answered the current phase,
// empty if all have.
func (r *leadRound) firstUnanswered() btid.Target {
	for i, k := range r.ranks {
		if !k.answered {
			return r.members.Ranks[i]
		}
	}
	return ""
}

// proof lists the participating incarnations by rank.
func (r *leadRound) proof() []btid.Incarnation {
	proof := make([]btid.Incarnation, len(r.ranks))
	for i, k := range r.ranks {
		proof[i] = k.incarnation
	}
	return proof
}

// allHeld reports whether every rank has acknowledged that it is held with the
// round's version staged or in force.
func (r *leadRound) allHeld() bool {
	version := Version{Map: r.mapDigest, Members: r.members.Digest, Ballot: r.ballot}
	for _, k := range r.ranks {
		mine := k.state.Staged == version || k.state.InForce == version
		if !k.answered || !k.state.Held || !mine {
			return false
		}
	}
	return true
}

// sameInForce reports whether all ranks have the same agreed map in force.
func (r *leadRound) sameInForce() bool {
	for _, k := range r.ranks {
		if !k.state.InForce.Agreed() || !k.state.InForce.SameMap(r.ranks[0].state.InForce) {
			return false
		}
	}
	return true
}

func (r *leadRound) result(now time.Time, outcome Outcome) RoundResult {
	d := RoundResult{
		Group:    r.members.Group,
		Ballot:   r.ballot,
		Map:      r.mapDigest,
		Outcome:  outcome,
		Cause:    r.cause,
		Reason:   r.reason,
		Rank:     r.failedRank,
		Duration: now.Sub(r.startedAt),
	}
	if r.holdStartedAt.IsZero() {
		return d
	}
	d.HoldDuration = now.Sub(r.holdStartedAt)
	if r.stepTime > 0 {
		d.StepsStalled = int(d.HoldDuration / r.stepTime)
	}
	return d
}
