package btgroup

import (
	"time"

	"bilberrytide/io/bttarget"
)

// The parts of a Group that have tests of their own.
type (
	View    = view
	Sampler = sampler
	Tally   = tally
)

var (
	NewView  = newView
	NewTally = newTally
)

func (v *view) Hear(now time.Time, rank int)   { v.hear(now, rank) }
func (v *view) Lead(now time.Time) int         { return v.lead(now) }
func (v *view) Lost(now time.Time) int         { return v.lost(now) }
func (v *view) Missing(now time.Time) []int    { return v.missing(now) }
func (s *sampler) Add(g bttarget.GroupState)   { s.add(g) }
func (s *sampler) Take() *Window               { return s.take() }
func (t *tally) Add(rank int, w *Window) error { return t.add(rank, w) }

// Collect returns the counts, the ranks' loads and the skew of whole windows.
func (t *tally) Collect() (counts [][]int64, loads []float64, skew float64, whole bool) {
	m, whole := t.collect()
	return m.counts.Counts, m.loads, m.skew, whole
}
