package btgate

import (
	"math"
	"time"
)

// LatencyRatio estimates how close a service's latencies are to the promised ones. The
// mean alone says little, as the worst pause of a stream makes it late, so the mean
// deviation is added as in the retransmission timer of RFC 6298.
type LatencyRatio struct {
	mean, deviation float64
	measured        bool
}

const (
	// latencyWeight is the weight of one sample in the moving averages. It is half of
	// the weight in RFC 6298, as the streams of a group pause together and give dozens
	// of samples per step.
	latencyWeight = 1.0 / 16
	// deviationFactor is the number of mean deviations added to the mean. About one in
	// twenty normally distributed samples is above the sum.
	deviationFactor = 2.0
	// maxLatencyRatio caps one sample, as a multiple of the promised time. The pause of
	// a group that waits for a lost member isn't caused by its load.
	maxLatencyRatio = 2.0
)

// Add records how long an event took and the promised time. It does nothing if the
// promised time is zero.
func (r *LatencyRatio) Add(took, promised time.Duration) {
	if promised <= 0 {
		return
	}
	ratio := min(float64(took)/float64(promised), maxLatencyRatio)
	if !r.measured {
		r.measured = true
		r.mean = ratio
		return
	}
	r.deviation += latencyWeight * (math.Abs(ratio-r.mean) - r.deviation)
	r.mean += latencyWeight * (ratio - r.mean)
}

// Value returns the level below which nearly all events stay, as a fraction of the
// promised time. Above 1 many events are late. It is 0 before the first sample.
func (r *LatencyRatio) Value() float64 { return r.mean + deviationFactor*r.deviation }
