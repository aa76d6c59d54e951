package btround

import (
	"time"

	"bilberrytide/core/btexpert"
)

// differentStart tells whether two states of a rank are of different starts of its
// engine.
func (s State) differentStart(old State) bool {
	return s.Start != 0 && old.Start != 0 && s.Start != old.Start
}

// endEpoch ends what is believed of an epoch in which a rank's engine has started
// anew: the new one holds nothing of what the one before had prepared, armed or held.
// Nothing is begun or gone on with before the group has formed anew, in another epoch.
// That is also right where the news come in the wrong order, as starts aren't compared.
func (l *Lead) endEpoch(now time.Time) {
	l.endRound(now, false, RankRestarted)
	l.epochEnded = true
}

// notOlderThan tells whether a state of one epoch is at least as new as another.
func (s State) notOlderThan(old State) bool {
	if s.Reader == old.Reader {
		return s.ReadCount >= old.ReadCount
	}
	// Another reader's numbers tell nothing; steps count up whoever reads them.
	return s.Step >= old.Step
}

// resetForEpoch begins anew with a group that has formed anew: nothing is prepared,
// armed or held there.
func (l *Lead) resetForEpoch(now time.Time, s State) {
	l.endRound(now, false, "group formed anew")
	l.epoch = s.Epoch
	l.epochEnded = false
	l.size = s.Size
	l.step = 0
	l.members = make(map[btexpert.Rank]*member)
}
