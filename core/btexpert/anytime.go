package btexpert

import (
	"math/rand/v2"
	"time"
)

const (
	// EvaluationTime is the time that one tried change of a layer is charged
	// with, so that a plan's computing cost doesn't depend on a clock.
	EvaluationTime = 500 * time.Nanosecond
	// ComputePrice is the price of a second of computing in seconds of transfer:
	// a node may spend 3.3% of a core on control, so a second of computing takes
	// thirty seconds of that.
	ComputePrice = 30
	// restarts is how many disturbed descents are judged together.
	restarts = 8
	// disturbances is how many random swaps precede a descent.
	disturbances = 2
)

// Anytime goes on from the incremental plan by iterated local search: it
// disturbs a layer, descends again, and keeps what is worth more. It gives way
// to the incremental plan as soon as computing costs more than it gains.
//
// The rule is that of Bridi et al., "A CP Scheduler for High-Performance
// Computers", whose optimiser is bounded by its own overhead.
type Anytime struct {
	// Seed makes the random choices repeatable.
	Seed uint64
}

// Name returns "anytime".
func (Anytime) Name() string { return "anytime" }

// Plan improves the incremental plan while that pays.
func (a Anytime) Plan(p Problem) Plan {
	start := Incremental{}.Plan(p)
	v := newValuation(p)
	random := rand.New(rand.NewPCG(a.Seed, uint64(p.Map.Shape.Layers)))
	layers := make([]Layer, len(start.Map.Layers))
	copy(layers, start.Map.Layers)
	evaluations := start.Evaluations
	for l := range layers {
		if sum(p.Demand.Load[l]) == 0 {
			continue
		}
		n := layerClimb{
			valuation: v,
			search:    newLayerSearch(p.Map.Shape, layers[l], p.Demand.layer(l)),
			from:      p.Map.Layers[l],
			price:     computePrice(p.CostModel),
			random:    random,
		}
		layers[l] = n.run(layers[l])
		evaluations += n.search.evaluations
	}
	return planOf(p, layers, evaluations)
}

// computePrice returns the price of one evaluation.
func computePrice(t CostModel) float64 {
	return t.MoveWeight * ComputePrice * EvaluationTime.Seconds()
}

// layerClimb is the iterated local search of one layer.
type layerClimb struct {
	valuation valuation
	search    *layerSearch
	// from is the layer map in force, against which loads are counted.
	from   Layer
	price  float64
	random *rand.Rand
}

// run returns the layer map worth most. It stops after the first round of
// restarts that cost more than it gained.
func (n layerClimb) run(best Layer) Layer {
	y := n.search
	before := layerTime(y, n.from)
	bestWorth := n.worthOf(before, best)
	for {
		started := y.evaluations
		startWorth := bestWorth
		for range restarts {
			y.reset(best)
			n.disturb()
			found := n.climb()
			if worth := n.worthOf(before, found); worth > bestWorth {
				bestWorth = worth
				best = found
			}
		}
		if bestWorth-startWorth <= n.price*float64(y.evaluations-started) {
			return best
		}
	}
}

// climb descends without regard to the price and returns where it ends.
func (n layerClimb) climb() Layer {
	y := n.search
	for range maxChanges(y.shape) {
		c, found := y.best()
		if !found {
			break
		}
		y.apply(c)
	}
	return y.layer()
}

// disturb makes random changes that take work from one of the slowest ranks.
func (n layerClimb) disturb() {
	y := n.search
	for range disturbances {
		hot := y.hottest(hotRanks)
		var picked change
		seen := 0
		y.changes(hot[n.random.IntN(len(hot))], func(c change) {
			seen++
			if n.random.IntN(seen) == 0 {
				picked = c
			}
		})
		if seen > 0 {
			y.apply(picked)
		}
	}
}

func (n layerClimb) worthOf(before float64, layer Layer) float64 {
	return n.valuation.worth(before, layerTime(n.search, layer), loadsBetween(n.from, layer))
}

func layerTime(y *layerSearch, layer Layer) float64 {
	y.reset(layer)
	return y.lasting()
}
