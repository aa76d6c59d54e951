package btround

import (
	"time"

	"bilberrytide/core/btexpert"
)

// takeOver begins to end another lead's round. It first claims the holding rank, so
// that the other lead can't release the group, and then reads the states of all ranks.
//
// Every rank must have reported recently, except one unreachable rank while another
// holds the group: that of the round's lead, if the holder's agent has a record of the
// round.
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
	// Ranks are armed and none holds the group, so the step may begin at any moment.
	// The only way to keep one map is to arm the other ranks too.
	l.holder = l.self
	l.step = 0
	l.enterPhase(ReadingStates)
}

// holdingRank returns a rank that holds the group; false if none does.
func (l *Lead) holdingRank() (btexpert.Rank, bool) {
	for r := range l.size {
		m, found := l.members[btexpert.Rank(r)]
		if found && m.state.Held {
			return btexpert.Rank(r), true
		}
	}
	return 0, false
}

// advanceClaiming continues once the holder has accepted this lead's ballot, and ends
// the round if the holder no longer holds the group.
func (l *Lead) advanceClaiming(now time.Time) {
	m := l.member(l.holder)
	if m.refused {
		l.endRound(now, false, "hold was ended")
		return
	}
	if !m.acknowledged {
		return
	}
	l.claimed = true
	if l.afterClaim == ReadingStates && l.unreachable != nil && !l.unreachableNotArmed() {
		l.postponeTakeover(now)
		return
	}
	l.enterPhase(l.afterClaim)
}

// startClaim asks the holder to accept the hold under this lead's ballot.
func (l *Lead) startClaim(next Phase) {
	l.claimed = false
	l.afterClaim = next
	l.enterPhase(Claiming)
}

// unreachableNotArmed reports whether the unreachable rank is known not to be armed: it
// is the rank of the round's lead, and the round's record isn't committed.
func (l *Lead) unreachableNotArmed() bool {
	return l.record != nil && !l.record.Committed && l.record.Lead == *l.unreachable && l.record.Epoch == l.epoch
}

// postponeTakeover stops a takeover that can't be completed while a rank is unreachable.
func (l *Lead) postponeTakeover(now time.Time) {
	l.endRound(now, false, "rank out of reach")
	l.backoffUntil = now.Add(l.settings.Backoff)
}

// finishWithoutUnreachable ends the round of an unreachable lead, whose rank isn't armed,
// by disarming the other ranks.
func (l *Lead) finishWithoutUnreachable(now time.Time) {
	if !l.holdConfirmed() || !l.noneSwitched() {
		l.postponeTakeover(now)
		return
	}
	l.version = l.record.Version
	l.secured = true
	l.startDisarm(now)
}

// noneSwitched reports whether each reachable rank is still before the round's step:
// armed for the round's map or not armed, and the map not active.
func (l *Lead) noneSwitched() bool {
	for _, s := range l.confirmedStates() {
		if s.Map == l.record.Version || s.Armed != 0 && (s.Armed != l.record.Version || s.ArmedStep < l.step) {
			return false
		}
	}
	return true
}

// holdConfirmed reports whether the claimed rank held the group before the round's step
// when its state was read.
func (l *Lead) holdConfirmed() bool {
	m := l.member(l.holder)
	return l.claimed && m.confirmed != nil && m.confirmed.Held && m.confirmed.HeldStep == l.step
}

// unclaimedHold returns the state of a rank that holds the group if that hold wasn't
// reported yet when the lead took the round over.
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

// resolveTakeover chooses between arming and disarming all ranks, by the states read
// after the claim.
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
		l.finishWithoutUnreachable(now)
		return
	}
	if !l.holdConfirmed() || step < l.step {
		// A hold of a later step doesn't prevent the armed one.
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

// fenceAllRanks ends a hold where no rank is armed and not all ranks have a map to be
// armed for. If some rank has prepared a map, a late order to arm would switch that
// rank alone, so the new ballot is sent to all engines first, by disarming.
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

// startDisarm disarms all ranks under a ballot under which none was armed, so that a
// late order to arm is refused. The holder accepts that ballot first; otherwise another
// lead could release the hold while ranks are being disarmed.
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

// resolveWithoutHold ends a round whose step isn't held because another lead has
// released the group. If only some ranks are armed, the others are armed immediately,
// as the step may begin at any moment. Otherwise only the hold of a later step, if any, is
// released.
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

// allPreparedOrArmed reports whether every rank has prepared the version or is armed
// for it.
func (l *Lead) allPreparedOrArmed(v Version) bool {
	for _, s := range l.confirmedStates() {
		if s.Prepared != v && s.Armed != v {
			return false
		}
	}
	return true
}
