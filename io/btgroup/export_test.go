package btgroup

import (
	"time"

	"bilberrytide/io/bttarget"
)

// The unexported types that are tested on their own.
type (
	Liveness   = liveness
	Sampler    = sampler
	Aggregator = aggregator
)

var (
	NewLiveness   = newLiveness
	NewAggregator = newAggregator
)

func (l *liveness) Observe(now time.Time, rank int) { l.observe(now, rank) }
func (l *liveness) Lead(now time.Time) int          { return l.lead(now) }
func (l *liveness) NextProbe(now time.Time) int     { return l.nextProbe(now) }
func (l *liveness) Missing(now time.Time) []int     { return l.missing(now) }
func (s *sampler) Add(g bttarget.GroupState)        { s.add(g) }
func (s *sampler) TakeWindow() *Window              { return s.takeWindow() }
func (a *aggregator) Add(rank int, w *Window) error { return a.add(rank, w) }

// Collect returns the counts, the ranks' loads and the skew once every rank's window is
// there.
func (a *aggregator) Collect() (counts [][]int64, loads []float64, skew float64, complete bool) {
	m, complete := a.collect()
	return m.counts.Counts, m.loads, m.skew, complete
}
