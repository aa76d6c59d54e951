package btgate

import (
	"math"
	"time"
)

// Strain measures how near the answers of a service come to what its callers are
// promised. The mean tells little of that, as a stream is late by its worst
// pause: so the spread counts too, in the way in which a retransmission timer
// (RFC 6298) takes it in.
type Strain struct {
	mean, deviation float64
	measured        bool
}

const (
	// strainWeight is the weight of one measured time in the moving averages: that
	// of RFC 6298 halved, as a group's streams pause together and so bring dozens
	// of times a pass.
	strainWeight = 1.0 / 16
	// strainSpread is how many mean deviations are added to the mean: about what
	// one in twenty of normally spread times exceeds.
	strainSpread = 2.0
	// strainMost bounds one measured time, in multiples of the promised one: a
	// group that waits for a lost member says nothing of its load.
	strainMost = 2.0
)

// Add takes in how long an event took and how long it may take by what callers
// are promised; nothing is promised where that is zero.
func (s *Strain) Add(took, promised time.Duration) {
	if promised <= 0 {
		return
	}
	share := min(float64(took)/float64(promised), strainMost)
	if !s.measured {
		s.measured = true
		s.mean = share
		return
	}
	s.deviation += strainWeight * (math.Abs(share-s.mean) - s.deviation)
	s.mean += strainWeight * (share - s.mean)
}

// Value returns what nearly all events stay below, as a share of the promised
// time: above 1 many are late. It is 0 before anything was measured.
func (s *Strain) Value() float64 { return s.mean + strainSpread*s.deviation }
