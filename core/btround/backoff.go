package btround

import "time"

// handleOutranked ends the round after another lead used a higher ballot; that lead
// brings the round to its end.
func (l *Lead) handleOutranked(now time.Time, higher Ballot) {
	l.endRound(now, false, "outranked")
	first := l.ballot == 0
	l.ballot = higher.Next(l.self, l.instance)
	if first {
		// This lead has only just begun to lead, so the ballot is its predecessor's,
		// which the agents no longer follow. No backoff is needed.
		return
	}
	l.backoffUntil = now.Add(l.nextBackoff() + time.Duration(l.self)*l.settings.BackoffPerRank)
}

// nextBackoff returns how long the outranked lead leaves the group alone. The time
// doubles with each call while the group hasn't begun another step.
func (l *Lead) nextBackoff() time.Duration {
	if step := l.lastStep(); step != l.outrankedAtStep {
		l.outrankedCount = 0
		l.outrankedAtStep = step
	}
	l.outrankedCount++
	return min(l.settings.Backoff<<min(l.outrankedCount-1, maxBackoffDoublings), l.settings.MaxBackoff)
}

// SetDeferred sets whether the lead's agent reports to another lead. A deferred lead
// begins no round, and takes one over only if nobody else has done so for
// Settings.DeferredTakeoverDelay.
func (l *Lead) SetDeferred(deferred bool) { l.deferred = deferred }

// takeoverDue reports whether another lead's round is to be taken over now.
func (l *Lead) takeoverDue(now time.Time) bool {
	if !l.hasForeignRound() {
		l.foreignSince = time.Time{}
		return false
	}
	if l.foreignSince.IsZero() {
		l.foreignSince = now
	}
	wait := l.settings.TakeoverDelay
	switch {
	case l.deferred:
		wait = l.settings.DeferredTakeoverDelay
	case l.foreignSince.Sub(l.reportsSince) <= l.settings.MaxStateAge:
		// The previous lead is gone or will learn that it is outranked.
		wait = l.settings.NewLeadTakeoverDelay
	}
	return now.Sub(l.foreignSince) >= wait && !now.Before(l.backoffUntil)
}
