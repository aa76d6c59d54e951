package btgroup

import (
	"fmt"
	"math"
	"time"

	"bilberrytide/core/btexpert"
)

// tally gathers the ranks' windows at the lead until it has one of each.
type tally struct {
	shape   btexpert.Shape
	windows []*Window
}

func newTally(shape btexpert.Shape) *tally {
	return &tally{shape: shape, windows: make([]*Window, shape.Ranks)}
}

// measure is what one window of every rank adds up to.
type measure struct {
	counts btexpert.CountsReported
	times  btexpert.TimesReported
	// loads holds each rank's tokens over the mean rank's.
	loads []float64
	// skew is the step over the mean rank's own part, minus 1.
	skew float64
}

// add takes a rank's window, in place of one that it sent before. It reports
// counts of other layers or experts than the group's.
func (t *tally) add(rank int, w *Window) error {
	if len(w.Counts) != t.shape.Layers {
		return fmt.Errorf("rank %d: %d layers, want %d", rank, len(w.Counts), t.shape.Layers)
	}
	for l, layer := range w.Counts {
		for _, e := range layer.Experts {
			if int(e) >= t.shape.Experts {
				return fmt.Errorf("rank %d: layer %d: expert %d of %d", rank, l, e, t.shape.Experts)
			}
		}
	}
	t.windows[rank] = w
	return nil
}

// collect returns the sum once there is a window of every rank, and begins
// anew. The windows may cover different numbers of steps: all ranks step
// together, so that each rank's counts are brought to the mean number.
func (t *tally) collect() (measure, bool) {
	steps := 0.0
	for _, w := range t.windows {
		if w == nil {
			return measure{}, false
		}
		steps += float64(w.Steps) / float64(len(t.windows))
	}
	m := measure{loads: make([]float64, len(t.windows))}
	sums := make([][]float64, t.shape.Layers)
	for l := range sums {
		sums[l] = make([]float64, t.shape.Experts)
	}
	for r, w := range t.windows {
		m.loads[r] = w.addTo(sums, steps/float64(w.Steps))
		m.times.Ranks = append(m.times.Ranks, w.Own)
		m.times.Step = max(m.times.Step, w.Own, w.Group)
	}
	m.finish(sums)
	clear(t.windows)
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

func (m *measure) finish(sums [][]float64) {
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
