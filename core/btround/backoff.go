package btround

import "time"

// handlePreempted ends the round after another lead used a higher ballot; that lead
// completes the round.
func (l *Lead) handlePreempted(now time.Time, higher Ballot) {
	l.endRound(now, false, "outranked")
	first := l.ballot == 0
	l.ballot = higher.Next(l.self, l.instance)
	if first {
		// This lead has just started, so the ballot is its predecessor's, from which
		// the agents have switched. No backoff is needed.
		return
	}
	l.backoffUntil = now.Add(l.nextBackoff() + time.Duration(l.self)*l.settings.BackoffPerRank)
}

const (
	// fenceGrowthBits is by how many bits the ballot is raised further with each refusal in a
	// row of an engine that doesn't report which ballot it has seen: the number of refusals
	// then grows with the logarithm of that ballot.
	fenceGrowthBits = 2
	// maxFenceBits bounds one raise.
	maxFenceBits = 24
)

// aboveFence returns a ballot by which the engine's unknown one may be passed.
func (l *Lead) aboveFence(known Ballot) Ballot {
	raise := uint64(1)<<min(fenceGrowthBits*l.fencedInRow, maxFenceBits) - 1
	l.fencedInRow++
	return known.plus(raise)
}

// nextBackoff returns how long the preempted lead starts no round. The time doubles with
// each call while the group hasn't begun another step.
func (l *Lead) nextBackoff() time.Duration {
	if step := l.lastStep(); step != l.preemptedAtStep {
		l.preemptions = 0
		l.preemptedAtStep = step
	}
	l.preemptions++
	return min(l.settings.Backoff<<min(l.preemptions-1, maxBackoffDoublings), l.settings.MaxBackoff)
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
		// The previous lead is gone or will be preempted.
		wait = l.settings.NewLeadTakeoverDelay
	}
	return now.Sub(l.foreignSince) >= wait && !now.Before(l.backoffUntil)
}
