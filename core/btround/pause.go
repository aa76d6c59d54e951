package btround

import (
	"time"

	"bilberrytide/core/btexpert"
)

// Pause describes a group that a rank is holding before its next step.
type Pause struct {
	// Holder is the rank that holds the group before Step.
	Holder btexpert.Rank
	Step   int64
	// Since is when the pause was first observed.
	Since time.Time
}

// PauseWatch tracks how long a group has been paused, by the states of its ranks. It is
// not safe for concurrent use.
type PauseWatch struct {
	current *Pause
}

// Observe processes the current states and returns the pause that they show, or nil if
// the group can continue. A hold of a step later than the next one isn't a pause yet.
func (w *PauseWatch) Observe(now time.Time, states []State) *Pause {
	var last int64
	for _, s := range states {
		last = max(last, s.Step)
	}
	for _, s := range states {
		if !s.Held || s.HeldStep != last+1 {
			continue
		}
		if w.current == nil || w.current.Step != s.HeldStep {
			w.current = &Pause{Holder: s.Rank, Step: s.HeldStep, Since: now}
		}
		w.current.Holder = s.Rank
		return w.current
	}
	w.current = nil
	return nil
}
