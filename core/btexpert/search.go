package btexpert

import "slices"

// layerSearch is one layer under local search. It keeps each rank's time up to
// date while replicas come and go.
type layerSearch struct {
	shape   Shape
	demand  layerDemand
	holders [][]Rank
	held    [][]Expert
	// has tells by rank and expert what held lists.
	has   []bool
	times []float64
	// ideal is the time that the layer can't beat, the unit of the potential.
	ideal       float64
	scratch     []float64
	evaluations int
}

// newLayerSearch starts from a layer of a valid map.
func newLayerSearch(s Shape, layer Layer, d layerDemand) *layerSearch {
	y := &layerSearch{
		shape:   s,
		demand:  d,
		times:   make([]float64, s.Ranks),
		ideal:   d.least(s),
		scratch: make([]float64, s.Ranks),
	}
	y.reset(layer)
	return y
}

// reset goes to another layer map of the same load.
func (y *layerSearch) reset(layer Layer) {
	y.held = layer.clone().Ranks
	y.holders = make([][]Rank, y.shape.Experts)
	y.has = make([]bool, y.shape.Ranks*y.shape.Experts)
	for r, experts := range y.held {
		for _, e := range experts {
			y.holders[e] = append(y.holders[e], Rank(r))
			y.has[r*y.shape.Experts+int(e)] = true
		}
	}
	y.settle()
}

// settle computes the times anew, so that rounding doesn't add up.
func (y *layerSearch) settle() {
	for r := range y.times {
		y.times[r] = y.demand.base / y.demand.speeds[r]
	}
	for e, ranks := range y.holders {
		share := y.demand.load[e] / float64(len(ranks))
		for _, r := range ranks {
			y.times[r] += share / y.demand.speeds[r]
		}
	}
}

// layer returns the map that the search stands at.
func (y *layerSearch) layer() Layer {
	l := Layer{Ranks: y.held}.clone()
	for _, experts := range l.Ranks {
		slices.Sort(experts)
	}
	return l
}

// lasting returns the layer's time.
func (y *layerSearch) lasting() float64 { return y.demand.lasting(y.times) }

// potential falls when the slowest ranks become faster, also while others stay
// as slow: the sum of the ranks' times over the ideal, to the eighth power.
func (y *layerSearch) potential() float64 {
	total := 0.0
	for _, t := range y.times {
		v := t / y.ideal
		v *= v
		v *= v
		total += v * v
	}
	return total
}

// hottest returns the ranks by falling time, at most n of them.
func (y *layerSearch) hottest(n int) []Rank {
	ranks := make([]Rank, y.shape.Ranks)
	for r := range ranks {
		ranks[r] = Rank(r)
	}
	slices.SortStableFunc(ranks, func(a, b Rank) int {
		if y.times[a] > y.times[b] {
			return -1
		}
		if y.times[a] < y.times[b] {
			return 1
		}
		return 0
	})
	return ranks[:min(n, len(ranks))]
}

func (y *layerSearch) holds(r Rank, e Expert) bool { return y.has[int(r)*y.shape.Experts+int(e)] }

func (y *layerSearch) full(r Rank) bool { return len(y.held[r]) == y.shape.Slots }

// add puts a replica on a rank and splits the expert's load anew.
func (y *layerSearch) add(r Rank, e Expert) {
	y.share(e, -1)
	y.list(r, e)
	y.share(e, 1)
}

// drop takes a replica from a rank and splits the expert's load anew.
func (y *layerSearch) drop(r Rank, e Expert) {
	y.share(e, -1)
	y.unlist(r, e)
	y.share(e, 1)
}

// list notes a replica, without its share of the times.
func (y *layerSearch) list(r Rank, e Expert) {
	y.holders[e] = append(y.holders[e], r)
	y.held[r] = append(y.held[r], e)
	y.has[int(r)*y.shape.Experts+int(e)] = true
}

// unlist is the reverse of list.
func (y *layerSearch) unlist(r Rank, e Expert) {
	y.holders[e] = without(y.holders[e], r)
	y.held[r] = without(y.held[r], e)
	y.has[int(r)*y.shape.Experts+int(e)] = false
}

func (y *layerSearch) share(e Expert, sign float64) {
	ranks := y.holders[e]
	if len(ranks) == 0 {
		return
	}
	share := sign * y.demand.load[e] / float64(len(ranks))
	for _, r := range ranks {
		y.times[r] += share / y.demand.speeds[r]
	}
}

// without removes a value from a list in which order doesn't matter.
func without[T comparable](list []T, v T) []T {
	last := len(list) - 1
	for i := range list {
		if list[i] == v {
			list[i] = list[last]
			return list[:last]
		}
	}
	return list
}

// placement puts a replica on a rank, or takes it away.
type placement struct {
	rank   Rank
	expert Expert
	add    bool
}

// maxPlacements is how many steps a change has at most.
const maxPlacements = 4

// change is a small change of a layer, and how many experts must be loaded.
type change struct {
	steps [maxPlacements]placement
	count int
	loads int
}

func newChange(loads int, steps ...placement) change {
	c := change{count: len(steps), loads: loads}
	copy(c.steps[:], steps)
	return c
}

// apply makes the change for good.
func (y *layerSearch) apply(c change) {
	for _, p := range c.steps[:c.count] {
		y.place(p)
	}
	y.settle()
}

func (y *layerSearch) place(p placement) {
	if p.add {
		y.add(p.rank, p.expert)
		return
	}
	y.drop(p.rank, p.expert)
}

// unplace undoes a step but for the times.
func (y *layerSearch) unplace(p placement) {
	if p.add {
		y.unlist(p.rank, p.expert)
		return
	}
	y.list(p.rank, p.expert)
}

// try returns the potential after the change, and undoes it.
func (y *layerSearch) try(c change) float64 {
	y.evaluations++
	copy(y.scratch, y.times)
	for _, p := range c.steps[:c.count] {
		y.place(p)
	}
	v := y.potential()
	for i := c.count - 1; i >= 0; i-- {
		y.unplace(c.steps[i])
	}
	copy(y.times, y.scratch)
	return v
}
