package btexpert

// Incremental improves the map in force by a few changes, those with the best gain
// per transfer first, and stops in each layer once further ones would cost more
// than they save. It also searches from maps whose numbers of replicas were
// repaired to fit the load, and evaluates Greedy's map. In each layer it keeps the
// map with the largest net gain.
type Incremental struct{}

// Name returns "incremental".
func (Incremental) Name() string { return "incremental" }

// Plan improves each layer.
func (Incremental) Plan(p Problem) Plan {
	v := newValuation(p)
	layers := make([]Layer, p.Map.Shape.Layers)
	evaluations := 0
	for l := range layers {
		layers[l] = p.Map.Layers[l]
		if sum(p.Demand.Load[l]) == 0 {
			continue
		}
		y := newLayerSearch(p.Map.Shape, layers[l], p.Demand.layer(l))
		layers[l] = v.improve(y, layers[l])
		evaluations += y.evaluations
	}
	return newPlan(p, layers, evaluations)
}

// valuation converts step time and transfers into gain and price, taken as linear
// over one plan.
type valuation struct {
	// gainPerUnit is the gain of one unit of step time saved.
	gainPerUnit float64
	// transferPrice is the price of loading one expert.
	transferPrice float64
}

func newValuation(p Problem) valuation {
	step := StepTime(p.Map, p.Demand)
	if step == 0 {
		return valuation{}
	}
	t := p.CostModel
	// Each second of transfer also delays the gain by a second; the bound limits
	// that gain.
	maxSaving := 1 - Bound(p.Map.Shape, p.Demand)/step
	perSecond := t.MoveWeight + t.SkewWeight*maxSaving
	return valuation{
		gainPerUnit:   t.SkewWeight * t.Horizon.Seconds() / step,
		transferPrice: perSecond * t.TransferSeconds(p.Map.Shape.ExpertBytes),
	}
}

// repairTolerances returns the shares by which the load of the hottest replica may
// exceed the least possible before its expert gets another replica.
func repairTolerances() []float64 { return []float64{0, 0.1, 0.3} }

// improve returns the layer map with the largest net gain of those found from the
// layer map, from its repaired versions and by greedyLayer.
func (v valuation) improve(y *layerSearch, from Layer) Layer {
	start := y.duration()
	best, bestGain := v.descend(y, start, 0)
	for _, tolerance := range repairTolerances() {
		y.reset(from)
		transfers := y.repair(tolerance)
		if transfers == 0 {
			continue
		}
		found, gain := v.descend(y, start, transfers)
		if gain > bestGain {
			best = found
			bestGain = gain
		}
	}
	recomputed := greedyLayer(y.shape, y.demand)
	y.reset(recomputed)
	if v.netGain(start, y.duration(), transfersBetween(from, recomputed)) > bestGain {
		return recomputed
	}
	return best
}

// transfersBetween returns how many experts must be loaded to go from one layer map
// to another.
func transfersBetween(from, to Layer) int {
	return len(Diff(Map{Layers: []Layer{from}}, Map{Layers: []Layer{to}}))
}

// maxChanges bounds the changes to one layer in one plan by the number of slots.
func maxChanges(s Shape) int { return s.Ranks * s.Slots }

// descend applies the best change until none helps. Start is the layer's time with
// the map in force, and transfers those that the search has already made. It
// returns the layer map with the largest net gain on the way, and that gain.
func (v valuation) descend(y *layerSearch, start float64, transfers int) (Layer, float64) {
	best := y.layer()
	bestGain := v.netGain(start, y.duration(), transfers)
	for range maxChanges(y.shape) {
		if v.netGain(start, y.lowerBound, transfers) < bestGain {
			// Not even a perfect split would pay for further transfers.
			break
		}
		c, found := y.bestChange()
		if !found {
			break
		}
		y.apply(c)
		transfers += c.transfers
		if gain := v.netGain(start, y.duration(), transfers); gain > bestGain {
			bestGain = gain
			best = y.layer()
		}
	}
	return best, bestGain
}

func (v valuation) netGain(before, after float64, transfers int) float64 {
	return v.gainPerUnit*(before-after) - v.transferPrice*float64(transfers)
}
