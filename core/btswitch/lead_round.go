package btswitch

import (
	"time"

	"bilberrytide/core/btbundle"
	"bilberrytide/core/btid"
	"bilberrytide/core/btrequest"
)

// preparing is the phase before the first of the plan.
const preparing = -1

// rankState is what a lead knows of one rank in a round.
type rankState struct {
	// incarnation is the one that promised; zero before.
	incarnation btid.Incarnation
	state       EngineState
	// answered tells that the rank is through with the current phase.
	answered bool
}

// leadRound is one round from the lead's side.
type leadRound struct {
	ballot  Ballot
	members Members
	cause   string
	plan    []Op
	phase   int
	ranks   []rankState

	digest  btbundle.Digest
	encoded []byte
	// proposal is the one that the round carries out; nil for none.
	proposal *Propose
	// running tells that the group could step when all had promised.
	running bool
	// uniform tells that all ranks had one agreed map in force once all had
	// staged, so that each may be released on it.
	uniform  bool
	aborting bool
	reason   btrequest.Reason
	culprit  btid.Target

	started  time.Time
	holdAt   time.Time
	phaseAt  time.Time
	sentAt   time.Time
	retry    time.Duration
	stepTime time.Duration
}

func newLeadRound(ballot Ballot, members Members, now time.Time) *leadRound {
	return &leadRound{
		ballot:  ballot,
		members: members,
		plan:    members.plan(),
		phase:   preparing,
		ranks:   make([]rankState, len(members.Ranks)),
		started: now,
		phaseAt: now,
	}
}

// op returns the order of the current phase; empty while preparing.
func (r *leadRound) op() Op {
	switch {
	case r.aborting:
		return Abort
	case r.phase == preparing:
		return ""
	}
	return r.plan[r.phase]
}

// effective tells whether the round is past its commit point.
func (r *leadRound) effective() bool { return r.op().effective() }

// holding tells whether the current phase holds the ranks.
func (r *leadRound) holding() bool { return r.op() == Arm || r.op() == Pause }

// limit returns how long the current phase may take.
func (r *leadRound) limit(s Settings) time.Duration {
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

func (r *leadRound) complete() bool {
	for _, k := range r.ranks {
		if !k.answered {
			return false
		}
	}
	return true
}

// firstWaiting returns the first rank that the current phase waits for.
func (r *leadRound) firstWaiting() btid.Target {
	for i, k := range r.ranks {
		if !k.answered {
			return r.members.Ranks[i]
		}
	}
	return ""
}

// proof lists the incarnations that take part, by rank.
func (r *leadRound) proof() []btid.Incarnation {
	proof := make([]btid.Incarnation, len(r.ranks))
	for i, k := range r.ranks {
		proof[i] = k.incarnation
	}
	return proof
}

// allHeld tells whether every rank last reported that it is held with the
// round's version, staged or in force.
func (r *leadRound) allHeld() bool {
	version := Version{Map: r.digest, Members: r.members.Digest, Ballot: r.ballot}
	for _, k := range r.ranks {
		mine := k.state.Staged == version || k.state.InForce == version
		if !k.answered || !k.state.Held || !mine {
			return false
		}
	}
	return true
}

// sameInForce tells whether all ranks have one agreed map in force.
func (r *leadRound) sameInForce() bool {
	for _, k := range r.ranks {
		if !k.state.InForce.Agreed() || !k.state.InForce.SameMap(r.ranks[0].state.InForce) {
			return false
		}
	}
	return true
}

func (r *leadRound) decided(now time.Time, outcome Outcome) RoundResult {
	d := RoundResult{
		Group:    r.members.Group,
		Ballot:   r.ballot,
		Map:      r.digest,
		Outcome:  outcome,
		Cause:    r.cause,
		Reason:   r.reason,
		Rank:     r.culprit,
		Duration: now.Sub(r.started),
	}
	if r.holdAt.IsZero() {
		return d
	}
	d.HoldDuration = now.Sub(r.holdAt)
	if r.stepTime > 0 {
		d.StepsStalled = int(d.HoldDuration / r.stepTime)
	}
	return d
}
