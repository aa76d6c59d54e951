package btround

import (
	"slices"
	"time"

	"bilberrytide/core/btexpert"
)

// Poll advances the round and returns the commands that are due.
func (l *Lead) Poll(now time.Time) []Command {
	if l.phase == Idle && l.takeoverDue(now) {
		l.takeOver(now)
	}
	l.advance(now)
	var commands []Command
	for r := range l.size {
		if l.hasCommand(btexpert.Rank(r)) {
			commands = l.appendCommand(now, commands, btexpert.Rank(r))
		}
	}
	return commands
}

// hasCommand reports whether the phase has a command for a rank.
func (l *Lead) hasCommand(r btexpert.Rank) bool {
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

// participates reports whether a rank participates in a phase of all ranks. An
// unreachable rank doesn't, and the lead's own rank isn't armed with the others if a
// record is stored.
func (l *Lead) participates(r btexpert.Rank) bool {
	if l.unreachable != nil && *l.unreachable == r {
		return false
	}
	return l.phase != Arming || !l.recordStored || r != l.self
}

// allAcknowledged reports whether every participating rank is in the requested state.
func (l *Lead) allAcknowledged() bool { return l.count(acknowledged) == l.countParticipants() }

// countParticipants returns the number of participating ranks.
func (l *Lead) countParticipants() int {
	n := 0
	for r := range l.size {
		if l.participates(btexpert.Rank(r)) {
			n++
		}
	}
	return n
}

// appendCommand appends the phase's command for a rank, unless the rank has answered or
// was sent the command within the retry interval.
func (l *Lead) appendCommand(now time.Time, commands []Command, r btexpert.Rank) []Command {
	m := l.member(r)
	if m.acknowledged || m.refused || !m.sentAt.IsZero() && now.Sub(m.sentAt) < l.settings.RetryInterval {
		return commands
	}
	m.sentAt = now
	return append(commands, l.commandFor(r))
}

// commandFor returns the phase's command for a rank.
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
		// In another lead's round the order is sent even to an armed rank: its ballot
		// prevents an earlier order to disarm from taking effect if it is executed
		// late.
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

// RetryNow makes the next Poll resend the command to a rank that couldn't apply it. It
// does nothing if the round isn't the current one.
func (l *Lead) RetryNow(round uint64, r btexpert.Rank) {
	if round == l.round {
		l.member(r).sentAt = time.Time{}
	}
}

// HandleResult processes the answer to a command.
func (l *Lead) HandleResult(now time.Time, r Result) {
	if r.Fenced && r.Round == l.round && l.phase != Idle {
		r.Ballot = l.aboveFence(r.Ballot)
	}
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
		m.acknowledged = true
		l.fencedInRow = 0
		l.storeConfirmed(m, r)
	case Refused:
		m.refused = true
	case Outranked:
		l.handlePreempted(now, r.Ballot)
		return
	case Pending:
		m.sentAt = now.Add(pendingRetryDelay - l.settings.RetryInterval)
	}
	l.advance(now)
}

// storeConfirmed stores the state of a rank that was armed, disarmed or read.
func (l *Lead) storeConfirmed(m *member, r Result) {
	switch l.phase {
	case Arming, ArmingLast, Disarming, ReadingStates:
		m.confirmed = &r.State
	}
}

// advance enters the next phase once the answers that it needs have arrived.
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

// advanceSingle enters the next phase once the one participating rank has reached its
// state. If that rank refuses, all ranks are disarmed.
func (l *Lead) advanceSingle(now time.Time, r btexpert.Rank, next Phase) {
	switch m := l.member(r); {
	case m.acknowledged:
		l.enterPhase(next)
	case m.refused:
		l.startDisarm(now)
	}
}

// advanceReading resolves the takeover once the states of all ranks have been read.
func (l *Lead) advanceReading(now time.Time) {
	switch {
	case l.count(refused) > 0:
		l.abortWithBackoff(now, ReadRefused)
	case l.allAcknowledged():
		l.resolveTakeover(now)
	}
}

// advanceReleasing ends the round once the holder has released the group.
func (l *Lead) advanceReleasing(now time.Time) {
	switch m := l.member(l.holder); {
	case m.acknowledged:
		l.finishRound(now)
	case m.refused:
		l.abortWithBackoff(now, ReleaseRefused)
	}
}

func acknowledged(m *member) bool { return m.acknowledged }

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

// advancePreparing continues to the hold, or to storing the record, once every rank has
// loaded the map's experts.
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
	if l.count(acknowledged) < l.size {
		return
	}
	if l.holder == l.self {
		l.startHold(l.self)
		return
	}
	l.enterPhase(StoringRecord)
}

// advanceStoringRecord continues to the hold once the holder's agent has stored the
// record. If the agent doesn't answer, the round is abandoned, since it may have stored
// the record anyway.
func (l *Lead) advanceStoringRecord(now time.Time) {
	m := l.member(l.holder)
	switch {
	case m.acknowledged:
		l.recordStored = true
		l.startHold(l.holder)
	case m.refused, !m.sentAt.IsZero() && now.Sub(m.sentAt) > l.settings.RecordTimeout:
		l.endRound(now, false, NoRecord)
	}
}

// startHold begins to hold the group at a rank, before a step that no rank has begun.
func (l *Lead) startHold(r btexpert.Rank) {
	l.holder = r
	l.step = max(l.lastStep()+l.holdDistance(), l.step+1)
	l.enterPhase(Holding)
}

// holdDistance returns how many steps after the latest one the group is held.
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

// maxRefusedHolds bounds how often a round retries a hold that came too late for its
// step.
const maxRefusedHolds = 8

// advanceHolding starts arming once the group is held. If the step has already begun,
// the hold is retried for a later one.
func (l *Lead) advanceHolding(now time.Time) {
	m := l.member(l.holder)
	switch {
	case m.acknowledged:
		l.heldAt = now
		l.claimed = true
		l.secured = true
		l.enterPhase(Arming)
	case !m.refused:
	case m.state.Held && m.state.HeldStep != l.step:
		// A rank holds one step at a time, so it would refuse every other step too.
		l.endRound(now, false, HeldByAnother)
	case l.refusedHolds >= maxRefusedHolds:
		l.abortWithBackoff(now, HoldRefused)
	default:
		// The refused step has begun, so a late order to hold it has no effect.
		l.refusedHolds++
		l.startHold(l.holder)
	}
}

// advanceArming continues once all ranks have answered the order to arm. If any
// refused, the others are disarmed before the group is released.
func (l *Lead) advanceArming(now time.Time) {
	answered := l.count(acknowledged) + l.count(refused)
	if answered < l.countParticipants() {
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

// finishRound ends the round after the group was released.
func (l *Lead) finishRound(now time.Time) {
	whole := l.mapConsistent()
	l.asserter.That(whole, InvariantOneMap, "version %d, step %d", l.version, l.step)
	states := l.confirmedStates()
	switched := len(states) == l.size && allArmedOrActive(states, l.version)
	l.endRound(now, switched, "complete")
}

// advanceDisarming releases the group once no rank is armed. A rank that a late order
// has meanwhile armed for another version is disarmed as well.
func (l *Lead) advanceDisarming(now time.Time) {
	if l.count(refused) > 0 {
		l.abortWithBackoff(now, DisarmRefused)
		return
	}
	if !l.allAcknowledged() {
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

// mapConsistent reports whether all ranks have confirmed in this round either that they
// are armed for or already on the round's map, or that none is armed. An unreachable
// rank is known not to be armed.
func (l *Lead) mapConsistent() bool {
	states := l.confirmedStates()
	all := l.size
	if l.unreachable != nil {
		all--
	}
	return len(states) == all && (len(states) == l.size && allArmedOrActive(states, l.version) || noneArmed(states))
}

// knownStates lists the last known states of the ranks that have reported.
func (l *Lead) knownStates() []State {
	var states []State
	for _, m := range l.members {
		states = append(states, m.state)
	}
	return states
}

// allArmedOrActive reports whether the version is armed or active at every rank.
func allArmedOrActive(states []State, v Version) bool {
	return !slices.ContainsFunc(states, func(s State) bool { return s.Armed != v && s.Map != v })
}

func noneArmed(states []State) bool {
	return !slices.ContainsFunc(states, func(s State) bool { return s.Armed != 0 })
}
