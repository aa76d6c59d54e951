package btround

import "time"

// RankRestarted is the reason of a round that ended as a rank's engine started anew.
const RankRestarted = "rank started anew"

// NoRecord is the reason of a round that ended as the holder's agent did not
// answer.
const NoRecord = "no record kept"

// Reasons of rounds that end as a rank refuses what the round rests on. What is held or
// armed by then is taken over from the ranks' states after a pause.
const (
	HoldRefused    = "hold refused"
	ReleaseRefused = "go refused"
	DisarmRefused  = "disarm refused"
	ReadRefused    = "look refused"
	// HeldByAnother: the rank that is to hold the group holds it for another round.
	HeldByAnother = "held by another round"
	// NotSecured: ranks can't be armed, and nothing keeps the group from the step.
	NotSecured = "step not secured"
)

// abortWithBackoff ends the round and leaves the group alone for a while.
func (l *Lead) abortWithBackoff(now time.Time, reason string) {
	l.endRound(now, false, reason)
	l.backoffUntil = now.Add(l.settings.Backoff)
}
