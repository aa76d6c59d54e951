package btgate

import (
	"math"
	"time"
)

// LatencyRatio measures how near the answers of a service come to what its callers are
// promised. The mean tells little of that, as a stream is late by its worst
// pause: so the spread counts too, in the way in which a retransmission timer
// (RFC 6298) takes it in.
type LatencyRatio struct {
	mean, deviation float64
	measured        bool
}

const (
	// latencyWeight is the weight of one measured time in the moving averages: that
	// of RFC 6298 halved, as a group's streams pause together and so bring dozens
	// of times a pass.
	latencyWeight = 1.0 / 16
	// deviationFactor is how many mean deviations are added to the mean: about what
	// one in twenty of normally spread times exceeds.
	deviationFactor = 2.0
	// maxLatencyRatio bounds one measured time, in multiples of the promised one: a
	// group that waits for a lost member says nothing of its load.
	maxLatencyRatio = 2.0
)

// Add takes in how long an event took and how long it may take by what callers
// are promised; nothing is promised where that is zero.
func (s *LatencyRatio) Add(took, promised time.Duration) {
	if promised <= 0 {
		return
	}
	ratio := min(float64(took)/float64(promised), maxLatencyRatio)
	if !s.measured {
		s.measured = true
		s.mean = ratio
		return
	}
	s.deviation += latencyWeight * (math.Abs(ratio-s.mean) - s.deviation)
	s.mean += latencyWeight * (ratio - s.mean)
}

// Value returns what nearly all events stay below, as a share of the promised
// time: above 1 many are late. It is 0 before anything was measured.
func (s *LatencyRatio) Value() float64 { return s.mean + deviationFactor*s.deviation }
