package btgroup

import (
	"fmt"
	"math"
	"time"

	"bilberrytide/core/btexpert"
)

// aggregator collects the ranks' windows at the lead until there is one of each rank.
type aggregator struct {
	shape   btexpert.Shape
	windows []*Window
}

func newAggregator(shape btexpert.Shape) *aggregator {
	return &aggregator{shape: shape, windows: make([]*Window, shape.Ranks)}
}

// aggregate is the sum of one window of every rank.
type aggregate struct {
	counts btexpert.CountsReported
	times  btexpert.TimesReported
	// loads holds each rank's tokens divided by the mean rank's.
	loads []float64
	// skew is the step time divided by the mean rank's own part, minus 1.
	skew float64
}

// add stores a rank's window in place of its previous one. It returns an error for a
// window with other layers or experts than the group's.
func (a *aggregator) add(rank int, w *Window) error {
	if len(w.Counts) != a.shape.Layers {
		return fmt.Errorf("rank %d: %d layers, want %d", rank, len(w.Counts), a.shape.Layers)
	}
	for l, layer := range w.Counts {
		for _, e := range layer.Experts {
			if int(e) >= a.shape.Experts {
				return fmt.Errorf("rank %d: layer %d: expert %d of %d", rank, l, e, a.shape.Experts)
			}
		}
	}
	a.windows[rank] = w
	return nil
}

// collect returns the sum once there is a window of every rank, and clears the windows.
// They may cover different numbers of steps. As all ranks step together, each rank's
// counts are scaled to the mean number of steps.
func (a *aggregator) collect() (aggregate, bool) {
	steps := 0.0
	for _, w := range a.windows {
		if w == nil {
			return aggregate{}, false
		}
		steps += float64(w.Steps) / float64(len(a.windows))
	}
	m := aggregate{loads: make([]float64, len(a.windows))}
	sums := make([][]float64, a.shape.Layers)
	for l := range sums {
		sums[l] = make([]float64, a.shape.Experts)
	}
	for r, w := range a.windows {
		m.loads[r] = w.addTo(sums, steps/float64(w.Steps))
		m.times.Ranks = append(m.times.Ranks, w.Own)
		m.times.Step = max(m.times.Step, w.Own, w.Group)
	}
	m.normalise(sums)
	clear(a.windows)
	return m, true
}

// addTo adds the scaled counts to the sums and returns their total.
func (w *Window) addTo(sums [][]float64, scale float64) float64 {
	total := 0.0
	for l, layer := range w.Counts {
		for i, e := range layer.Experts {
			tokens := float64(layer.Tokens[i]) * scale
			sums[l][e] += tokens
			total += tokens
		}
	}
	return total
}

func (m *aggregate) normalise(sums [][]float64) {
	m.counts.Counts = make(btexpert.Counts, len(sums))
	for l, experts := range sums {
		m.counts.Counts[l] = make([]int64, len(experts))
		for e, tokens := range experts {
			m.counts.Counts[l][e] = int64(min(math.Round(tokens), float64(btexpert.MaxCount)))
		}
	}
	total, own := 0.0, time.Duration(0)
	for r, load := range m.loads {
		total += load
		own += m.times.Ranks[r]
	}
	ranks := float64(len(m.loads))
	for r := range m.loads {
		if total > 0 {
			m.loads[r] *= ranks / total
		}
	}
	if own > 0 {
		m.skew = max(0, float64(m.times.Step)*ranks/float64(own)-1)
	}
}
