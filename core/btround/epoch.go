package btround

import (
	"time"

	"bilberrytide/core/btexpert"
)

// differentStart reports whether two states of a rank come from different starts of its
// engine. An unknown (zero) start matches any other.
func (s State) differentStart(old State) bool {
	return s.Start != 0 && old.Start != 0 && s.Start != old.Start
}

// endEpoch ends the round after a rank's engine has restarted within the epoch. The
// restarted engine has lost what was prepared, armed or held, so no round starts or
// continues until the group forms again in another epoch. Starts are only compared for
// equality, so this also holds when reports arrive out of order.
func (l *Lead) endEpoch(now time.Time) {
	l.endRound(now, false, RankRestarted)
	l.epochEnded = true
}

// notOlderThan reports whether s is at least as recent as another state of the same
// epoch.
func (s State) notOlderThan(old State) bool {
	if s.Reader == old.Reader {
		return s.ReadCount >= old.ReadCount
	}
	// Read counts of different readers can't be compared, but the step only increases,
	// whoever reads it.
	return s.Step >= old.Step
}

// resetForEpoch discards all state of the previous epoch. In a group that has formed
// again nothing is prepared, armed or held.
func (l *Lead) resetForEpoch(now time.Time, s State) {
	l.endRound(now, false, "group formed anew")
	l.epoch = s.Epoch
	l.epochEnded = false
	l.size = s.Size
	l.step = 0
	l.members = make(map[btexpert.Rank]*member)
}
