package btexpert

import (
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	// slowEnter is how many times longer than its work accounts for a rank takes
	// before it counts as a straggler, and slowLeave when it no longer does.
	slowEnter = 1.15
	slowLeave = 1.08
	// slowReports is how many reports in a row must agree on either.
	slowReports = 3
	// slownessWeight is the weight of the newest report in a rank's slowness.
	slownessWeight = 0.5
	// largestSlowness is the largest slowness planned with; a rank beyond it is hardly
	// of use.
	largestSlowness = 20
	// speedStep is how far a straggler's speed must change before plans follow.
	speedStep = 0.05
	// distinctLoads is how far, as a share of the mean, the loads of two ranks
	// must lie apart for their times to tell base from load.
	distinctLoads = 0.1
	// distinctSkew is the modelled skew from which the measured one tells base
	// from load.
	distinctSkew = 0.1
	// leastSlopes is how many slopes a rank a line needs.
	leastSlopes = 2
	// baseWeight is the weight of the newest estimate of the base.
	baseWeight = 0.3
	// largestBase bounds the base by this many times the mean expert load.
	largestBase = 10
)

// Straggler is the evidence on a rank that became slow, or recovered.
type Straggler struct {
	Rank Rank `json:"rank"`
	// Own is the rank's own compute time in a step, Median the group's.
	Own    time.Duration `json:"own"`
	Median time.Duration `json:"median"`
	// Slowness is how many times longer the rank takes than its share of the
	// experts' load accounts for, smoothed over reports.
	Slowness  float64 `json:"slowness"`
	Recovered bool    `json:"recovered"`
}

// String writes the evidence for operators.
func (s Straggler) String() string {
	state := "is a straggler"
	if s.Recovered {
		state = "has recovered"
	}
	return fmt.Sprintf("rank %d %s: own step time %v, median %v, %.2f times slower than its load accounts for",
		s.Rank, state, s.Own, s.Median, s.Slowness)
}

// SpeedMeter finds stragglers. It holds each rank's own step time against what
// the experts on it account for, so that a rank that is late for its load isn't
// taken for a slow one. It is rebuilt from a few reports after a restart.
type SpeedMeter struct {
	layers   int
	base     float64
	based    bool
	slowness []float64
	streak   []int
	slow     []bool
	speeds   Speeds
}

// NewSpeedMeter returns a meter for a group of a valid shape, at even speeds.
func NewSpeedMeter(s Shape) *SpeedMeter {
	return &SpeedMeter{
		layers:   s.Layers,
		slowness: make([]float64, s.Ranks),
		streak:   make([]int, s.Ranks),
		slow:     make([]bool, s.Ranks),
		speeds:   EvenSpeeds(s.Ranks),
	}
}

// Speeds returns a copy of the ranks' speeds: 1 but for stragglers.
func (m *SpeedMeter) Speeds() Speeds { return slices.Clone(m.speeds) }

// Base returns the work beside the experts that a rank does in a layer, in
// units of the mean rank's expert load in a layer. It is zero until ranks of
// different loads have shown it.
func (m *SpeedMeter) Base() float64 { return m.base }

// Observe takes in one report: each rank's own compute time in a step, and the
// expert load that it served, in units of the mean rank's load in a layer and
// summed over the layers. It returns the ranks that became stragglers or
// recovered.
func (m *SpeedMeter) Observe(own []time.Duration, loads []float64) []Straggler {
	times := make([]float64, len(own))
	for r, t := range own {
		times[r] = t.Seconds()
	}
	m.estimateBase(times, loads)
	units := make([]float64, len(own))
	for r := range units {
		units[r] = times[r] / (m.base*float64(m.layers) + loads[r])
	}
	unit := median(units)
	medianTime := median(times)
	var found []Straggler
	for r := range units {
		m.smooth(r, units[r]/unit)
		if m.judge(r, times[r] > medianTime) {
			found = append(found, Straggler{
				Rank:      Rank(r),
				Own:       own[r],
				Median:    time.Duration(medianTime * float64(time.Second)),
				Slowness:  m.slowness[r],
				Recovered: !m.slow[r],
			})
		}
		m.publish(r)
	}
	return found
}

func (m *SpeedMeter) smooth(r int, slowness float64) {
	if math.IsNaN(slowness) || math.IsInf(slowness, 0) {
		// An idle rank without base work shows nothing about its speed.
		return
	}
	if m.slowness[r] == 0 {
		m.slowness[r] = slowness
		return
	}
	m.slowness[r] += slownessWeight * (slowness - m.slowness[r])
}

// judge tells whether the rank became or ceased to be a straggler.
func (m *SpeedMeter) judge(r int, late bool) bool {
	against := m.slowness[r] > slowEnter && late
	if m.slow[r] {
		against = m.slowness[r] < slowLeave
	}
	if !against {
		m.streak[r] = 0
		return false
	}
	m.streak[r]++
	if m.streak[r] < slowReports {
		return false
	}
	m.streak[r] = 0
	m.slow[r] = !m.slow[r]
	return true
}

func (m *SpeedMeter) publish(r int) {
	if !m.slow[r] {
		m.speeds[r] = 1
		return
	}
	speed := 1 / min(max(m.slowness[r], slowLeave), largestSlowness)
	if math.Abs(speed-m.speeds[r]) >= speedStep {
		m.speeds[r] = speed
	}
}

// estimateBase fits time = unit × (base + load) through the ranks by the median
// of pairwise slopes, which a few stragglers don't disturb.
func (m *SpeedMeter) estimateBase(times, loads []float64) {
	slope, found := medianSlope(times, loads)
	if !found || slope <= 0 {
		return
	}
	rests := make([]float64, len(times))
	for r := range rests {
		rests[r] = times[r] - slope*loads[r]
	}
	m.addBase(median(rests) / slope / float64(m.layers))
}

// ObserveSkew takes in the skew of one report's steps and the skew that the
// experts' load alone accounts for. It estimates the base in a group that is too
// small for a line through its ranks: a base of as much work as the mean rank's
// load halves the skew. A straggler would be taken for load, so nothing is learned
// while one is suspected.
func (m *SpeedMeter) ObserveSkew(measured, modelled float64) {
	ranks := len(m.speeds)
	if ranks*(ranks-1)/2 >= leastSlopes*ranks || modelled < distinctSkew || measured <= 0 || m.suspects() {
		return
	}
	m.addBase(modelled/measured - 1)
}

// suspects tells whether a rank is a straggler or may be becoming one.
func (m *SpeedMeter) suspects() bool {
	return slices.Contains(m.slow, true) || slices.Max(m.streak) > 0
}

// addBase takes one estimate of the base in.
func (m *SpeedMeter) addBase(base float64) {
	base = min(max(base, 0), largestBase)
	if !m.based {
		m.base = base
		m.based = true
		return
	}
	m.base += baseWeight * (base - m.base)
}

func medianSlope(times, loads []float64) (float64, bool) {
	apart := distinctLoads * sum(loads) / float64(len(loads))
	var slopes []float64
	for i := range loads {
		for j := range i {
			run := loads[i] - loads[j]
			if math.Abs(run) > apart {
				slopes = append(slopes, (times[i]-times[j])/run)
			}
		}
	}
	if len(slopes) < leastSlopes*len(loads) {
		return 0, false
	}
	return median(slopes), true
}

// median returns the middle value, or the lower of the two middle ones.
func median(values []float64) float64 {
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[(len(sorted)-1)/2]
}
