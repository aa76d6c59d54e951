// Package bttrace generates seeded traces of expert popularity and rank speed, for
// stand-in engines and for measurements of placement.
package bttrace

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"bilberrytide/core/btexpert"
)

// Kind is the kind of a trace.
type Kind string

// The kinds of traces.
const (
	// Steady has one constant Zipf popularity.
	Steady Kind = "steady"
	// Drift changes slowly between request mixes in the course of a day.
	Drift Kind = "drift"
	// Shift changes to another popularity abruptly, at half of its length.
	Shift Kind = "shift"
	// Straggler is Steady with a slow rank in the second and third quarters.
	Straggler Kind = "straggler"
	// StragglerDrift is Drift with that slow rank.
	StragglerDrift Kind = "straggler_drift"
)

// Kinds returns all kinds.
func Kinds() []Kind { return []Kind{Steady, Drift, Shift, Straggler, StragglerDrift} }

const (
	// mixCount is how many request mixes follow one another in a day.
	mixCount = 4
	day      = 24 * time.Hour
	// slowRank is the rank of the straggler, and slowSpeed its speed.
	slowRank  = 5
	slowSpeed = 0.6
)

// Trace is the popularity of experts and the speed of ranks of one group over time.
type Trace struct {
	shape  btexpert.Shape
	kind   Kind
	length time.Duration
	// popularity holds each mix's shares by layer and expert.
	popularity [mixCount]btexpert.Load
	random     *rand.Rand
}

// New returns a trace of the given length. Equal seeds give equal traces. The
// exponent is that of the Zipf distribution of experts within a mix.
func New(kind Kind, s btexpert.Shape, exponent float64, length time.Duration, seed uint64) *Trace {
	t := &Trace{
		shape:  s,
		kind:   kind,
		length: length,
		random: rand.New(rand.NewPCG(seed, 0)),
	}
	for k := range t.popularity {
		t.popularity[k] = make(btexpert.Load, s.Layers)
		for l := range t.popularity[k] {
			t.popularity[k][l] = t.zipf(exponent)
		}
	}
	return t
}

// zipf returns Zipf shares that sum to 1, over the experts in random order.
func (t *Trace) zipf(exponent float64) []float64 {
	shares := make([]float64, t.shape.Experts)
	total := 0.0
	for position, e := range t.random.Perm(t.shape.Experts) {
		shares[e] = math.Pow(float64(position+1), -exponent)
		total += shares[e]
	}
	for e := range shares {
		shares[e] /= total
	}
	return shares
}

// Popularity returns each expert's share of its layer's tokens at a time since the
// start.
func (t *Trace) Popularity(at time.Duration) btexpert.Load {
	weights := t.weights(at)
	load := make(btexpert.Load, t.shape.Layers)
	for l := range load {
		load[l] = make([]float64, t.shape.Experts)
		for k, w := range weights {
			for e, v := range t.popularity[k][l] {
				load[l][e] += w * v
			}
		}
	}
	return load
}

// weights returns each mix's share of the requests.
func (t *Trace) weights(at time.Duration) [mixCount]float64 {
	switch t.kind {
	case Drift, StragglerDrift:
		return dayWeights(at)
	case Shift:
		if at >= t.length/2 {
			return [mixCount]float64{1: 1}
		}
	}
	return [mixCount]float64{0: 1}
}

// dayWeights returns weights by which each mix peaks once a day, one after the
// other.
func dayWeights(at time.Duration) [mixCount]float64 {
	var weights [mixCount]float64
	for k := range weights {
		phase := at.Seconds()/day.Seconds() - float64(k)/mixCount
		weights[k] = (1 + math.Cos(2*math.Pi*phase)) / mixCount
	}
	return weights
}

// Speeds returns the ranks' true speeds at a time since the start.
func (t *Trace) Speeds(at time.Duration) btexpert.Speeds {
	speeds := btexpert.EvenSpeeds(t.shape.Ranks)
	slow := t.kind == Straggler || t.kind == StragglerDrift
	if slow && at >= t.length/4 && at < t.length*3/4 {
		speeds[slowRank%t.shape.Ranks] = slowSpeed
	}
	return speeds
}

// Burst returns the popularity with a normal relative error of the given standard
// deviation in each expert's share, as requests of a kind come in bursts.
func (t *Trace) Burst(popularity btexpert.Load, deviation float64) btexpert.Load {
	burst := make(btexpert.Load, len(popularity))
	for l, shares := range popularity {
		burst[l] = make([]float64, len(shares))
		for e, v := range shares {
			burst[l][e] = max(v*(1+deviation*t.random.NormFloat64()), 0)
		}
	}
	return burst
}

// Sample draws the tokens that each expert serves in one step with the given number
// of expert calls per layer: the expected number plus Poisson noise, in its normal
// approximation.
func (t *Trace) Sample(popularity btexpert.Load, calls float64) btexpert.Counts {
	counts := make(btexpert.Counts, len(popularity))
	for l, shares := range popularity {
		counts[l] = make([]int64, len(shares))
		for e, v := range shares {
			expected := v * calls
			drawn := expected + math.Sqrt(expected)*t.random.NormFloat64()
			counts[l][e] = max(int64(math.Round(drawn)), 0)
		}
	}
	return counts
}

// PerfectSplit returns each rank's fractions of the experts of one layer under a
// split that is perfect for the popularity: the experts' loads are laid end to end
// and cut by the ranks' speeds (McNaughton's wrap-around rule). No map reaches it,
// as replicas share load evenly. It is the reference for steps whose noise no map
// can foresee.
func PerfectSplit(popularity []float64, speeds btexpert.Speeds) [][]Fraction {
	ranks := make([][]Fraction, len(speeds))
	total := 0.0
	for _, v := range speeds {
		total += v
	}
	r := 0
	room := speeds[0] / total
	for e, left := range popularity {
		for left > 0 {
			part := left
			if r < len(speeds)-1 {
				part = min(left, room)
			}
			ranks[r] = append(ranks[r], Fraction{Expert: btexpert.Expert(e), Share: part / popularity[e]})
			left -= part
			room -= part
			if room <= 0 && r < len(speeds)-1 {
				r++
				room = speeds[r] / total
			}
		}
	}
	return ranks
}

// Fraction is the share of an expert's tokens that a rank serves.
type Fraction struct {
	Expert btexpert.Expert
	Share  float64
}

// SplitTimes returns the ranks' times in one layer under a split.
func SplitTimes(split [][]Fraction, counts []int64, speeds btexpert.Speeds) []float64 {
	times := make([]float64, len(split))
	for r, parts := range split {
		for _, p := range parts {
			times[r] += p.Share * float64(counts[p.Expert]) / speeds[r]
		}
	}
	return times
}

// SplitSkew returns the skew of one step under a perfect split of each layer.
func SplitSkew(splits [][][]Fraction, counts btexpert.Counts, speeds btexpert.Speeds) float64 {
	step := 0.0
	mean := 0.0
	for l, split := range splits {
		times := SplitTimes(split, counts[l], speeds)
		step += slices.Max(times)
		for _, v := range times {
			mean += v / float64(len(times))
		}
	}
	return step/mean - 1
}
