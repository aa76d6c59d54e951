package btround

import (
	"time"

	"bilberrytide/core/btexpert"
)

// Step returns the commands that are due.
func (l *Lead) Step(now time.Time) []Command {
	if l.phase == Idle && !now.Before(l.quiet) && l.foreign() && l.Whole(now) {
		l.takeOver(now)
	}
	l.advance(now)
	switch l.phase {
	case Preparing, Arming, Disarming, Looking:
		return l.askAll(now)
	case Holding, Going, Claiming:
		return l.ask(now, nil, l.holder)
	}
	return nil
}

// askAll asks every rank that hasn't answered for good.
func (l *Lead) askAll(now time.Time) []Command {
	var commands []Command
	for r := range l.size {
		commands = l.ask(now, commands, btexpert.Rank(r))
	}
	return commands
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
	case Holding:
		c.Kind = Hold
	case Claiming:
		c.Kind = Hold
		c.Force = true
	case Arming:
		c.Kind = Arm
	case Disarming:
		c.Kind = Disarm
		c.Force = true
	case Going:
		c.Kind = Go
	case Looking:
		c.Kind = Look
	}
	return c
}

// Result takes the answer to a command in.
func (l *Lead) Result(now time.Time, r Result) {
	l.Report(now, r.State, r.Ballot)
	if r.Round != l.round || l.phase == Idle || r.State.Epoch != l.epoch {
		return
	}
	m := l.member(r.State.Rank)
	switch r.Verdict {
	case Reached:
		m.reached = true
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

// advance goes to the next phase when every rank has answered.
func (l *Lead) advance(now time.Time) {
	switch l.phase {
	case Preparing:
		l.prepared(now)
	case Holding:
		l.held(now)
	case Arming:
		l.armed()
	case Disarming:
		if l.count(reached) == l.size {
			l.enter(Going)
		}
	case Going:
		if l.member(l.holder).reached {
			l.gone(now)
		}
	case Claiming:
		l.claimed(now)
	case Looking:
		if l.count(reached) == l.size {
			l.decide(now)
		}
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
	if l.count(reached) < l.size {
		return
	}
	l.holder = l.self
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

// held goes on to arm once the group is held. A step that began too soon is
// given up for a later one.
func (l *Lead) held(now time.Time) {
	m := l.member(l.self)
	if m.refused {
		// The refused step has begun, so that an order for it which is carried
		// out late does nothing.
		l.step = max(l.lastStep()+l.ahead(), l.step+1)
		l.enter(Holding)
		return
	}
	if !m.reached {
		return
	}
	l.heldAt = now
	l.enter(Arming)
}

// armed lets the group go on once all ranks are armed. Where one can't be, the
// others are disarmed before.
func (l *Lead) armed() {
	answered := l.count(reached) + l.count(refused)
	if answered < l.size {
		return
	}
	if l.count(refused) > 0 {
		l.disarm()
		return
	}
	l.enter(Going)
}

// gone ends the round after the group goes on.
func (l *Lead) gone(now time.Time) {
	whole := l.wholeState()
	l.asserter.That(whole, GoesOnWhole, "version %d, step %d", l.version, l.step)
	switched := l.allOn(l.version)
	l.end(now, switched, "complete")
}

// wholeState tells whether all ranks were seen armed for or on one map, or none
// armed.
func (l *Lead) wholeState() bool {
	return l.allOn(l.version) || l.noneArmed()
}

// allOn tells whether every rank is armed for the version or has it in force.
func (l *Lead) allOn(v Version) bool {
	for _, m := range l.members {
		if m.state.Armed != v && m.state.Map != v {
			return false
		}
	}
	return true
}

func (l *Lead) noneArmed() bool {
	for _, m := range l.members {
		if m.state.Armed != 0 {
			return false
		}
	}
	return true
}

// takeOver begins to bring another lead's round to its end: first the rank that
// holds the group is fenced, so that the other lead can't let it go on, then all
// ranks are looked at anew.
func (l *Lead) takeOver(now time.Time) {
	l.began = now
	l.heldAt = time.Time{}
	l.layers = nil
	l.ballot = l.ballot.Next(l.self)
	for r := range l.size {
		s := l.member(btexpert.Rank(r)).state
		if s.Held {
			l.holder = btexpert.Rank(r)
			l.step = s.HeldStep
			l.heldAt = now
			l.enter(Claiming)
			return
		}
	}
	// Ranks are armed and none holds: the step may begin at any moment, and all
	// that is left is to see to the others being armed too.
	l.holder = l.self
	l.step = 0
	l.enter(Looking)
}

// claimed goes on once the holder obeys this lead, or no longer holds.
func (l *Lead) claimed(now time.Time) {
	m := l.member(l.holder)
	if m.refused {
		l.end(now, false, "hold was ended")
		return
	}
	if m.reached {
		l.enter(Looking)
	}
}

// decide chooses between arming all and disarming all, by states read after the
// fence.
func (l *Lead) decide(now time.Time) {
	l.version = 0
	step := l.step
	for _, m := range l.members {
		if m.state.Armed != 0 {
			l.version = m.state.Armed
			step = m.state.ArmedStep
		}
	}
	if l.version == 0 {
		l.version = l.commonPrepared()
	}
	if !l.member(l.holder).state.Held {
		l.unheld(now, step)
		return
	}
	if l.version == 0 {
		// Nothing is armed or can be: the hold itself was carried out late.
		l.enter(Going)
		return
	}
	if step == l.step && l.allReady(l.version) {
		l.enter(Arming)
		return
	}
	l.disarm()
}

// disarm has all ranks disarmed under a new ballot, so that an order to arm
// which is carried out late is refused.
func (l *Lead) disarm() {
	l.ballot = l.ballot.Next(l.self)
	l.enter(Disarming)
}

// unheld ends a round that another lead has let go on. Where not all ranks are
// armed the step may begin at any moment, so the others are armed at once.
func (l *Lead) unheld(now time.Time, step int64) {
	if l.version == 0 || l.allOn(l.version) || !l.foreign() {
		l.end(now, false, "hold was ended")
		return
	}
	l.step = step
	l.enter(Arming)
}

// commonPrepared returns the version that all ranks have prepared, or zero.
func (l *Lead) commonPrepared() Version {
	var version Version
	for _, m := range l.members {
		if m.state.Prepared == 0 || version != 0 && m.state.Prepared != version {
			return 0
		}
		version = m.state.Prepared
	}
	return version
}

// allReady tells whether every rank has prepared the version or is armed for
// it.
func (l *Lead) allReady(v Version) bool {
	for _, m := range l.members {
		if m.state.Prepared != v && m.state.Armed != v {
			return false
		}
	}
	return true
}
