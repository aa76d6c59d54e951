package btround

import "time"

// RankRestarted is the reason of a round that ended because a rank's engine restarted.
const RankRestarted = "rank started anew"

// NoRecord is the reason of a round that ended because the holder's agent didn't store
// the record in time.
const NoRecord = "no record kept"

// Reasons of rounds that end because a rank refused a command the round depends on.
// Ranks that are still held or armed are taken over from their states after a backoff.
const (
	HoldRefused    = "hold refused"
	ReleaseRefused = "go refused"
	DisarmRefused  = "disarm refused"
	ReadRefused    = "look refused"
	// HeldByAnother means that the rank that was to hold the group holds it for another
	// round.
	HeldByAnother = "held by another round"
	// NotSecured means that ranks can't be armed and no confirmed hold prevents the
	// step.
	NotSecured = "step not secured"
)

// abortWithBackoff ends the round and starts no other for Settings.Backoff.
func (l *Lead) abortWithBackoff(now time.Time, reason string) {
	l.endRound(now, false, reason)
	l.backoffUntil = now.Add(l.settings.Backoff)
}
