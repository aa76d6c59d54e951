package btexpert

import (
	"cmp"
	"slices"
)

// Greedy computes the whole map from scratch, without regard to the one in force:
// it gives the spare slots to the hottest experts, then places the replicas in
// descending order of load, each on the rank that stays fastest with it. It is the
// baseline of full recomputation.
type Greedy struct{}

// Name returns "greedy".
func (Greedy) Name() string { return "greedy" }

// Plan computes each layer from scratch.
func (Greedy) Plan(p Problem) Plan {
	layers := make([]Layer, p.Map.Shape.Layers)
	for l := range layers {
		layers[l] = greedyLayer(p.Map.Shape, p.Demand.layer(l))
	}
	return newPlan(p, layers, 0)
}

// replicaCounts gives each expert one replica and each further slot to the expert
// with the largest load per replica.
func replicaCounts(s Shape, load []float64) []int {
	replicas := make([]int, s.Experts)
	for e := range replicas {
		replicas[e] = 1
	}
	for range s.Ranks*s.Slots - s.Experts {
		hottest := -1
		for e := range replicas {
			if replicas[e] == s.Ranks {
				continue
			}
			if hottest < 0 || load[e]/float64(replicas[e]) > load[hottest]/float64(replicas[hottest]) {
				hottest = e
			}
		}
		if hottest < 0 {
			break
		}
		replicas[hottest]++
	}
	return replicas
}

func greedyLayer(s Shape, d layerDemand) Layer {
	load := d.load
	replicas := replicaCounts(s, load)
	order := make([]Expert, s.Experts)
	for e := range order {
		order[e] = Expert(e)
	}
	slices.SortStableFunc(order, func(a, b Expert) int {
		return cmp.Compare(load[b]/float64(replicas[b]), load[a]/float64(replicas[a]))
	})
	layer := Layer{Ranks: make([][]Expert, s.Ranks)}
	work := make([]float64, s.Ranks)
	for r := range work {
		work[r] = d.base
	}
	for _, e := range order {
		share := load[e] / float64(replicas[e])
		for range replicas[e] {
			r := fastestRank(s, layer, work, d.speeds, e, share)
			if r < 0 {
				// Every rank with room holds the expert already; the slot stays free.
				break
			}
			layer.Ranks[r] = append(layer.Ranks[r], e)
			work[r] += share
		}
	}
	for _, experts := range layer.Ranks {
		slices.Sort(experts)
	}
	return layer
}

// fastestRank returns the rank that is fastest with the replica added, of those
// with a free slot that lack the expert, or -1 if there is none.
func fastestRank(s Shape, layer Layer, work []float64, speeds Speeds, e Expert, share float64) int {
	best := -1
	bestTime := 0.0
	for r, experts := range layer.Ranks {
		if len(experts) == s.Slots || slices.Contains(experts, e) {
			continue
		}
		t := (work[r] + share) / speeds[r]
		if best < 0 || t < bestTime {
			best = r
			bestTime = t
		}
	}
	return best
}
