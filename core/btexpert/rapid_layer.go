package btexpert

import (
	"math"
	"slices"
)

// rapidLayer is one layer under improvement. It keeps each rank's load, and its
// part of the norm, up to date while replicas come and go.
type rapidLayer struct {
	number int
	shape  Shape
	limits FastLimits
	load   []float64
	mean   float64
	pace   []float64
	// ranks is how many experts of other layers the plan brings to each rank.
	ranks   []int
	held    [][]Expert
	holders [][]Rank
	times   []float64
	// powers are the times over the mean, to the norm's power, total is their
	// sum.
	powers []float64
	total  float64
	added  []int
	// origin and has tell by rank and expert what the map in force holds and
	// what the ranks hold now.
	origin, has []bool
	loads       int
	order       []Rank
}

func newRapidLayer(s Shape, layer Layer, load []float64, limits FastLimits) *rapidLayer {
	y := &rapidLayer{
		shape:   s,
		limits:  limits,
		load:    load,
		pace:    limits.paces(s.Ranks),
		held:    make([][]Expert, s.Ranks),
		holders: make([][]Rank, s.Experts),
		times:   make([]float64, s.Ranks),
		powers:  make([]float64, s.Ranks),
		added:   make([]int, s.Ranks),
		origin:  make([]bool, s.Ranks*s.Experts),
		has:     make([]bool, s.Ranks*s.Experts),
		order:   make([]Rank, s.Ranks),
	}
	for r, experts := range layer.Ranks {
		y.held[r] = append(make([]Expert, 0, s.Slots+1), experts...)
		for _, e := range experts {
			y.holders[e] = append(y.holders[e], Rank(r))
			y.origin[y.at(Rank(r), e)] = true
			y.has[y.at(Rank(r), e)] = true
		}
	}
	speed := 0.0
	for _, p := range y.pace {
		speed += 1 / p
	}
	y.mean = sum(load) / speed
	y.settle()
	return y
}

// paces returns the pace of each rank; values that make no sense count as usual.
func (l FastLimits) paces(ranks int) []float64 {
	paces := make([]float64, ranks)
	for r := range paces {
		paces[r] = 1
		if r < len(l.Slowness) && l.Slowness[r] > 1 && !math.IsInf(l.Slowness[r], 0) {
			paces[r] = l.Slowness[r]
		}
	}
	return paces
}

func (y *rapidLayer) at(r Rank, e Expert) int { return int(r)*y.shape.Experts + int(e) }

// settle computes the loads anew, so that rounding doesn't add up.
func (y *rapidLayer) settle() {
	clear(y.times)
	for e, ranks := range y.holders {
		for _, r := range ranks {
			y.times[r] += y.pace[r] * y.load[e] / float64(len(ranks))
		}
	}
	y.total = 0
	for r := range y.times {
		y.powers[r] = y.power(y.times[r])
		y.total += y.powers[r]
	}
}

// power returns a load over the mean, to the power of rapidPower.
func (y *rapidLayer) power(time float64) float64 {
	v := time / y.mean
	v4 := v * v * v * v
	return v4 * v4 * v4
}

// peak returns the most loaded rank over the mean.
func (y *rapidLayer) peak() float64 {
	if y.mean <= 0 {
		return 0
	}
	return slices.Max(y.times) / y.mean
}

func (y *rapidLayer) layer() Layer {
	l := Layer{Ranks: y.held}.clone()
	for _, experts := range l.Ranks {
		slices.Sort(experts)
	}
	return l
}

// norm stands for the most loaded rank, over the mean.
func (y *rapidLayer) norm() float64 { return math.Pow(y.total, 1.0/rapidPower) }

// improve makes the best change, and tells whether any is worth its price.
func (y *rapidLayer) improve() bool {
	y.settle()
	y.sort()
	before := y.norm()
	for _, source := range y.order[:min(rapidSources, len(y.order))] {
		best, gain := y.bestChange(source, before)
		if gain <= 0 {
			continue
		}
		y.make(best)
		return true
	}
	return false
}

// sort orders the ranks by falling load.
func (y *rapidLayer) sort() {
	for r := range y.order {
		y.order[r] = Rank(r)
	}
	slices.SortStableFunc(y.order, func(a, b Rank) int {
		switch {
		case y.times[a] > y.times[b]:
			return -1
		case y.times[a] < y.times[b]:
			return 1
		}
		return 0
	})
}

// price returns how many experts the change loads, or -1 where a rank would get
// more than it may.
func (y *rapidLayer) price(c rapidChange) int {
	loads := y.loadsAt(c.target, c.expert)
	freed := 0
	if c.hasOut {
		freed = y.loadsAt(c.target, c.out)
	}
	if !y.room(c.target, loads-freed) {
		return -1
	}
	loads -= freed
	if c.exchanged {
		back := y.loadsAt(c.source, c.out) - y.loadsAt(c.source, c.expert)
		if !y.room(c.source, back) {
			return -1
		}
		loads += back
	}
	return max(loads, 0)
}

// room tells whether a rank may load so many experts more.
func (y *rapidLayer) room(r Rank, loads int) bool {
	if loads <= 0 {
		return true
	}
	n := y.added[r] + loads
	return n <= y.limits.MaxLayerTransfers && (y.limits.MaxRankTransfers == 0 || y.ranks[r]+n <= y.limits.MaxRankTransfers)
}

// loadsAt tells whether a rank must load an expert: one that the map in force
// has there is still at hand.
func (y *rapidLayer) loadsAt(r Rank, e Expert) int {
	if y.origin[y.at(r, e)] {
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
	y.has[y.at(r, e)] = true
	y.share(e, 1)
	n := y.loadsAt(r, e)
	y.added[r] += n
	y.loads += n
}

func (y *rapidLayer) drop(r Rank, e Expert) {
	y.share(e, -1)
	y.holders[e] = without(y.holders[e], r)
	y.held[r] = without(y.held[r], e)
	y.has[y.at(r, e)] = false
	y.share(e, 1)
	n := y.loadsAt(r, e)
	y.added[r] -= n
	y.loads -= n
}

// share adds an expert's load to its holders, or takes it off.
func (y *rapidLayer) share(e Expert, sign float64) {
	ranks := y.holders[e]
	if len(ranks) == 0 {
		return
	}
	part := sign * y.load[e] / float64(len(ranks))
	for _, r := range ranks {
		y.times[r] += y.pace[r] * part
		p := y.power(y.times[r])
		y.total += p - y.powers[r]
		y.powers[r] = p
	}
}
