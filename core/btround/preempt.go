package btround

import "time"

// outranked ends the round of a lead that another has overtaken: whoever has
// the higher ballot brings it to its end.
func (l *Lead) outranked(now time.Time, heard Ballot) {
	l.end(now, false, "outranked")
	first := l.ballot == 0
	l.ballot = heard.Next(l.self, l.life)
	if first {
		// It has only begun to lead: the ballot is that of the lead before it, which
		// the agents no longer follow.
		return
	}
	l.quiet = now.Add(l.backOff() + time.Duration(l.self)*l.settings.YieldPerRank)
}

// backOff returns for how long a lead that was preempted leaves the group alone: twice as
// long each time in which the group has taken no step.
func (l *Lead) backOff() time.Duration {
	if step := l.lastStep(); step != l.preemptedAt {
		l.preempted = 0
		l.preemptedAt = step
	}
	l.preempted++
	return min(l.settings.Yield<<min(l.preempted-1, maxDoublings), l.settings.MaxYield)
}

// Defer tells the lead whether its agent reports to another one. It begins no round then,
// and takes one over only once nobody else has for a while.
func (l *Lead) Defer(deferred bool) { l.deferred = deferred }

// foreignDue tells whether another lead's round is to be taken over now.
func (l *Lead) foreignDue(now time.Time) bool {
	if !l.foreign() {
		l.foreignSince = time.Time{}
		return false
	}
	if l.foreignSince.IsZero() {
		l.foreignSince = now
	}
	wait := l.settings.Grace
	switch {
	case l.deferred:
		wait = l.settings.Deferred
	case l.foreignSince.Sub(l.reportsSince) <= l.settings.Fresh:
		// The lead before this one is gone, or will see that it is outranked.
		wait = l.settings.FirstGrace
	}
	return now.Sub(l.foreignSince) >= wait && !now.Before(l.quiet)
}
