package btexpert

import (
	"slices"
)

// FastLimits limit the changes of a FastRebalance plan.
type FastLimits struct {
	// MaxLayerTransfers is how many experts of one layer a plan may bring to a
	// rank.
	MaxLayerTransfers int
	// TransferCost is the cost of loading one expert: the share of the layer's mean
	// load by which it must relieve the most loaded rank.
	TransferCost float64
	// MaxChanges bounds the number of changes in one layer.
	MaxChanges int
	// Slowness is the factor on the load of each rank: 1 for usual speed, more for
	// a slow rank. Nil means 1 for all.
	Slowness []float64
	// MaxRankTransfers is how many experts a plan may bring to a rank over all
	// layers, so that no rank keeps the others waiting; zero means no limit.
	MaxRankTransfers int
}

// SingleReplica returns the map with one replica of each expert, assigned to the
// ranks round robin, and the other slots empty.
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

// FastPlan is the result of FastRebalance.
type FastPlan struct {
	Map Map
	// Transfers is how many experts must be loaded, over all ranks and layers.
	Transfers int
	// PeakBefore and PeakAfter are the times of the most loaded rank over the mean,
	// averaged over the layers with load.
	PeakBefore, PeakAfter float64
}

// FastRebalance improves a map by the few changes with the largest gain, in
// milliseconds of computing, to follow an abrupt change of load. Load must have a
// row for each layer and a column for each expert.
//
// In each layer it tries to give an expert of the most loaded rank another replica
// on one of the least loaded ranks, to move it there, or to swap it for one of
// theirs. It applies the change that gains most above the cost of its transfers,
// until none gains anything.
func FastRebalance(m Map, load Load, limits FastLimits) FastPlan {
	plan := FastPlan{Map: Map{Shape: m.Shape, Layers: slices.Clone(m.Layers)}}
	counted := 0
	rankTransfers := make([]int, m.Shape.Ranks)
	for _, y := range fastLayers(m, load, limits, rankTransfers) {
		l := y.index
		if y.mean <= 0 {
			continue
		}
		before := y.peakToMean()
		for range limits.MaxChanges {
			if !y.improve() {
				break
			}
		}
		plan.Map.Layers[l] = y.layer()
		for r, n := range y.layerTransfers {
			rankTransfers[r] += n
		}
		plan.Transfers += y.transfers
		plan.PeakBefore += before
		plan.PeakAfter += y.peakToMean()
		counted++
	}
	if counted > 0 {
		plan.PeakBefore /= float64(counted)
		plan.PeakAfter /= float64(counted)
	}
	return plan
}

// fastLayers returns a plan's layers in descending order of imbalance, so that the
// least even ones use up the ranks' transfers first.
func fastLayers(m Map, load Load, limits FastLimits, rankTransfers []int) []*fastLayer {
	layers := make([]*fastLayer, len(m.Layers))
	for l, layer := range m.Layers {
		layers[l] = newFastLayer(m.Shape, layer, load[l], limits)
		layers[l].index = l
		layers[l].rankTransfers = rankTransfers
	}
	slices.SortStableFunc(layers, func(a, b *fastLayer) int {
		switch pa, pb := a.peakToMean(), b.peakToMean(); {
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
	// fastNormPower is the power of the norm that stands for the slowest rank: high
	// enough for the slowest rank to dominate, low enough for a change that
	// relieves one of several equally slow ranks to show.
	fastNormPower = 12
	// fastDestRanks is how many of the least loaded ranks are tried as
	// destinations.
	fastDestRanks = 12
	// fastSourceRanks is how many of the most loaded ranks are tried as sources, as
	// the most loaded one may have no expert whose move helps.
	fastSourceRanks = 3
)
