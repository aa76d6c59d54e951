package btexpert

import (
	"math"
	"time"
)

const (
	// lowLatencyRatio is the latency ratio up to which a change costs most: a group whose steps
	// become half as long again when the demand changes still answers in time. From
	// highLatencyRatio on, maps follow the load as fast as they can.
	lowLatencyRatio  = 0.5
	highLatencyRatio = 0.9
	// maxPriceFactor is how many times its price a change must be worth at low
	// latency ratio. With a larger one less is served in time where steps are near the
	// allowed pause.
	maxPriceFactor = 10.0
)

// PeakLatencyRatio is a decaying maximum of the latency ratio: the time that answers take, as a
// share of the time promised to clients. It retains the latency ratio just after a
// change of demand, when steps are longer until the map follows. That is what a
// balanced map is worth, as a group that was balanced before the change is less
// uneven after it.
type PeakLatencyRatio struct {
	peak      float64
	updatedAt time.Time
}

// latencyRatioHalfLife is the time in which a latency ratio loses half of its weight: about two
// changes of demand as seen under high load, 3 to 4 s apart.
const latencyRatioHalfLife = 8 * time.Second

// Observe adds a latency ratio and returns the decayed maximum. Latency ratios are capped at
// highLatencyRatio, from which on maps follow as fast as they can, so that an outage
// isn't retained for longer than a change of demand. The first call returns
// highLatencyRatio, as a group without history may be near its limit.
func (m *PeakLatencyRatio) Observe(now time.Time, latencyRatio float64) float64 {
	if m.updatedAt.IsZero() {
		latencyRatio = highLatencyRatio
	}
	m.peak *= math.Exp2(-float64(now.Sub(m.updatedAt)) / float64(latencyRatioHalfLife))
	m.updatedAt = now
	m.peak = max(m.peak, min(latencyRatio, highLatencyRatio))
	return m.peak
}

// PriceFactor returns how many times its price, and how many times the least gain,
// a change of the map must be worth at a latency ratio. A balanced map gains nothing
// for clients whose responses are early anyway, where changes only move weights, and gains
// most where steps are as long as allowed.
func PriceFactor(latencyRatio float64) float64 {
	slack := (highLatencyRatio - latencyRatio) / (highLatencyRatio - lowLatencyRatio)
	return math.Pow(maxPriceFactor, min(max(slack, 0), 1))
}
