package btexpert

// Incremental improves the map in force by few changes, those with the best
// gain a byte first, and stops in each layer where the next ones would cost
// more than they save. Where the number of replicas no longer fits the load, it
// also starts from maps with the counts repaired, and looks at Greedy's map. In
// each layer it takes what is worth most.
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
	return planOf(p, layers, evaluations)
}

// valuation is the worth of a step's time and the price of a load, both taken
// as linear over one plan.
type valuation struct {
	// saving is the gain of one token of step time saved.
	saving float64
	// load is the price of loading one expert.
	load float64
}

func newValuation(p Problem) valuation {
	step := StepTime(p.Map, p.Demand)
	if step == 0 {
		return valuation{}
	}
	t := p.CostModel
	// Each second of transfer also delays the gain of the rest by a second.
	delayed := 1 - Bound(p.Map.Shape, p.Demand)/step
	perSecond := t.MoveWeight + t.SkewWeight*delayed
	return valuation{
		saving: t.SkewWeight * t.Horizon.Seconds() / step,
		load:   perSecond * t.TransferSeconds(p.Map.Shape.ExpertBytes),
	}
}

// repairTolerances are the shares by which the hottest replica may exceed the
// least possible before its expert gets another one.
func repairTolerances() []float64 { return []float64{0, 0.1, 0.3} }

// improve returns the layer map worth most among those found from the layer and
// from its repairs.
func (v valuation) improve(y *layerSearch, from Layer) Layer {
	start := y.lasting()
	best, bestWorth := v.descend(y, start, 0)
	for _, tolerance := range repairTolerances() {
		y.reset(from)
		loads := y.repair(tolerance)
		if loads == 0 {
			continue
		}
		found, worth := v.descend(y, start, loads)
		if worth > bestWorth {
			best = found
			bestWorth = worth
		}
	}
	anew := greedyLayer(y.shape, y.demand)
	y.reset(anew)
	if v.worth(start, y.lasting(), loadsBetween(from, anew)) > bestWorth {
		return anew
	}
	return best
}

// loadsBetween returns how many experts must be loaded to go from one layer map
// to another.
func loadsBetween(from, to Layer) int {
	return len(Diff(Map{Layers: []Layer{from}}, Map{Layers: []Layer{to}}))
}

// maxChanges bounds the changes to one layer in one plan, by the slots.
func maxChanges(s Shape) int { return s.Ranks * s.Slots }

// descend makes the best change again and again, until none helps. Start is the
// layer's time in force, and loads how many experts the search has loaded since.
// It returns the layer map among those passed that is worth most, and its worth.
func (v valuation) descend(y *layerSearch, start float64, loads int) (Layer, float64) {
	best := y.layer()
	bestWorth := v.worth(start, y.lasting(), loads)
	for range maxChanges(y.shape) {
		if v.worth(start, y.ideal, loads) < bestWorth {
			// Not even a perfect split would pay for further loads.
			break
		}
		c, found := y.best()
		if !found {
			break
		}
		y.apply(c)
		loads += c.loads
		if worth := v.worth(start, y.lasting(), loads); worth > bestWorth {
			bestWorth = worth
			best = y.layer()
		}
	}
	return best, bestWorth
}

func (v valuation) worth(before, after float64, loads int) float64 {
	return v.saving*(before-after) - v.load*float64(loads)
}
