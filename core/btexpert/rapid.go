package btexpert

import (
	"math"
	"slices"
)

// RapidLimits bound what a Rapid plan may change.
type RapidLimits struct {
	// NewPerRank is how many experts of a layer one plan may bring to a rank.
	NewPerRank int
	// Gain is how much of a layer's mean load one loaded expert has to take off
	// the most loaded rank. It is the price of loading an expert.
	Gain float64
	// Rounds bounds the changes in one layer.
	Rounds int
}

// RapidPlan is a map that follows a sudden change of load.
type RapidPlan struct {
	Map Map
	// Loads is how many experts must be loaded, over all ranks and layers.
	Loads int
	// Before and After are the layers' most loaded ranks over the mean, averaged
	// over the layers.
	Before, After float64
}

// Rapid improves a map by a few changes that are worth most, in milliseconds of
// computing. Load must have a row for each layer and a column for each expert.
//
// In each layer it takes the most loaded rank and tries to give one of its
// experts another replica, to move it away, or to exchange it, at the ranks
// with least load; the change with the largest gain an expert loaded is kept.
func Rapid(m Map, load Load, limits RapidLimits) RapidPlan {
	plan := RapidPlan{Map: Map{Shape: m.Shape, Layers: make([]Layer, len(m.Layers))}}
	counted := 0
	for l, layer := range m.Layers {
		plan.Map.Layers[l] = layer
		if sum(load[l]) <= 0 {
			continue
		}
		y := newRapidLayer(m.Shape, layer, load[l], limits)
		before := y.peak()
		for range limits.Rounds {
			if !y.improve() {
				break
			}
		}
		plan.Map.Layers[l] = y.layer()
		plan.Loads += y.loads
		plan.Before += before
		plan.After += y.peak()
		counted++
	}
	if counted > 0 {
		plan.Before /= float64(counted)
		plan.After /= float64(counted)
	}
	return plan
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

// rapidLayer is one layer under improvement.
type rapidLayer struct {
	shape   Shape
	limits  RapidLimits
	load    []float64
	mean    float64
	held    [][]Expert
	holders [][]Rank
	times   []float64
	added   []int
	// origin tells by rank and expert what the map in force has.
	origin map[[2]int]bool
	loads  int
}

func newRapidLayer(s Shape, layer Layer, load []float64, limits RapidLimits) *rapidLayer {
	y := &rapidLayer{
		shape:   s,
		limits:  limits,
		load:    load,
		mean:    sum(load) / float64(s.Ranks),
		held:    layer.clone().Ranks,
		holders: make([][]Rank, s.Experts),
		times:   make([]float64, s.Ranks),
		added:   make([]int, s.Ranks),
		origin:  make(map[[2]int]bool, s.Ranks*s.Slots),
	}
	for r, experts := range y.held {
		for _, e := range experts {
			y.holders[e] = append(y.holders[e], Rank(r))
			y.origin[[2]int{r, int(e)}] = true
		}
	}
	for e, ranks := range y.holders {
		for _, r := range ranks {
			y.times[r] += load[e] / float64(len(ranks))
		}
	}
	return y
}

// peak returns the most loaded rank over the mean.
func (y *rapidLayer) peak() float64 { return slices.Max(y.times) / y.mean }

func (y *rapidLayer) layer() Layer {
	l := Layer{Ranks: y.held}.clone()
	for _, experts := range l.Ranks {
		slices.Sort(experts)
	}
	return l
}

// norm stands for the most loaded rank, over the mean.
func (y *rapidLayer) norm() float64 {
	total := 0.0
	for _, t := range y.times {
		total += math.Pow(t/y.mean, rapidPower)
	}
	return math.Pow(total, 1.0/rapidPower)
}

// improve makes the best change, and tells whether any is worth its price.
func (y *rapidLayer) improve() bool {
	order := y.byTime()
	before := y.norm()
	for _, source := range order[:min(rapidSources, len(order))] {
		best, gain := y.bestChange(source, order, before)
		if gain <= 0 {
			continue
		}
		y.make(best)
		return true
	}
	return false
}

// byTime returns the ranks by falling load.
func (y *rapidLayer) byTime() []Rank {
	ranks := make([]Rank, y.shape.Ranks)
	for r := range ranks {
		ranks[r] = Rank(r)
	}
	slices.SortStableFunc(ranks, func(a, b Rank) int {
		switch {
		case y.times[a] > y.times[b]:
			return -1
		case y.times[a] < y.times[b]:
			return 1
		}
		return 0
	})
	return ranks
}

// rapidChange gives target an expert, which leaves the source if moved; another
// expert leaves target for it, if any, and goes to source if exchanged.
type rapidChange struct {
	source, target Rank
	expert         Expert
	moved          bool
	out            Expert
	hasOut         bool
	exchanged      bool
}

// bestChange returns the change that is worth most above its price.
func (y *rapidLayer) bestChange(source Rank, order []Rank, before float64) (rapidChange, float64) {
	var best rapidChange
	gain := 0.0
	try := func(c rapidChange) {
		loads := y.price(c)
		if loads < 0 {
			return
		}
		y.make(c)
		worth := before - y.norm() - float64(loads)*y.limits.Gain
		y.undo(c)
		if worth > gain {
			best = c
			gain = worth
		}
	}
	first := max(len(order)-rapidTargets, 0)
	for _, e := range slices.Clone(y.held[source]) {
		for _, target := range order[first:] {
			if target == source || slices.Contains(y.held[target], e) {
				continue
			}
			y.options(source, target, e, try)
		}
	}
	return best, gain
}

// options tries the changes that bring an expert of source to target.
func (y *rapidLayer) options(source, target Rank, e Expert, try func(rapidChange)) {
	if len(y.held[target]) < y.shape.Slots {
		try(rapidChange{source: source, target: target, expert: e})
		try(rapidChange{source: source, target: target, expert: e, moved: true})
	}
	for _, out := range slices.Clone(y.held[target]) {
		if len(y.holders[out]) > 1 {
			try(rapidChange{source: source, target: target, expert: e, out: out, hasOut: true})
			try(rapidChange{source: source, target: target, expert: e, moved: true, out: out, hasOut: true})
		}
		if !slices.Contains(y.held[source], out) {
			try(rapidChange{source: source, target: target, expert: e, moved: true, out: out, hasOut: true, exchanged: true})
		}
	}
}

// price returns how many experts the change loads, or -1 where a rank would get
// more than it may.
func (y *rapidLayer) price(c rapidChange) int {
	loads := y.loadsAt(c.target, c.expert)
	if y.added[c.target]+loads > y.limits.NewPerRank {
		return -1
	}
	if c.exchanged {
		back := y.loadsAt(c.source, c.out)
		if y.added[c.source]+back > y.limits.NewPerRank {
			return -1
		}
		loads += back
	}
	return loads
}

// loadsAt tells whether a rank must load an expert: one that the map in force
// has there is still at hand.
func (y *rapidLayer) loadsAt(r Rank, e Expert) int {
	if y.origin[[2]int{int(r), int(e)}] {
		return 0
	}
	return 1
}

// make carries a change out.
func (y *rapidLayer) make(c rapidChange) {
	if c.hasOut {
		y.drop(c.target, c.out)
	}
	if c.moved {
		y.drop(c.source, c.expert)
	}
	y.add(c.target, c.expert)
	if c.exchanged {
		y.add(c.source, c.out)
	}
}

// undo takes a change back.
func (y *rapidLayer) undo(c rapidChange) {
	if c.exchanged {
		y.drop(c.source, c.out)
	}
	y.drop(c.target, c.expert)
	if c.moved {
		y.add(c.source, c.expert)
	}
	if c.hasOut {
		y.add(c.target, c.out)
	}
}

func (y *rapidLayer) add(r Rank, e Expert) {
	y.share(e, -1)
	y.holders[e] = append(y.holders[e], r)
	y.held[r] = append(y.held[r], e)
	y.share(e, 1)
	n := y.loadsAt(r, e)
	y.added[r] += n
	y.loads += n
}

func (y *rapidLayer) drop(r Rank, e Expert) {
	y.share(e, -1)
	y.holders[e] = without(y.holders[e], r)
	y.held[r] = without(y.held[r], e)
	y.share(e, 1)
	n := y.loadsAt(r, e)
	y.added[r] -= n
	y.loads -= n
}

// share adds an expert's load to its holders, or takes it off.
func (y *rapidLayer) share(e Expert, sign float64) {
	ranks := y.holders[e]
	for _, r := range ranks {
		y.times[r] += sign * y.load[e] / float64(len(ranks))
	}
}
