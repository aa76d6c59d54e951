package btround

import (
	"time"

	"bilberrytide/core/btexpert"
)

// takeOver begins to bring another lead's round to its end: first the rank that
// holds the group is fenced, so that the other lead can't let it go on, then all
// ranks are looked at anew.
//
// Every rank must have reported of late, but for one that is out of reach: the
// other lead's, if the held rank's agent has a record of the round.
func (l *Lead) takeOver(now time.Time) {
	missing := l.missingRanks(now)
	holder, held := l.holdingRank()
	switch {
	case len(missing) == 0:
	case len(missing) == 1 && held && missing[0] != holder:
		l.unreachable = &missing[0]
	default:
		return
	}
	l.startedAt = now
	l.heldAt = time.Time{}
	l.layers = nil
	l.clearConfirmed()
	l.ballot = l.ballot.Next(l.self, l.instance)
	if held {
		l.holder = holder
		l.step = l.member(holder).state.HeldStep
		l.heldAt = now
		l.startClaim(ReadingStates)
		return
	}
	// Ranks are armed and none holds: the step may begin at any moment, and all
	// that is left is to see to the others being armed too.
	l.holder = l.self
	l.step = 0
	l.enterPhase(ReadingStates)
}

// holdingRank returns a rank that holds the group; false without one.
func (l *Lead) holdingRank() (btexpert.Rank, bool) {
	for r := range l.size {
		m, found := l.members[btexpert.Rank(r)]
		if found && m.state.Held {
			return btexpert.Rank(r), true
		}
	}
	return 0, false
}

// advanceClaiming goes on once the holder obeys this lead, or no longer holds.
func (l *Lead) advanceClaiming(now time.Time) {
	m := l.member(l.holder)
	if m.refused {
		l.endRound(now, false, "hold was ended")
		return
	}
	if !m.reached {
		return
	}
	l.claimed = true
	if l.afterClaim == ReadingStates && l.unreachable != nil && !l.unreachableNotArmed() {
		l.postponeTakeover(now)
		return
	}
	l.enterPhase(l.afterClaim)
}

// startClaim has the holder accept the hold under this lead's ballot.
func (l *Lead) startClaim(next Phase) {
	l.claimed = false
	l.afterClaim = next
	l.enterPhase(Claiming)
}

// unreachableNotArmed tells whether the rank out of reach is known not to be armed: it is
// that of the round's lead, which had not committed its record.
func (l *Lead) unreachableNotArmed() bool {
	return l.record != nil && !l.record.Committed && l.record.Lead == *l.unreachable && l.record.Epoch == l.epoch
}

// postponeTakeover leaves a round that can't be ended before the rank out of reach is back.
func (l *Lead) postponeTakeover(now time.Time) {
	l.endRound(now, false, "rank out of reach")
	l.backoffUntil = now.Add(l.settings.Backoff)
}

// endWithoutUnreachable ends the round of a lead out of reach: none of the other ranks stays
// armed, and the lead's own isn't.
func (l *Lead) endWithoutUnreachable(now time.Time) {
	if !l.holdConfirmed() || !l.noneSwitched() {
		l.postponeTakeover(now)
		return
	}
	l.version = l.record.Version
	l.secured = true
	l.startDisarm(now)
}

// noneSwitched tells whether each rank within reach is as before the round's step:
// armed for its map or for none, and the map not in force.
func (l *Lead) noneSwitched() bool {
	for _, s := range l.confirmedStates() {
		if s.Map == l.record.Version || s.Armed != 0 && (s.Armed != l.record.Version || s.ArmedStep < l.step) {
			return false
		}
	}
	return true
}

// holdConfirmed tells whether the rank that was claimed held the group for the step when it was
// looked at.
func (l *Lead) holdConfirmed() bool {
	m := l.member(l.holder)
	return l.claimed && m.confirmed != nil && m.confirmed.Held && m.confirmed.HeldStep == l.step
}

// unclaimedHold returns the state of a rank that holds the group, where the lead did not
// know of a hold when it took the round over.
func (l *Lead) unclaimedHold() (State, bool) {
	if l.claimed {
		return State{}, false
	}
	for _, s := range l.confirmedStates() {
		if s.Held {
			return s, true
		}
	}
	return State{}, false
}

// resolveTakeover chooses between arming all and disarming all, by states read after the
// fence.
func (l *Lead) resolveTakeover(now time.Time) {
	if s, held := l.unclaimedHold(); held {
		l.holder = s.Rank
		l.step = s.HeldStep
		l.heldAt = now
		l.startClaim(ReadingStates)
		return
	}
	l.version = 0
	step := l.step
	for _, s := range l.confirmedStates() {
		if s.Armed != 0 {
			l.version = s.Armed
			step = s.ArmedStep
		}
	}
	if l.unreachable != nil {
		l.endWithoutUnreachable(now)
		return
	}
	if !l.holdConfirmed() || step < l.step {
		// A hold of a later step keeps nobody from beginning the armed one.
		l.resolveWithoutHold(now, step)
		return
	}
	l.secured = true
	if l.version == 0 {
		l.version = l.commonPreparedVersion()
	}
	switch {
	case l.version == 0:
		l.fenceAllRanks(now)
	case step == l.step && l.allPreparedOrArmed(l.version):
		l.enterPhase(Arming)
	default:
		l.startDisarm(now)
	}
}

// fenceAllRanks ends a hold where nothing is armed and not all ranks have a map to be armed for.
// An order to arm that is on its way to a rank which has one would be carried out all the
// same, and that rank alone would switch: all engines hear the new ballot before.
func (l *Lead) fenceAllRanks(now time.Time) {
	for _, s := range l.confirmedStates() {
		l.version = max(l.version, s.Prepared)
	}
	if l.version == 0 {
		l.enterPhase(Releasing)
		return
	}
	l.startDisarm(now)
}

// startDisarm has all ranks disarmed under a ballot that none of them was armed under, so that
// an order to arm which is carried out late is refused. The holder accepts that ballot
// first: otherwise another lead could end the hold while ranks are being disarmed.
func (l *Lead) startDisarm(now time.Time) {
	switch {
	case !l.secured:
		l.abortWithBackoff(now, NotSecured)
	case l.phase == ReadingStates:
		l.enterPhase(Disarming)
	default:
		l.ballot = l.ballot.Next(l.self, l.instance)
		l.startClaim(Disarming)
	}
}

// resolveWithoutHold ends a round whose step nobody holds, as another lead has let it go on. Where
// some ranks and not all are armed the step may begin at any moment, so the others are
// armed at once. Where all are, nothing is to be done but to end the hold of a later step.
func (l *Lead) resolveWithoutHold(now time.Time, step int64) {
	states := l.confirmedStates()
	switch {
	case !noneArmed(states) && !allArmedOrActive(states, l.version):
		l.step = step
		l.enterPhase(Arming)
	case l.holdConfirmed():
		l.enterPhase(Releasing)
	default:
		l.endRound(now, false, "hold was ended")
	}
}

// commonPreparedVersion returns the version that all ranks have prepared, or zero.
func (l *Lead) commonPreparedVersion() Version {
	var version Version
	for _, s := range l.confirmedStates() {
		if s.Prepared == 0 || version != 0 && s.Prepared != version {
			return 0
		}
		version = s.Prepared
	}
	return version
}

// allPreparedOrArmed tells whether every rank has prepared the version or is armed for
// it.
func (l *Lead) allPreparedOrArmed(v Version) bool {
	for _, s := range l.confirmedStates() {
		if s.Prepared != v && s.Armed != v {
			return false
		}
	}
	return true
}
