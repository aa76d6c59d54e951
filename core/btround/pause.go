package btround

import (
	"time"

	"bilberrytide/core/btexpert"
)

// Pause is a group that a rank keeps from its next step.
type Pause struct {
	// Holder is the rank that holds the group, Step the step that it holds.
	Holder btexpert.Rank
	Step   int64
	// Since is when the group was first seen so.
	Since time.Time
}

// PauseWatch tells for how long a group has been paused, by its ranks' states. It is not
// safe for concurrent use.
type PauseWatch struct {
	current *Pause
}

// Observe takes the states of now in, and returns the pause that they show; nil where
// the group can go on. A hold of a later step pauses nobody yet.
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
