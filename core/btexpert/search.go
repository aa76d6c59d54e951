package btexpert

import "slices"

// layerSearch is one layer in a local search. It keeps each rank's time up to date
// as replicas are added and removed.
type layerSearch struct {
	shape   Shape
	demand  layerDemand
	holders [][]Rank
	held    [][]Expert
	// has is indexed by rank and expert, and true for the experts in held.
	has   []bool
	times []float64
	// lowerBound is a time that the layer can't beat, the unit of the potential.
	lowerBound  float64
	savedTimes  []float64
	evaluations int
}

// newLayerSearch returns a search that starts from a layer of a valid map.
func newLayerSearch(s Shape, layer Layer, d layerDemand) *layerSearch {
	y := &layerSearch{
		shape:      s,
		demand:     d,
		times:      make([]float64, s.Ranks),
		lowerBound: d.lowerBound(s),
		savedTimes: make([]float64, s.Ranks),
	}
	y.reset(layer)
	return y
}

// reset continues from another layer map of the same load.
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
	y.recompute()
}

// recompute computes the times from scratch, so that rounding errors don't
// accumulate.
func (y *layerSearch) recompute() {
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

// layer returns the current layer map.
func (y *layerSearch) layer() Layer {
	l := Layer{Ranks: y.held}.clone()
	for _, experts := range l.Ranks {
		slices.Sort(experts)
	}
	return l
}

// duration returns how long the layer takes.
func (y *layerSearch) duration() float64 { return y.demand.duration(y.times) }

// potential returns the sum of the ranks' times over the lower bound, each to the
// eighth power. Unlike the maximum it also falls if only some of several equally
// slow ranks become faster.
func (y *layerSearch) potential() float64 {
	total := 0.0
	for _, t := range y.times {
		v := t / y.lowerBound
		v *= v
		v *= v
		total += v * v
	}
	return total
}

// hottest returns at most n ranks, the slowest first.
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

// add places a replica on a rank and splits the expert's load between all replicas.
func (y *layerSearch) add(r Rank, e Expert) {
	y.addShares(e, -1)
	y.recordReplica(r, e)
	y.addShares(e, 1)
}

// drop removes a replica from a rank and splits the expert's load between the others.
func (y *layerSearch) drop(r Rank, e Expert) {
	y.addShares(e, -1)
	y.eraseReplica(r, e)
	y.addShares(e, 1)
}

// recordReplica adds a replica to the lists without updating the times.
func (y *layerSearch) recordReplica(r Rank, e Expert) {
	y.holders[e] = append(y.holders[e], r)
	y.held[r] = append(y.held[r], e)
	y.has[int(r)*y.shape.Experts+int(e)] = true
}

// eraseReplica is the reverse of recordReplica.
func (y *layerSearch) eraseReplica(r Rank, e Expert) {
	y.holders[e] = removeUnordered(y.holders[e], r)
	y.held[r] = removeUnordered(y.held[r], e)
	y.has[int(r)*y.shape.Experts+int(e)] = false
}

// addShares adds an expert's load to its holders' times, or subtracts it if sign is
// -1.
func (y *layerSearch) addShares(e Expert, sign float64) {
	ranks := y.holders[e]
	if len(ranks) == 0 {
		return
	}
	share := sign * y.demand.load[e] / float64(len(ranks))
	for _, r := range ranks {
		y.times[r] += share / y.demand.speeds[r]
	}
}

// removeUnordered removes the first occurrence of a value from a list, without
// keeping the order.
func removeUnordered[T comparable](list []T, v T) []T {
	last := len(list) - 1
	for i := range list {
		if list[i] == v {
			list[i] = list[last]
			return list[:last]
		}
	}
	return list
}

// replicaEdit adds a replica to a rank or removes it.
type replicaEdit struct {
	rank   Rank
	expert Expert
	add    bool
}

// maxEdits is the largest number of edits in a change.
const maxEdits = 4

// change is a step of the local search: a few edits of a layer, and the transfers
// that they need.
type change struct {
	edits     [maxEdits]replicaEdit
	count     int
	transfers int
}

func newChange(transfers int, edits ...replicaEdit) change {
	c := change{count: len(edits), transfers: transfers}
	copy(c.edits[:], edits)
	return c
}

// apply makes a change.
func (y *layerSearch) apply(c change) {
	for _, p := range c.edits[:c.count] {
		y.applyEdit(p)
	}
	y.recompute()
}

func (y *layerSearch) applyEdit(p replicaEdit) {
	if p.add {
		y.add(p.rank, p.expert)
		return
	}
	y.drop(p.rank, p.expert)
}

// revertEdit undoes an edit without updating the times.
func (y *layerSearch) revertEdit(p replicaEdit) {
	if p.add {
		y.eraseReplica(p.rank, p.expert)
		return
	}
	y.recordReplica(p.rank, p.expert)
}

// evaluate returns the potential after a change, without applying it.
func (y *layerSearch) evaluate(c change) float64 {
	y.evaluations++
	copy(y.savedTimes, y.times)
	for _, p := range c.edits[:c.count] {
		y.applyEdit(p)
	}
	v := y.potential()
	for i := c.count - 1; i >= 0; i-- {
		y.revertEdit(c.edits[i])
	}
	copy(y.times, y.savedTimes)
	return v
}
