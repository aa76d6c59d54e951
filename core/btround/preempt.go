package btround

import "time"

// handleOutranked ends the round of a lead that another has overtaken: whoever has
// the higher ballot brings it to its end.
func (l *Lead) handleOutranked(now time.Time, heard Ballot) {
	l.endRound(now, false, "outranked")
	first := l.ballot == 0
	l.ballot = heard.Next(l.self, l.instance)
	if first {
		// It has only begun to lead: the ballot is that of the lead before it, which
		// the agents no longer follow.
		return
	}
	l.backoffUntil = now.Add(l.nextBackoff() + time.Duration(l.self)*l.settings.BackoffPerRank)
}

// nextBackoff returns for how long a lead that was preempted leaves the group alone: twice as
// long each time in which the group has taken no step.
func (l *Lead) nextBackoff() time.Duration {
	if step := l.lastStep(); step != l.outrankedAtStep {
		l.outrankedCount = 0
		l.outrankedAtStep = step
	}
	l.outrankedCount++
	return min(l.settings.Backoff<<min(l.outrankedCount-1, maxBackoffDoublings), l.settings.MaxBackoff)
}

// SetDeferred tells the lead whether its agent reports to another one. It begins no round then,
// and takes one over only once nobody else has for a while.
func (l *Lead) SetDeferred(deferred bool) { l.deferred = deferred }

// takeoverDue tells whether another lead's round is to be taken over now.
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
		// The lead before this one is gone, or will see that it is outranked.
		wait = l.settings.NewLeadTakeoverDelay
	}
	return now.Sub(l.foreignSince) >= wait && !now.Before(l.backoffUntil)
}
