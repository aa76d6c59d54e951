package btexpert

import (
	"slices"
)

// FastLimits bound what a Rapid plan may change.
type FastLimits struct {
	// MaxLayerTransfers is how many experts of a layer one plan may bring to a rank.
	MaxLayerTransfers int
	// TransferCost is how much of a layer's mean load one loaded expert has to take off
	// the most loaded rank. It is the price of loading an expert.
	TransferCost float64
	// MaxChanges bounds the changes in one layer.
	MaxChanges int
	// Slowness is how slow each rank is; 1 is as usual. A slow rank's load counts so
	// many times. Nil means that all are as usual.
	Slowness []float64
	// MaxRankTransfers is how many experts one plan may bring to a rank over all
	// layers, so that no rank keeps the others waiting; zero means any number.
	MaxRankTransfers int
}

// SingleReplica returns the map that deals each layer's experts to the ranks in turn,
// once, and leaves the other slots empty.
func SingleReplica(s Shape) Map {
	m := Map{Shape: s, Layers: make([]Layer, s.Layers)}
	for l := range m.Layers {
		m.Layers[l].Ranks = make([][]Expert, s.Ranks)
		for e := range s.Experts {
			r := e % s.Ranks
			m.Layers[l].Ranks[r] = append(m.Layers[l].Ranks[r], Expert(e))
		}
	}
	return m
}

// FastPlan is a map that follows a sudden change of load.
type FastPlan struct {
	Map Map
	// Transfers is how many experts must be loaded, over all ranks and layers.
	Transfers int
	// PeakBefore and PeakAfter are the layers' most loaded ranks over the mean, averaged
	// over the layers.
	PeakBefore, PeakAfter float64
}

// FastRebalance improves a map by a few changes that are worth most, in milliseconds of
// computing. Load must have a row for each layer and a column for each expert.
//
// In each layer it takes the most loaded rank and tries to give one of its
// experts another replica, to move it away, or to exchange it, at the ranks
// with least load; the change with the largest gain an expert loaded is kept.
func FastRebalance(m Map, load Load, limits FastLimits) FastPlan {
	plan := FastPlan{Map: Map{Shape: m.Shape, Layers: slices.Clone(m.Layers)}}
	counted := 0
	ranks := make([]int, m.Shape.Ranks)
	for _, y := range rapidLayers(m, load, limits, ranks) {
		l := y.number
		if y.mean <= 0 {
			continue
		}
		before := y.peak()
		for range limits.MaxChanges {
			if !y.improve() {
				break
			}
		}
		plan.Map.Layers[l] = y.layer()
		for r, n := range y.added {
			ranks[r] += n
		}
		plan.Transfers += y.loads
		plan.PeakBefore += before
		plan.PeakAfter += y.peak()
		counted++
	}
	if counted > 0 {
		plan.PeakBefore /= float64(counted)
		plan.PeakAfter /= float64(counted)
	}
	return plan
}

// rapidLayers returns a plan's layers, the least even ones first, as they have
// the first claim on what the ranks may load.
func rapidLayers(m Map, load Load, limits FastLimits, ranks []int) []*rapidLayer {
	layers := make([]*rapidLayer, len(m.Layers))
	for l, layer := range m.Layers {
		layers[l] = newRapidLayer(m.Shape, layer, load[l], limits)
		layers[l].number = l
		layers[l].ranks = ranks
	}
	slices.SortStableFunc(layers, func(a, b *rapidLayer) int {
		switch pa, pb := a.peak(), b.peak(); {
		case pa > pb:
			return -1
		case pa < pb:
			return 1
		}
		return 0
	})
	return layers
}

const (
	// rapidPower is the power of the norm that stands for the slowest rank: high
	// enough to count the slowest most, low enough that a change which relieves
	// one of several equally slow ranks shows.
	rapidPower = 12
	// rapidTargets is how many of the least loaded ranks are tried as places.
	rapidTargets = 12
	// rapidSources is how many of the most loaded ranks are relieved by turns,
	// as the most loaded one may have nothing that helps elsewhere.
	rapidSources = 3
)
