package btexpert

import (
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	// stragglerEnter is the slowness above which a rank counts as a straggler, and
	// stragglerLeave that below which it no longer does.
	stragglerEnter = 1.15
	stragglerLeave = 1.08
	// stragglerReports is how many reports in a row must agree on either.
	stragglerReports = 3
	// slownessWeight is the weight of the newest report in a rank's slowness.
	slownessWeight = 0.5
	// maxSlowness is the largest slowness used in plans; a slower rank is hardly of
	// use.
	maxSlowness = 20
	// minSpeedChange is how far a straggler's speed must change to be published.
	minSpeedChange = 0.05
	// minLoadDifference is the least difference between the loads of two ranks, as
	// a share of the mean, for their times to separate base from load.
	minLoadDifference = 0.1
	// minBaseSkew is the least modelled skew for which the measured one separates
	// base from load.
	minBaseSkew = 0.1
	// minSlopesPerRank is how many pairwise slopes per rank a fit needs.
	minSlopesPerRank = 2
	// baseWeight is the weight of the newest estimate of the base.
	baseWeight = 0.3
	// maxBase bounds the base, in units of the mean expert load.
	maxBase = 10
)

// Straggler reports that a rank became slow or recovered, with the evidence.
type Straggler struct {
	Rank Rank `json:"rank"`
	// Own is the rank's own compute time in a step, and Median the group's median.
	Own    time.Duration `json:"own"`
	Median time.Duration `json:"median"`
	// Slowness is the rank's own time over the time expected for its expert load,
	// smoothed over reports.
	Slowness  float64 `json:"slowness"`
	Recovered bool    `json:"recovered"`
}

// String formats the evidence for operators.
func (s Straggler) String() string {
	state := "is a straggler"
	if s.Recovered {
		state = "has recovered"
	}
	return fmt.Sprintf("rank %d %s: own step time %v, median %v, %.2f times slower than its load accounts for",
		s.Rank, state, s.Own, s.Median, s.Slowness)
}

// SpeedMeter detects stragglers. It compares each rank's own step time with the
// time expected for its experts, so that a rank that is late because of its load
// doesn't count as slow. After a restart it is rebuilt from a few reports.
type SpeedMeter struct {
	layers    int
	base      float64
	baseKnown bool
	slowness  []float64
	streak    []int
	slow      []bool
	speeds    Speeds
}

// NewSpeedMeter returns a meter with even speeds for a group of a valid shape.
func NewSpeedMeter(s Shape) *SpeedMeter {
	return &SpeedMeter{
		layers:   s.Layers,
		slowness: make([]float64, s.Ranks),
		streak:   make([]int, s.Ranks),
		slow:     make([]bool, s.Ranks),
		speeds:   EvenSpeeds(s.Ranks),
	}
}

// Speeds returns a copy of the ranks' speeds, which are 1 except for stragglers.
func (m *SpeedMeter) Speeds() Speeds { return slices.Clone(m.speeds) }

// Base returns the work other than experts that a rank does in a layer, in units of
// the mean rank's expert load in a layer. It is zero until the reports allow an
// estimate.
func (m *SpeedMeter) Base() float64 { return m.base }

// Observe adds one report: each rank's own compute time in a step, and the expert
// load that it served, in units of the mean rank's load in a layer and summed over
// the layers. It returns the ranks that became stragglers or recovered.
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
		if m.updateState(r, times[r] > medianTime) {
			found = append(found, Straggler{
				Rank:      Rank(r),
				Own:       own[r],
				Median:    time.Duration(medianTime * float64(time.Second)),
				Slowness:  m.slowness[r],
				Recovered: !m.slow[r],
			})
		}
		m.updateSpeed(r)
	}
	return found
}

func (m *SpeedMeter) smooth(r int, slowness float64) {
	if math.IsNaN(slowness) || math.IsInf(slowness, 0) {
		// The time of an idle rank without base work says nothing about its speed.
		return
	}
	if m.slowness[r] == 0 {
		m.slowness[r] = slowness
		return
	}
	m.slowness[r] += slownessWeight * (slowness - m.slowness[r])
}

// updateState reports whether the rank became or ceased to be a straggler.
func (m *SpeedMeter) updateState(r int, late bool) bool {
	contradicts := m.slowness[r] > stragglerEnter && late
	if m.slow[r] {
		contradicts = m.slowness[r] < stragglerLeave
	}
	if !contradicts {
		m.streak[r] = 0
		return false
	}
	m.streak[r]++
	if m.streak[r] < stragglerReports {
		return false
	}
	m.streak[r] = 0
	m.slow[r] = !m.slow[r]
	return true
}

func (m *SpeedMeter) updateSpeed(r int) {
	if !m.slow[r] {
		m.speeds[r] = 1
		return
	}
	speed := 1 / min(max(m.slowness[r], stragglerLeave), maxSlowness)
	if math.Abs(speed-m.speeds[r]) >= minSpeedChange {
		m.speeds[r] = speed
	}
}

// estimateBase fits time = unit × (base + load) over the ranks by the median of
// pairwise slopes, which is robust to a few stragglers.
func (m *SpeedMeter) estimateBase(times, loads []float64) {
	slope, found := medianSlope(times, loads)
	if !found || slope <= 0 {
		return
	}
	residuals := make([]float64, len(times))
	for r := range residuals {
		residuals[r] = times[r] - slope*loads[r]
	}
	m.addBase(median(residuals) / slope / float64(m.layers))
}

// ObserveSkew adds the measured skew of one report's steps and the skew modelled
// from the expert load alone. It estimates the base in a group that is too small
// for a fit over its ranks: a base as large as the mean rank's load halves the
// skew. It ignores reports while a straggler is suspected, whose delay would be
// attributed to load.
func (m *SpeedMeter) ObserveSkew(measured, modelled float64) {
	ranks := len(m.speeds)
	if ranks*(ranks-1)/2 >= minSlopesPerRank*ranks || modelled < minBaseSkew || measured <= 0 || m.stragglerSuspected() {
		return
	}
	m.addBase(modelled/measured - 1)
}

// stragglerSuspected reports whether a rank is a straggler or may be becoming one.
func (m *SpeedMeter) stragglerSuspected() bool {
	return slices.Contains(m.slow, true) || slices.Max(m.streak) > 0
}

// addBase adds an estimate of the base to its moving average.
func (m *SpeedMeter) addBase(base float64) {
	base = min(max(base, 0), maxBase)
	if !m.baseKnown {
		m.base = base
		m.baseKnown = true
		return
	}
	m.base += baseWeight * (base - m.base)
}

// medianSlope returns the median slope over the pairs of ranks whose loads differ
// enough, or false if there are too few pairs.
func medianSlope(times, loads []float64) (float64, bool) {
	minDifference := minLoadDifference * sum(loads) / float64(len(loads))
	var slopes []float64
	for i := range loads {
		for j := range i {
			difference := loads[i] - loads[j]
			if math.Abs(difference) > minDifference {
				slopes = append(slopes, (times[i]-times[j])/difference)
			}
		}
	}
	if len(slopes) < minSlopesPerRank*len(loads) {
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
