package btround

import (
	"slices"
	"time"

	"bilberrytide/core/btexpert"
)

// Step returns the commands that are due.
func (l *Lead) Step(now time.Time) []Command {
	if l.phase == Idle && l.foreignDue(now) {
		l.takeOver(now)
	}
	l.advance(now)
	var commands []Command
	for r := range l.size {
		if l.asks(btexpert.Rank(r)) {
			commands = l.ask(now, commands, btexpert.Rank(r))
		}
	}
	return commands
}

// asks tells whether the phase has a command for a rank.
func (l *Lead) asks(r btexpert.Rank) bool {
	switch l.phase {
	case Preparing, Arming, Disarming, Looking:
		return l.takesPart(r)
	case Witnessing, Holding, Committing, Going, Claiming:
		return r == l.holder
	case ArmingLast:
		return r == l.self
	}
	return false
}

// takesPart tells whether a rank is asked in a phase that asks all: one that is
// out of reach is not, and the own one is armed last where there is a record.
func (l *Lead) takesPart(r btexpert.Rank) bool {
	if l.absent != nil && *l.absent == r {
		return false
	}
	return l.phase != Arming || !l.witnessed || r != l.self
}

// allReached tells whether every rank of the phase is in the state asked for.
func (l *Lead) allReached() bool { return l.count(reached) == l.asked() }

// asked returns how many ranks the phase asks.
func (l *Lead) asked() int {
	n := 0
	for r := range l.size {
		if l.takesPart(btexpert.Rank(r)) {
			n++
		}
	}
	return n
}

// ask adds the phase's command for a rank, unless it was asked just now or has
// answered.
func (l *Lead) ask(now time.Time, commands []Command, r btexpert.Rank) []Command {
	m := l.member(r)
	if m.reached || m.refused || !m.asked.IsZero() && now.Sub(m.asked) < l.settings.Again {
		return commands
	}
	m.asked = now
	return append(commands, l.command(r))
}

// command returns what the phase wants of a rank.
func (l *Lead) command(r btexpert.Rank) Command {
	c := Command{Ballot: l.ballot, Round: l.round, Rank: r, Epoch: l.epoch, Version: l.version, Step: l.step}
	switch l.phase {
	case Preparing:
		c.Kind = Prepare
		c.Layers = l.layers
	case Witnessing:
		c.Kind = Witness
		c.Lead = l.self
	case Committing:
		c.Kind = Commit
	case Holding:
		c.Kind = Hold
		c.Direct = l.witnessed
	case Claiming:
		c.Kind = Hold
		c.Force = true
		c.Direct = l.witnessed
	case Arming, ArmingLast:
		c.Kind = Arm
		// In another lead's round the order is given also where the rank is armed:
		// the ballot keeps an earlier order to disarm, carried out late, from
		// taking effect.
		c.Force = l.layers == nil
	case Disarming:
		c.Kind = Disarm
		c.Force = true
	case Going:
		c.Kind = Go
		c.Direct = l.witnessed
	case Looking:
		c.Kind = Look
	}
	return c
}

// Repeat has a rank asked again at the next step: it could not follow what it was
// sent.
func (l *Lead) Repeat(round uint64, r btexpert.Rank) {
	if round == l.round {
		l.member(r).asked = time.Time{}
	}
}

// Result takes the answer to a command in.
func (l *Lead) Result(now time.Time, r Result) {
	l.Report(now, r.State, r.Ballot)
	if r.Round != l.round || l.phase == Idle || r.State.Epoch != l.epoch {
		return
	}
	if l.phase == Claiming && l.afterClaim == Looking {
		l.record = r.Record
	}
	m := l.member(r.State.Rank)
	switch r.Verdict {
	case Reached:
		m.reached = true
		l.answer(m, r)
	case Refused:
		m.refused = true
	case Outranked:
		l.outranked(now, r.Ballot)
		return
	case Pending:
		m.asked = now.Add(pendingPause - l.settings.Again)
	}
	l.advance(now)
}

// answer keeps the state of a rank that is armed, disarmed or looked at.
func (l *Lead) answer(m *member, r Result) {
	switch l.phase {
	case Arming, ArmingLast, Disarming, Looking:
		m.answered = &r.State
	}
}

// advance goes to the next phase when every rank has answered.
func (l *Lead) advance(now time.Time) {
	switch l.phase {
	case Preparing:
		l.prepared(now)
	case Witnessing:
		l.recorded(now)
	case Holding:
		l.held(now)
	case Arming:
		l.armed(now)
	case Committing:
		l.oneReached(now, l.holder, ArmingLast)
	case ArmingLast:
		l.oneReached(now, l.self, Going)
	case Disarming:
		l.disarmed(now)
	case Going:
		l.going(now)
	case Claiming:
		l.claim(now)
	case Looking:
		l.looked(now)
	}
}

// oneReached goes on to the next phase once the one rank that is asked is in the
// state asked for; where it can't be, all ranks are disarmed.
func (l *Lead) oneReached(now time.Time, r btexpert.Rank, next Phase) {
	switch m := l.member(r); {
	case m.reached:
		l.enter(next)
	case m.refused:
		l.disarm(now)
	}
}

// looked decides once all ranks have reported their states.
func (l *Lead) looked(now time.Time) {
	switch {
	case l.count(refused) > 0:
		l.giveUp(now, LookRefused)
	case l.allReached():
		l.decide(now)
	}
}

// going ends the round once the holder lets the group go on.
func (l *Lead) going(now time.Time) {
	switch m := l.member(l.holder); {
	case m.reached:
		l.gone(now)
	case m.refused:
		l.giveUp(now, GoRefused)
	}
}

func reached(m *member) bool { return m.reached }

func refused(m *member) bool { return m.refused }

func (l *Lead) count(is func(*member) bool) int {
	n := 0
	for _, m := range l.members {
		if is(m) {
			n++
		}
	}
	return n
}

// prepared goes on to the hold when every rank has the map's experts.
func (l *Lead) prepared(now time.Time) {
	if l.count(refused) > 0 {
		l.end(now, false, "prepare refused")
		return
	}
	if now.Sub(l.began) > l.settings.Prepare {
		l.end(now, false, "prepare took too long")
		return
	}
	if _, held := l.heldRank(); held {
		l.end(now, false, HeldByAnother)
		return
	}
	if l.count(reached) < l.size {
		return
	}
	if l.holder == l.self {
		l.hold(l.self)
		return
	}
	l.enter(Witnessing)
}

// recorded goes on to the hold once the holder's agent keeps a record. Where it
// doesn't answer the round is given up, as it may keep one all the same.
func (l *Lead) recorded(now time.Time) {
	m := l.member(l.holder)
	switch {
	case m.reached:
		l.witnessed = true
		l.hold(l.holder)
	case m.refused, !m.asked.IsZero() && now.Sub(m.asked) > l.settings.Witness:
		l.end(now, false, NoRecord)
	}
}

// hold goes on to hold the group at a rank, before a step that none has begun.
func (l *Lead) hold(r btexpert.Rank) {
	l.holder = r
	l.step = max(l.lastStep()+l.ahead(), l.step+1)
	l.enter(Holding)
}

// ahead is how many steps after the last the group is held.
func (l *Lead) ahead() int64 {
	return l.settings.Ahead + int64(l.size/l.settings.RanksPerStep)
}

// lastStep returns the latest step that any rank has begun.
func (l *Lead) lastStep() int64 {
	var last int64
	for _, m := range l.members {
		last = max(last, m.state.Step)
	}
	return last
}

// maxHolds bounds the holds of one round that come too late for their steps.
const maxHolds = 8

// held goes on to arm once the group is held. A step that began too soon is
// given up for a later one.
func (l *Lead) held(now time.Time) {
	m := l.member(l.holder)
	switch {
	case m.reached:
		l.heldAt = now
		l.claimed = true
		l.secured = true
		l.enter(Arming)
	case !m.refused:
	case m.state.Held && m.state.HeldStep != l.step:
		// A rank holds one step at a time, so that it refuses every other one.
		l.end(now, false, HeldByAnother)
	case l.holds >= maxHolds:
		l.giveUp(now, HoldRefused)
	default:
		// The refused step has begun, so that an order for it which is carried
		// out late does nothing.
		l.holds++
		l.hold(l.holder)
	}
}

// armed lets the group go on once all ranks are armed. Where one can't be, the
// others are disarmed before.
func (l *Lead) armed(now time.Time) {
	answered := l.count(reached) + l.count(refused)
	if answered < l.asked() {
		return
	}
	switch {
	case l.count(refused) > 0:
		l.disarm(now)
	case l.witnessed:
		l.enter(Committing)
	default:
		l.enter(Going)
	}
}

// gone ends the round after the group goes on.
func (l *Lead) gone(now time.Time) {
	whole := l.wholeState()
	l.asserter.That(whole, GoesOnWhole, "version %d, step %d", l.version, l.step)
	states := l.answered()
	switched := len(states) == l.size && allOn(states, l.version)
	l.end(now, switched, "complete")
}

// disarmed lets the group go on once no rank is armed. One that was armed for another
// version meanwhile, by an order carried out late, is disarmed in turn.
func (l *Lead) disarmed(now time.Time) {
	if l.count(refused) > 0 {
		l.giveUp(now, DisarmRefused)
		return
	}
	if !l.allReached() {
		return
	}
	for _, s := range l.answered() {
		if s.Armed != 0 {
			l.version = s.Armed
			l.enter(Disarming)
			return
		}
	}
	l.enter(Going)
}

// wholeState tells whether all ranks have answered in this round that they are armed for
// or on one map, or that they aren't armed. One that is out of reach isn't.
func (l *Lead) wholeState() bool {
	states := l.answered()
	all := l.size
	if l.absent != nil {
		all--
	}
	return len(states) == all && (len(states) == l.size && allOn(states, l.version) || noneArmed(states))
}

// states lists the last known states of the ranks that have reported.
func (l *Lead) states() []State {
	var states []State
	for _, m := range l.members {
		states = append(states, m.state)
	}
	return states
}

// allOn tells whether every rank is armed for the version or has it in force.
func allOn(states []State, v Version) bool {
	return !slices.ContainsFunc(states, func(s State) bool { return s.Armed != v && s.Map != v })
}

func noneArmed(states []State) bool {
	return !slices.ContainsFunc(states, func(s State) bool { return s.Armed != 0 })
}
