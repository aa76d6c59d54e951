package btexpert

import (
	"math"
	"slices"
)

// fastLayer is one layer in a FastRebalance search. It keeps each rank's time, and
// its term in the norm, up to date as replicas are added and removed.
type fastLayer struct {
	index    int
	shape    Shape
	limits   FastLimits
	load     []float64
	mean     float64
	slowness []float64
	// rankTransfers counts the transfers of the plan to each rank in the layers
	// searched before.
	rankTransfers []int
	held          [][]Expert
	holders       [][]Rank
	times         []float64
	// powers holds each rank's time over the mean to the power of fastNormPower,
	// and powerSum their sum.
	powers   []float64
	powerSum float64
	// layerTransfers counts the transfers to each rank in this layer.
	layerTransfers []int
	// initial and has are indexed by rank and expert: what the map in force places,
	// and what the search places now.
	initial, has []bool
	transfers    int
	byTime       []Rank
}

func newFastLayer(s Shape, layer Layer, load []float64, limits FastLimits) *fastLayer {
	y := &fastLayer{
		shape:          s,
		limits:         limits,
		load:           load,
		slowness:       limits.rankSlowness(s.Ranks),
		held:           make([][]Expert, s.Ranks),
		holders:        make([][]Rank, s.Experts),
		times:          make([]float64, s.Ranks),
		powers:         make([]float64, s.Ranks),
		layerTransfers: make([]int, s.Ranks),
		initial:        make([]bool, s.Ranks*s.Experts),
		has:            make([]bool, s.Ranks*s.Experts),
		byTime:         make([]Rank, s.Ranks),
	}
	for r, experts := range layer.Ranks {
		y.held[r] = append(make([]Expert, 0, s.Slots+1), experts...)
		for _, e := range experts {
			y.holders[e] = append(y.holders[e], Rank(r))
			y.initial[y.at(Rank(r), e)] = true
			y.has[y.at(Rank(r), e)] = true
		}
	}
	speed := 0.0
	for _, v := range y.slowness {
		speed += 1 / v
	}
	y.mean = sum(load) / speed
	y.recompute()
	return y
}

// rankSlowness returns the slowness of each rank. Values that are missing, below 1
// or infinite count as 1.
func (l FastLimits) rankSlowness(ranks int) []float64 {
	slowness := make([]float64, ranks)
	for r := range slowness {
		slowness[r] = 1
		if r < len(l.Slowness) && l.Slowness[r] > 1 && !math.IsInf(l.Slowness[r], 0) {
			slowness[r] = l.Slowness[r]
		}
	}
	return slowness
}

// at returns the index of a rank and an expert in initial and has.
func (y *fastLayer) at(r Rank, e Expert) int { return int(r)*y.shape.Experts + int(e) }

// recompute computes the times and powers from scratch, so that rounding errors
// don't accumulate.
func (y *fastLayer) recompute() {
	clear(y.times)
	for e, ranks := range y.holders {
		for _, r := range ranks {
			y.times[r] += y.slowness[r] * y.load[e] / float64(len(ranks))
		}
	}
	y.powerSum = 0
	for r := range y.times {
		y.powers[r] = y.power(y.times[r])
		y.powerSum += y.powers[r]
	}
}

// power returns a time over the mean, to the power of fastNormPower.
func (y *fastLayer) power(time float64) float64 {
	v := time / y.mean
	v4 := v * v * v * v
	return v4 * v4 * v4
}

// peakToMean returns the time of the most loaded rank over the mean, or zero for a
// layer without load.
func (y *fastLayer) peakToMean() float64 {
	if y.mean <= 0 {
		return 0
	}
	return slices.Max(y.times) / y.mean
}

// layer returns the current layer map.
func (y *fastLayer) layer() Layer {
	l := Layer{Ranks: y.held}.clone()
	for _, experts := range l.Ranks {
		slices.Sort(experts)
	}
	return l
}

// norm returns the norm of the times over the mean, a smooth stand-in for
// peakToMean.
func (y *fastLayer) norm() float64 { return math.Pow(y.powerSum, 1.0/fastNormPower) }

// improve applies the best change, and reports whether any gains more than its
// transfers cost.
func (y *fastLayer) improve() bool {
	y.recompute()
	y.sortRanks()
	before := y.norm()
	for _, source := range y.byTime[:min(fastSourceRanks, len(y.byTime))] {
		best, gain := y.bestChange(source, before)
		if gain <= 0 {
			continue
		}
		y.apply(best)
		return true
	}
	return false
}

// sortRanks orders the ranks by descending time.
func (y *fastLayer) sortRanks() {
	for r := range y.byTime {
		y.byTime[r] = Rank(r)
	}
	slices.SortStableFunc(y.byTime, func(a, b Rank) int {
		switch {
		case y.times[a] > y.times[b]:
			return -1
		case y.times[a] < y.times[b]:
			return 1
		}
		return 0
	})
}

// countTransfers returns the transfers that the change adds, at least 0, or -1 if a
// rank would exceed its limits.
func (y *fastLayer) countTransfers(c fastChange) int {
	transfers := y.transfersFor(c.dest, c.expert)
	freed := 0
	if c.evicts {
		freed = y.transfersFor(c.dest, c.evicted)
	}
	if !y.withinLimits(c.dest, transfers-freed) {
		return -1
	}
	transfers -= freed
	if c.swapped {
		sourceTransfers := y.transfersFor(c.source, c.evicted) - y.transfersFor(c.source, c.expert)
		if !y.withinLimits(c.source, sourceTransfers) {
			return -1
		}
		transfers += sourceTransfers
	}
	return max(transfers, 0)
}

// withinLimits reports whether a rank may receive so many transfers more.
func (y *fastLayer) withinLimits(r Rank, transfers int) bool {
	if transfers <= 0 {
		return true
	}
	n := y.layerTransfers[r] + transfers
	return n <= y.limits.MaxLayerTransfers && (y.limits.MaxRankTransfers == 0 || y.rankTransfers[r]+n <= y.limits.MaxRankTransfers)
}

// transfersFor returns 1 if the rank must load the expert, and 0 if the map in
// force already places it there.
func (y *fastLayer) transfersFor(r Rank, e Expert) int {
	if y.initial[y.at(r, e)] {
		return 0
	}
	return 1
}

// apply makes a change.
func (y *fastLayer) apply(c fastChange) {
	if c.evicts {
		y.remove(c.dest, c.evicted)
	}
	if c.moved {
		y.remove(c.source, c.expert)
	}
	y.add(c.dest, c.expert)
	if c.swapped {
		y.add(c.source, c.evicted)
	}
}

// revert undoes a change.
func (y *fastLayer) revert(c fastChange) {
	if c.swapped {
		y.remove(c.source, c.evicted)
	}
	y.remove(c.dest, c.expert)
	if c.moved {
		y.add(c.source, c.expert)
	}
	if c.evicts {
		y.add(c.dest, c.evicted)
	}
}

func (y *fastLayer) add(r Rank, e Expert) {
	y.addShares(e, -1)
	y.holders[e] = append(y.holders[e], r)
	y.held[r] = append(y.held[r], e)
	y.has[y.at(r, e)] = true
	y.addShares(e, 1)
	n := y.transfersFor(r, e)
	y.layerTransfers[r] += n
	y.transfers += n
}

func (y *fastLayer) remove(r Rank, e Expert) {
	y.addShares(e, -1)
	y.holders[e] = removeUnordered(y.holders[e], r)
	y.held[r] = removeUnordered(y.held[r], e)
	y.has[y.at(r, e)] = false
	y.addShares(e, 1)
	n := y.transfersFor(r, e)
	y.layerTransfers[r] -= n
	y.transfers -= n
}

// addShares adds an expert's load to its holders' times, or subtracts it if sign is
// -1.
func (y *fastLayer) addShares(e Expert, sign float64) {
	ranks := y.holders[e]
	if len(ranks) == 0 {
		return
	}
	part := sign * y.load[e] / float64(len(ranks))
	for _, r := range ranks {
		y.times[r] += y.slowness[r] * part
		p := y.power(y.times[r])
		y.powerSum += p - y.powers[r]
		y.powers[r] = p
	}
}
