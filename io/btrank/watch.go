package btrank

import (
	"time"

	"bilberrytide/core/btround"
)

// longWait is how long a round or a pause may take before it is logged: rounds take a
// few hundred milliseconds, pauses tens of them.
const longWait = time.Second

// watch logs a round that has not ended after a second, and a group that is paused for
// as long. The lock is held.
func (l *lead) watch(now time.Time) {
	l.watchRound(now)
	l.watchPause(now)
}

// watchRound says once a second which ranks a long round waits for.
func (l *lead) watchRound(now time.Time) {
	took := now.Sub(l.machine.StartedAt())
	if l.machine.Phase() == btround.Idle || took < longWait || now.Sub(l.waitLogged) < longWait {
		return
	}
	l.waitLogged = now
	l.options.Meter.Counter("rounds_waiting").Inc(1)
	l.log.Warn("map round waits", "group", l.machine.Group(), "phase", l.machine.Phase(), "holder", l.machine.Holder(), "ranks", l.machine.UnansweredRanks(), "ballot", l.machine.Ballot(), "took_ms", took.Milliseconds())
}

// watchPause logs the beginning and the end of a long pause.
func (l *lead) watchPause(now time.Time) {
	pause := l.pause.Observe(now, l.machine.RecentStates(now))
	long := pause != nil && now.Sub(pause.Since) >= longWait
	if long == l.paused {
		return
	}
	l.paused = long
	if !long {
		l.log.Info("group resumed", "group", l.machine.Group())
		return
	}
	l.options.Meter.Counter("group_pauses").Inc(1)
	l.log.Warn("group paused", "group", l.machine.Group(), "holder", pause.Holder, "step", pause.Step, "for_ms", now.Sub(pause.Since).Milliseconds(), "phase", l.machine.Phase(), "ranks", l.machine.UnansweredRanks())
}
