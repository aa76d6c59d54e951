package btexpert

import (
	"fmt"
	"math"
	"slices"
)

// The model of a step. All ranks exchange tokens in every layer, so a layer takes
// as long as its slowest rank, and a step is the sum of its layers:
//
//	step = Σ over layers of max over ranks of ((base + rank's load) / rank's speed)
//
// The tokens of a step are random, so that single steps are uneven even under a
// perfectly balanced map, by the skew floor. The slowest rank is then any of those
// that are nearly as slow, so the maximum is replaced by a p-norm, whose p is set
// such that equal ranks give the skew floor: a few outliers count alone, many ranks
// with similar times count together.
//
// An expert's load is split evenly among its replicas, as by an engine that picks
// replicas round robin. Loads are in tokens, and so are modelled times: the time
// that a rank of speed 1 takes to serve that many.

// Demand is the work of a step and the speeds of the ranks that do it.
type Demand struct {
	Load   Load
	Speeds Speeds
	// Base is the work other than experts, such as attention, that every rank does
	// in every layer, in the unit of the load.
	Base float64
	// SkewFloor is the skew of a step under a perfectly balanced map, which is due
	// to chance alone.
	SkewFloor float64
}

// Validate reports a demand that doesn't fit the shape. The error wraps ErrLoad.
func (d Demand) Validate(s Shape) error {
	for _, v := range []float64{d.Base, d.SkewFloor} {
		if v < 0 || math.IsNaN(v) || math.IsInf(v, 0) {
			return fmt.Errorf("%w: base %v, floor %v", ErrLoad, d.Base, d.SkewFloor)
		}
	}
	if err := d.Load.Validate(s); err != nil {
		return err
	}
	return d.Speeds.Validate(s)
}

// layer returns the demand of one layer.
func (d Demand) layer(l int) layerDemand {
	return layerDemand{load: d.Load[l], speeds: d.Speeds, base: d.Base, skewFloor: d.SkewFloor}
}

// layerDemand is the demand of one layer.
type layerDemand struct {
	load      []float64
	speeds    Speeds
	base      float64
	skewFloor float64
}

// minSkewFloor is the skew floor below which a layer takes as long as its slowest
// rank.
const minSkewFloor = 1e-3

// normExponent returns the p of the norm, which is infinite for the maximum.
func (d layerDemand) normExponent() float64 {
	ranks := float64(len(d.speeds))
	if d.skewFloor < minSkewFloor || ranks < 2 {
		return math.Inf(1)
	}
	// In a group so small and so uneven that p is below 2, the norm is no model of
	// the slowest rank.
	return max(math.Log(ranks)/math.Log1p(d.skewFloor), 2)
}

// duration returns how long the layer takes, given the ranks' times in it.
func (d layerDemand) duration(times []float64) float64 {
	slowest := slices.Max(times)
	p := d.normExponent()
	if math.IsInf(p, 1) || slowest == 0 {
		return slowest
	}
	total := 0.0
	for _, t := range times {
		total += math.Pow(t/slowest, p)
	}
	return slowest * math.Pow(total, 1/p)
}

// lowerBound returns a time that the layer can't beat: the larger of the slowest
// rank's bound and, by Hölder's inequality, the least norm of rank times that do
// all the work.
func (d layerDemand) lowerBound(s Shape) float64 {
	slowest := d.slowestRankBound(s)
	p := d.normExponent()
	if math.IsInf(p, 1) {
		return slowest
	}
	q := p / (p - 1)
	norm := 0.0
	for _, v := range d.speeds {
		norm += math.Pow(v, q)
	}
	work := sum(d.load) + float64(s.Ranks)*d.base
	return max(slowest, work/math.Pow(norm, 1/q))
}

// addTimes adds each rank's time in the layer to times.
func (d layerDemand) addTimes(layer Layer, times []float64) {
	replicas := make([]int, len(d.load))
	for _, experts := range layer.Ranks {
		for _, e := range experts {
			replicas[e]++
		}
	}
	for r, experts := range layer.Ranks {
		work := d.base
		for _, e := range experts {
			work += d.load[e] / float64(replicas[e])
		}
		times[r] += work / d.speeds[r]
	}
}

// RankTimes returns each rank's own time in a step, summed over the layers. The
// demand must fit the map's shape.
func RankTimes(m Map, d Demand) []float64 {
	times := make([]float64, m.Shape.Ranks)
	for l, layer := range m.Layers {
		d.layer(l).addTimes(layer, times)
	}
	return times
}

// StepTime returns the modelled time of a step: the p-norm of the ranks' times in
// each layer, or the slowest rank's time without a skew floor, summed over the
// layers. The demand must fit the map's shape.
func StepTime(m Map, d Demand) float64 {
	total := 0.0
	times := make([]float64, m.Shape.Ranks)
	for l, layer := range m.Layers {
		clear(times)
		y := d.layer(l)
		y.addTimes(layer, times)
		total += y.duration(times)
	}
	return total
}

// Skew returns the step time over the mean of the ranks' own times in it, minus
// one. It is zero for an idle group.
func Skew(m Map, d Demand) float64 {
	mean := sum(RankTimes(m, d)) / float64(m.Shape.Ranks)
	if mean == 0 {
		return 0
	}
	return StepTime(m, d)/mean - 1
}

// Bound returns a step time that no map of the shape can beat, however load is
// split among replicas. Per layer it is the larger of the time of a perfect split
// over the ranks' speeds and of what the number of slots allows.
func Bound(s Shape, d Demand) float64 {
	total := 0.0
	for l := range d.Load {
		total += d.layer(l).lowerBound(s)
	}
	return total
}

// BoundSkew returns the skew of the bound, relative to the mean rank under a
// perfect split. With a skew floor of zero it is zero, unless the slots or the base
// rule out a perfect split.
func BoundSkew(s Shape, d Demand) float64 {
	perfect := 0.0
	for _, experts := range d.Load {
		perfect += (sum(experts) + float64(s.Ranks)*d.Base) / sum(d.Speeds)
	}
	if perfect == 0 {
		return 0
	}
	return Bound(s, d)/perfect - 1
}

// boundBisections is the number of bisections in the search for a layer's bound; 40
// leave an error below 1e-12 of the range.
const boundBisections = 40

// slowestRankBound returns a time that the layer's slowest rank can't beat.
func (d layerDemand) slowestRankBound(s Shape) float64 {
	low := d.evenSplitTime(s)
	if d.slotsSuffice(s, low) {
		return low
	}
	// In this time the fastest rank can serve any expert by a single replica.
	high := max(low, (slices.Max(d.load)+d.base)/slices.Max(d.speeds))
	for range boundBisections {
		middle := (low + high) / 2
		if d.slotsSuffice(s, middle) {
			high = middle
		} else {
			low = middle
		}
	}
	return low
}

// evenSplitTime returns the layer's time under a perfect split.
func (d layerDemand) evenSplitTime(s Shape) float64 {
	even := (sum(d.load) + float64(s.Ranks)*d.base) / sum(d.speeds)
	return max(even, d.base/slices.Min(d.speeds))
}

// slotsSuffice reports whether the group has enough slots to split every expert
// into replicas that the fastest rank can each serve within the time.
func (d layerDemand) slotsSuffice(s Shape, time float64) bool {
	largest := time*slices.Max(d.speeds) - d.base
	if largest <= 0 {
		return sum(d.load) == 0
	}
	// A rounding error must not add a replica, as the result would no longer be a
	// lower bound.
	const rounding = 1e-9
	slots := 0
	for _, v := range d.load {
		need := int(math.Ceil(v/largest - rounding))
		if need > s.Ranks {
			return false
		}
		slots += max(need, 1)
	}
	return slots <= s.Ranks*s.Slots
}
