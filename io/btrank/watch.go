package btrank

import (
	"time"

	"bilberrytide/core/btround"
)

// longWait is the duration from which on a round or a pause is logged. Rounds usually take
// a few hundred milliseconds, pauses some tens of milliseconds.
const longWait = time.Second

// logDelays logs rounds and pauses of the group that last longer than longWait. The lock
// must be held.
func (l *lead) logDelays(now time.Time) {
	l.logLongRound(now)
	l.logLongPause(now)
}

// logLongRound logs once a second which ranks a long round waits for.
func (l *lead) logLongRound(now time.Time) {
	took := now.Sub(l.machine.StartedAt())
	if l.machine.Phase() == btround.Idle || took < longWait || now.Sub(l.waitLoggedAt) < longWait {
		return
	}
	l.waitLoggedAt = now
	l.options.Meter.Counter("rounds_waiting").Inc(1)
	l.log.Warn("map round waits", "group", l.machine.Group(), "phase", l.machine.Phase(), "holder", l.machine.Holder(), "ranks", l.machine.UnansweredRanks(), "ballot", l.machine.Ballot(), "took_ms", took.Milliseconds())
}

// logLongPause logs the beginning and the end of a long pause.
func (l *lead) logLongPause(now time.Time) {
	pause := l.pauseWatch.Observe(now, l.machine.RecentStates(now))
	long := pause != nil && now.Sub(pause.Since) >= longWait
	if long == l.pauseLogged {
		return
	}
	l.pauseLogged = long
	if !long {
		l.log.Info("group resumed", "group", l.machine.Group())
		return
	}
	l.options.Meter.Counter("group_pauses").Inc(1)
	l.log.Warn("group paused", "group", l.machine.Group(), "holder", pause.Holder, "step", pause.Step, "for_ms", now.Sub(pause.Since).Milliseconds(), "phase", l.machine.Phase(), "ranks", l.machine.UnansweredRanks())
}
