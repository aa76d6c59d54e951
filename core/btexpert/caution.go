package btexpert

import (
	"math"
	"time"
)

const (
	// restStrain is the strain up to which maps rest: a group that a change of
	// demand makes half as slow again still answers in time. followStrain is that
	// from which on they follow the load as fast as they can.
	restStrain   = 0.5
	followStrain = 0.9
	// restPrice is how many times its price a change has to be worth at rest. Twice as
	// much, with rest up to 0.6, served nobody better where answers are early (mean
	// worth of five simulated days 0.778 both) and cost 0.02 and 0.03 where steps are
	// near the allowed pause.
	restPrice = 10.0
)

// PeakStrain remembers the worst strain of late. What an even group is worth shows
// when other experts come into demand: the steps are longer at once, for as long as
// it takes to follow, and a group that was even before is less uneven then.
type PeakStrain struct {
	worst float64
	at    time.Time
}

// strainHalfLife is the time in which a strain loses half of its weight: about two
// changes of demand as they are seen in high load, 3 to 4 s apart.
const strainHalfLife = 8 * time.Second

// Observe takes a strain in and returns the worst of late. All from which on maps
// follow as fast as they can counts as the same, so that an outage is not remembered
// for longer than a change of demand. Where nothing is remembered yet the group is
// taken for strained.
func (m *PeakStrain) Observe(now time.Time, strain float64) float64 {
	if m.at.IsZero() {
		strain = followStrain
	}
	m.worst *= math.Exp2(-float64(now.Sub(m.at)) / float64(strainHalfLife))
	m.at = now
	m.worst = max(m.worst, min(strain, followStrain))
	return m.worst
}

// PriceFactor returns how many times its price, and how many times the least gain, a
// change of a map has to be worth where answers take the given share of the time that
// callers are promised. An even group is of no use to callers whose answers are early
// all the same, and of much where steps are as long as they may be. On a simulated calm
// day with ten changes of demand, first events after 0.4 of the promised time, 50 maps
// moved 420 GB with caution and 171 maps 1,518 GB without, and as many were in time.
func PriceFactor(strain float64) float64 {
	far := (followStrain - strain) / (followStrain - restStrain)
	return math.Pow(restPrice, min(max(far, 0), 1))
}
