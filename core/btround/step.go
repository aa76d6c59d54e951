package btround

import (
	"slices"
	"time"

	"bilberrytide/core/btexpert"
)

// Poll returns the commands that are due.
func (l *Lead) Poll(now time.Time) []Command {
	if l.phase == Idle && l.takeoverDue(now) {
		l.takeOver(now)
	}
	l.advance(now)
	var commands []Command
	for r := range l.size {
		if l.asks(btexpert.Rank(r)) {
			commands = l.appendCommand(now, commands, btexpert.Rank(r))
		}
	}
	return commands
}

// asks tells whether the phase has a command for a rank.
func (l *Lead) asks(r btexpert.Rank) bool {
	switch l.phase {
	case Preparing, Arming, Disarming, ReadingStates:
		return l.participates(r)
	case StoringRecord, Holding, Committing, Releasing, Claiming:
		return r == l.holder
	case ArmingLast:
		return r == l.self
	}
	return false
}

// participates tells whether a rank is asked in a phase that asks all: one that is
// out of reach is not, and the own one is armed last where there is a record.
func (l *Lead) participates(r btexpert.Rank) bool {
	if l.unreachable != nil && *l.unreachable == r {
		return false
	}
	return l.phase != Arming || !l.recordStored || r != l.self
}

// allReached tells whether every rank of the phase is in the state asked for.
func (l *Lead) allReached() bool { return l.count(reached) == l.countAsked() }

// countAsked returns how many ranks the phase asks.
func (l *Lead) countAsked() int {
	n := 0
	for r := range l.size {
		if l.participates(btexpert.Rank(r)) {
			n++
		}
	}
	return n
}

// appendCommand adds the phase's command for a rank, unless it was asked just now or has
// answered.
func (l *Lead) appendCommand(now time.Time, commands []Command, r btexpert.Rank) []Command {
	m := l.member(r)
	if m.reached || m.refused || !m.askedAt.IsZero() && now.Sub(m.askedAt) < l.settings.RetryInterval {
		return commands
	}
	m.askedAt = now
	return append(commands, l.commandFor(r))
}

// commandFor returns what the phase wants of a rank.
func (l *Lead) commandFor(r btexpert.Rank) Command {
	c := Command{Ballot: l.ballot, Round: l.round, Rank: r, Epoch: l.epoch, Version: l.version, Step: l.step}
	switch l.phase {
	case Preparing:
		c.Kind = Prepare
		c.Layers = l.layers
	case StoringRecord:
		c.Kind = StoreRecord
		c.Lead = l.self
	case Committing:
		c.Kind = Commit
	case Holding:
		c.Kind = Hold
		c.Direct = l.recordStored
	case Claiming:
		c.Kind = Hold
		c.Force = true
		c.Direct = l.recordStored
	case Arming, ArmingLast:
		c.Kind = Arm
		// In another lead's round the order is given also where the rank is armed:
		// the ballot keeps an earlier order to disarm, carried out late, from
		// taking effect.
		c.Force = l.layers == nil
	case Disarming:
		c.Kind = Disarm
		c.Force = true
	case Releasing:
		c.Kind = Release
		c.Direct = l.recordStored
	case ReadingStates:
		c.Kind = ReadState
	}
	return c
}

// RetryNow has a rank asked again at the next step: it could not follow what it was
// sent.
func (l *Lead) RetryNow(round uint64, r btexpert.Rank) {
	if round == l.round {
		l.member(r).askedAt = time.Time{}
	}
}

// HandleResult takes the answer to a command in.
func (l *Lead) HandleResult(now time.Time, r Result) {
	l.HandleReport(now, r.State, r.Ballot)
	if r.Round != l.round || l.phase == Idle || r.State.Epoch != l.epoch {
		return
	}
	if l.phase == Claiming && l.afterClaim == ReadingStates {
		l.record = r.Record
	}
	m := l.member(r.State.Rank)
	switch r.Verdict {
	case Reached:
		m.reached = true
		l.storeConfirmed(m, r)
	case Refused:
		m.refused = true
	case Outranked:
		l.handleOutranked(now, r.Ballot)
		return
	case Pending:
		m.askedAt = now.Add(pendingRetryDelay - l.settings.RetryInterval)
	}
	l.advance(now)
}

// storeConfirmed keeps the state of a rank that is armed, disarmed or looked at.
func (l *Lead) storeConfirmed(m *member, r Result) {
	switch l.phase {
	case Arming, ArmingLast, Disarming, ReadingStates:
		m.confirmed = &r.State
	}
}

// advance goes to the next phase when every rank has answered.
func (l *Lead) advance(now time.Time) {
	switch l.phase {
	case Preparing:
		l.advancePreparing(now)
	case StoringRecord:
		l.advanceStoringRecord(now)
	case Holding:
		l.advanceHolding(now)
	case Arming:
		l.advanceArming(now)
	case Committing:
		l.advanceSingle(now, l.holder, ArmingLast)
	case ArmingLast:
		l.advanceSingle(now, l.self, Releasing)
	case Disarming:
		l.advanceDisarming(now)
	case Releasing:
		l.advanceReleasing(now)
	case Claiming:
		l.advanceClaiming(now)
	case ReadingStates:
		l.advanceReading(now)
	}
}

// advanceSingle goes on to the next phase once the one rank that is asked is in the
// state asked for; where it can't be, all ranks are disarmed.
func (l *Lead) advanceSingle(now time.Time, r btexpert.Rank, next Phase) {
	switch m := l.member(r); {
	case m.reached:
		l.enterPhase(next)
	case m.refused:
		l.startDisarm(now)
	}
}

// advanceReading decides once all ranks have reported their states.
func (l *Lead) advanceReading(now time.Time) {
	switch {
	case l.count(refused) > 0:
		l.abortWithBackoff(now, ReadRefused)
	case l.allReached():
		l.resolveTakeover(now)
	}
}

// advanceReleasing ends the round once the holder lets the group go on.
func (l *Lead) advanceReleasing(now time.Time) {
	switch m := l.member(l.holder); {
	case m.reached:
		l.finishRound(now)
	case m.refused:
		l.abortWithBackoff(now, ReleaseRefused)
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

// advancePreparing goes on to the hold when every rank has the map's experts.
func (l *Lead) advancePreparing(now time.Time) {
	if l.count(refused) > 0 {
		l.endRound(now, false, "prepare refused")
		return
	}
	if now.Sub(l.startedAt) > l.settings.PrepareTimeout {
		l.endRound(now, false, "prepare took too long")
		return
	}
	if _, held := l.holdingRank(); held {
		l.endRound(now, false, HeldByAnother)
		return
	}
	if l.count(reached) < l.size {
		return
	}
	if l.holder == l.self {
		l.startHold(l.self)
		return
	}
	l.enterPhase(StoringRecord)
}

// advanceStoringRecord goes on to the hold once the holder's agent keeps a record. Where it
// doesn't answer the round is given up, as it may keep one all the same.
func (l *Lead) advanceStoringRecord(now time.Time) {
	m := l.member(l.holder)
	switch {
	case m.reached:
		l.recordStored = true
		l.startHold(l.holder)
	case m.refused, !m.askedAt.IsZero() && now.Sub(m.askedAt) > l.settings.RecordTimeout:
		l.endRound(now, false, NoRecord)
	}
}

// startHold goes on to startHold the group at a rank, before a step that none has begun.
func (l *Lead) startHold(r btexpert.Rank) {
	l.holder = r
	l.step = max(l.lastStep()+l.holdDistance(), l.step+1)
	l.enterPhase(Holding)
}

// holdDistance is how many steps after the last the group is held.
func (l *Lead) holdDistance() int64 {
	return l.settings.HoldAhead + int64(l.size/l.settings.RanksPerExtraStep)
}

// lastStep returns the latest step that any rank has begun.
func (l *Lead) lastStep() int64 {
	var last int64
	for _, m := range l.members {
		last = max(last, m.state.Step)
	}
	return last
}

// maxRefusedHolds bounds the holds of one round that come too late for their steps.
const maxRefusedHolds = 8

// advanceHolding goes on to arm once the group is advanceHolding. A step that began too soon is
// given up for a later one.
func (l *Lead) advanceHolding(now time.Time) {
	m := l.member(l.holder)
	switch {
	case m.reached:
		l.heldAt = now
		l.claimed = true
		l.secured = true
		l.enterPhase(Arming)
	case !m.refused:
	case m.state.Held && m.state.HeldStep != l.step:
		// A rank holds one step at a time, so that it refuses every other one.
		l.endRound(now, false, HeldByAnother)
	case l.refusedHolds >= maxRefusedHolds:
		l.abortWithBackoff(now, HoldRefused)
	default:
		// The refused step has begun, so that an order for it which is carried
		// out late does nothing.
		l.refusedHolds++
		l.startHold(l.holder)
	}
}

// advanceArming lets the group go on once all ranks are advanceArming. Where one can't be, the
// others are disarmed before.
func (l *Lead) advanceArming(now time.Time) {
	answered := l.count(reached) + l.count(refused)
	if answered < l.countAsked() {
		return
	}
	switch {
	case l.count(refused) > 0:
		l.startDisarm(now)
	case l.recordStored:
		l.enterPhase(Committing)
	default:
		l.enterPhase(Releasing)
	}
}

// finishRound ends the round after the group goes on.
func (l *Lead) finishRound(now time.Time) {
	whole := l.mapConsistent()
	l.asserter.That(whole, InvariantOneMap, "version %d, step %d", l.version, l.step)
	states := l.confirmedStates()
	switched := len(states) == l.size && allArmedOrActive(states, l.version)
	l.endRound(now, switched, "complete")
}

// advanceDisarming lets the group go on once no rank is armed. One that was armed for another
// version meanwhile, by an order carried out late, is advanceDisarming in turn.
func (l *Lead) advanceDisarming(now time.Time) {
	if l.count(refused) > 0 {
		l.abortWithBackoff(now, DisarmRefused)
		return
	}
	if !l.allReached() {
		return
	}
	for _, s := range l.confirmedStates() {
		if s.Armed != 0 {
			l.version = s.Armed
			l.enterPhase(Disarming)
			return
		}
	}
	l.enterPhase(Releasing)
}

// mapConsistent tells whether all ranks have answered in this round that they are armed for
// or on one map, or that they aren't armed. One that is out of reach isn't.
func (l *Lead) mapConsistent() bool {
	states := l.confirmedStates()
	all := l.size
	if l.unreachable != nil {
		all--
	}
	return len(states) == all && (len(states) == l.size && allArmedOrActive(states, l.version) || noneArmed(states))
}

// knownStates lists the last known knownStates of the ranks that have reported.
func (l *Lead) knownStates() []State {
	var states []State
	for _, m := range l.members {
		states = append(states, m.state)
	}
	return states
}

// allArmedOrActive tells whether every rank is armed for the version or has it in force.
func allArmedOrActive(states []State, v Version) bool {
	return !slices.ContainsFunc(states, func(s State) bool { return s.Armed != v && s.Map != v })
}

func noneArmed(states []State) bool {
	return !slices.ContainsFunc(states, func(s State) bool { return s.Armed != 0 })
}
