package btexpert

import (
	"math"
	"time"
)

const (
	// lowStrain is the strain up to which a change costs most: a group whose steps
	// become half as long again when the demand changes still answers in time. From
	// highStrain on, maps follow the load as fast as they can.
	lowStrain  = 0.5
	highStrain = 0.9
	// maxPriceFactor is how many times its price a change must be worth at low
	// strain. With a larger one less is served in time where steps are near the
	// allowed pause.
	maxPriceFactor = 10.0
)

// PeakStrain is a decaying maximum of the strain: the time that answers take, as a
// share of the time promised to callers. It remembers the strain just after a
// change of demand, when steps are longer until the map follows. That is what a
// balanced map is worth, as a group that was balanced before the change is less
// uneven after it.
type PeakStrain struct {
	peak      float64
	updatedAt time.Time
}

// strainHalfLife is the time in which a strain loses half of its weight: about two
// changes of demand as seen under high load, 3 to 4 s apart.
const strainHalfLife = 8 * time.Second

// Observe adds a strain and returns the decayed maximum. Strains are capped at
// highStrain, from which on maps follow as fast as they can, so that an outage
// isn't remembered for longer than a change of demand. The first call returns
// highStrain, as a group without history may be strained.
func (m *PeakStrain) Observe(now time.Time, strain float64) float64 {
	if m.updatedAt.IsZero() {
		strain = highStrain
	}
	m.peak *= math.Exp2(-float64(now.Sub(m.updatedAt)) / float64(strainHalfLife))
	m.updatedAt = now
	m.peak = max(m.peak, min(strain, highStrain))
	return m.peak
}

// PriceFactor returns how many times its price, and how many times the least gain,
// a change of the map must be worth at a strain. A balanced map is of no use to
// callers whose answers are early anyway, where changes only move weights, and of much
// use where steps are as long as they may be.
func PriceFactor(strain float64) float64 {
	slack := (highStrain - strain) / (highStrain - lowStrain)
	return math.Pow(maxPriceFactor, min(max(slack, 0), 1))
}
