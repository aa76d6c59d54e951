package btround

import (
	"time"

	"bilberrytide/core/btexpert"
)

// startedAnew tells whether two states of a rank are of different starts of its
// engine.
func (s State) startedAnew(old State) bool {
	return s.Start != 0 && old.Start != 0 && s.Start != old.Start
}

// restarted ends what is believed of an epoch in which a rank's engine has started
// anew: the new one holds nothing of what the one before had prepared, armed or held.
// Nothing is begun or gone on with before the group has formed anew, in another epoch.
// That is also right where the news come in the wrong order, as starts aren't compared.
func (l *Lead) restarted(now time.Time) {
	l.end(now, false, RankRestarted)
	l.over = true
}

// newer tells whether a state of one epoch is at least as new as another.
func (s State) newer(old State) bool {
	if s.Reader == old.Reader {
		return s.Reading >= old.Reading
	}
	// Another reader's numbers tell nothing; steps count up whoever reads them.
	return s.Step >= old.Step
}

// restart begins anew with a group that has formed anew: nothing is prepared,
// armed or held there.
func (l *Lead) restart(now time.Time, s State) {
	l.end(now, false, "group formed anew")
	l.epoch = s.Epoch
	l.over = false
	l.size = s.Size
	l.step = 0
	l.members = make(map[btexpert.Rank]*member)
}
