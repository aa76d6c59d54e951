package btexpert

import (
	"math/rand/v2"
	"time"
)

const (
	// EvaluationTime is the time charged for evaluating one change of a layer. It
	// is fixed so that a plan's computing cost doesn't depend on a clock.
	EvaluationTime = 500 * time.Nanosecond
	// ComputePrice is the price of a second of computing in seconds of transfer: a
	// host may spend 3.3% of a core on control, so a second of computing takes up
	// thirty seconds of that.
	ComputePrice = 30
	// restarts is how many perturbed descents are evaluated before the search
	// decides whether to go on.
	restarts = 8
	// perturbations is how many random changes precede a descent.
	perturbations = 2
)

// Anytime improves the incremental plan by iterated local search: it perturbs a
// layer, descends again, and keeps the layer with the larger net gain. It stops as
// soon as computing costs more than it gains.
//
// The rule is that of Bridi et al., "A CP Scheduler for High-Performance
// Computers", whose optimiser is bounded by its own overhead.
type Anytime struct {
	// Seed is the seed of the random choices.
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
		n := iteratedSearch{
			valuation:       v,
			search:          newLayerSearch(p.Map.Shape, layers[l], p.Demand.layer(l)),
			from:            p.Map.Layers[l],
			evaluationPrice: evaluationPrice(p.CostModel),
			random:          random,
		}
		layers[l] = n.run(layers[l])
		evaluations += n.search.evaluations
	}
	return newPlan(p, layers, evaluations)
}

// evaluationPrice returns the price of one evaluation.
func evaluationPrice(t CostModel) float64 {
	return t.MoveWeight * ComputePrice * EvaluationTime.Seconds()
}

// iteratedSearch is the iterated local search of one layer.
type iteratedSearch struct {
	valuation valuation
	search    *layerSearch
	// from is the layer map in force, from which transfers are counted.
	from            Layer
	evaluationPrice float64
	random          *rand.Rand
}

// run returns the layer map with the largest net gain. It stops after the first
// round of restarts that cost more than it gained.
func (n iteratedSearch) run(best Layer) Layer {
	y := n.search
	before := layerTime(y, n.from)
	bestGain := n.netGainOf(before, best)
	for {
		started := y.evaluations
		startGain := bestGain
		for range restarts {
			y.reset(best)
			n.perturb()
			found := n.descend()
			if gain := n.netGainOf(before, found); gain > bestGain {
				bestGain = gain
				best = found
			}
		}
		if bestGain-startGain <= n.evaluationPrice*float64(y.evaluations-started) {
			return best
		}
	}
}

// descend applies the best change until none helps, whatever the price of its
// transfers, and returns the final layer map.
func (n iteratedSearch) descend() Layer {
	y := n.search
	for range maxChanges(y.shape) {
		c, found := y.bestChange()
		if !found {
			break
		}
		y.apply(c)
	}
	return y.layer()
}

// perturb makes random changes that take work from one of the slowest ranks.
func (n iteratedSearch) perturb() {
	y := n.search
	for range perturbations {
		hot := y.hottest(hotRanks)
		var picked change
		seen := 0
		y.visitChanges(hot[n.random.IntN(len(hot))], func(c change) {
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

func (n iteratedSearch) netGainOf(before float64, layer Layer) float64 {
	return n.valuation.netGain(before, layerTime(n.search, layer), transfersBetween(n.from, layer))
}

// layerTime moves the search to a layer map and returns how long the layer takes.
func layerTime(y *layerSearch, layer Layer) float64 {
	y.reset(layer)
	return y.duration()
}
