package btexpert

import (
	"fmt"
	"math"
	"slices"
)

// The model of a step. All ranks exchange tokens in every layer, so a layer
// lasts as long as its slowest rank, and a step is the sum of its layers:
//
//	step = Σ over layers of max over ranks of ((base + rank's load) / rank's speed)
//
// Tokens come by chance, so that even a perfect map's single steps are uneven, by
// the floor. Chance picks the slowest of all ranks that are nearly as slow, so the
// maximum is taken as a p-norm, whose p is set so that even ranks give the floor:
// a few ranks that stick out count alone, many that are close count together.
//
// An expert's load is split evenly among its replicas, which is what an engine
// does that picks replicas in turn. Loads are in tokens, so a model's times are
// in tokens too: the time that a rank in order takes to serve that many.

// Demand is what a step asks of the ranks.
type Demand struct {
	Load   Load
	Speeds Speeds
	// Base is the work beside the experts that every rank does in every layer,
	// such as attention, in the load's unit.
	Base float64
	// SkewFloor is the skew that chance alone gives a step.
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
	return layerDemand{load: d.Load[l], speeds: d.Speeds, base: d.Base, floor: d.SkewFloor}
}

// layerDemand is the demand of one layer.
type layerDemand struct {
	load   []float64
	speeds Speeds
	base   float64
	floor  float64
}

// leastFloor is the floor below which a layer lasts as long as its slowest rank.
const leastFloor = 1e-3

// power returns the p of the norm, or infinity.
func (d layerDemand) power() float64 {
	ranks := float64(len(d.speeds))
	if d.floor < leastFloor || ranks < 2 {
		return math.Inf(1)
	}
	// Below 2, a group so small and so uneven tells nothing of norms.
	return max(math.Log(ranks)/math.Log1p(d.floor), 2)
}

// lasting returns how long the layer lasts whose ranks take the times.
func (d layerDemand) lasting(times []float64) float64 {
	slowest := slices.Max(times)
	p := d.power()
	if math.IsInf(p, 1) || slowest == 0 {
		return slowest
	}
	total := 0.0
	for _, t := range times {
		total += math.Pow(t/slowest, p)
	}
	return slowest * math.Pow(total, 1/p)
}

// least returns a time that the layer can't beat: the slowest rank's bound, or
// by Hölder's inequality the least norm of times that do all the work.
func (d layerDemand) least(s Shape) float64 {
	slowest := d.bound(s)
	p := d.power()
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

// addTimes adds to times each rank's time in the layer.
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

// RankTimes returns each rank's own time in a step, summed over the layers.
// The demand must fit the map's shape.
func RankTimes(m Map, d Demand) []float64 {
	times := make([]float64, m.Shape.Ranks)
	for l, layer := range m.Layers {
		d.layer(l).addTimes(layer, times)
	}
	return times
}

// StepTime returns the modelled time of a step: the slowest rank of each layer,
// summed over the layers, with the floor added in quadrature. The demand must fit the map's shape.
func StepTime(m Map, d Demand) float64 {
	total := 0.0
	times := make([]float64, m.Shape.Ranks)
	for l, layer := range m.Layers {
		clear(times)
		y := d.layer(l)
		y.addTimes(layer, times)
		total += y.lasting(times)
	}
	return total
}

// Skew returns how far the slowest ranks lag the mean: the step time over the
// mean rank's time in it, minus one. It is zero for an idle group.
func Skew(m Map, d Demand) float64 {
	mean := sum(RankTimes(m, d)) / float64(m.Shape.Ranks)
	if mean == 0 {
		return 0
	}
	return StepTime(m, d)/mean - 1
}

// Bound returns a time that no map of the shape can beat, whatever the split
// among replicas: the larger, per layer, of the perfect split over the ranks'
// speeds and of what the number of slots allows.
func Bound(s Shape, d Demand) float64 {
	total := 0.0
	for l := range d.Load {
		total += d.layer(l).least(s)
	}
	return total
}

// BoundSkew returns the skew that remains at the bound: zero but where slots or
// the base forbid a perfect split, which alone sets the mean here.
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

// boundSteps is how often the search for a layer's bound halves its range; 40
// halvings leave an error below one part in a million million.
const boundSteps = 40

func (d layerDemand) bound(s Shape) float64 {
	low := d.perfect(s)
	if d.slotsSuffice(s, low) {
		return low
	}
	// With a replica of its own on the fastest rank, every expert fits.
	high := max(low, (slices.Max(d.load)+d.base)/slices.Max(d.speeds))
	for range boundSteps {
		middle := (low + high) / 2
		if d.slotsSuffice(s, middle) {
			high = middle
		} else {
			low = middle
		}
	}
	return low
}

// perfect returns the layer's time under a perfect split.
func (d layerDemand) perfect(s Shape) float64 {
	even := (sum(d.load) + float64(s.Ranks)*d.base) / sum(d.speeds)
	return max(even, d.base/slices.Min(d.speeds))
}

// slotsSuffice tells whether the group has enough slots for every expert to
// have replicas so small that the fastest rank bears each within the time.
func (d layerDemand) slotsSuffice(s Shape, time float64) bool {
	largest := time*slices.Max(d.speeds) - d.base
	if largest <= 0 {
		return sum(d.load) == 0
	}
	// Rounding must not count one replica too many, or the bound would be no bound.
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
