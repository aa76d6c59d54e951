package btexpert_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btexpert"
)

// ownTimes returns step times in milliseconds of base plus load, with one rank
// slowed by a factor.
func ownTimes(loads []float64, base float64, slow int, factor float64) []time.Duration {
	own := make([]time.Duration, len(loads))
	for r, v := range loads {
		own[r] = seconds((base + v) * 1e-3)
		if r == slow {
			own[r] = seconds(own[r].Seconds() * factor)
		}
	}
	return own
}

// A straggler must be reported once when it becomes slow and once when it recovers,
// and its speed and the base must be estimated.
func TestSpeedMeterReportsStragglerAndRecovery(t *testing.T) {
	m := btexpert.NewSpeedMeter(btexpert.Shape{Ranks: 6, Layers: 1, Experts: 6, Slots: 1, ExpertBytes: 1})
	loads := []float64{0.6, 1.4, 1, 0.8, 1.2, 1}
	var found []btexpert.Straggler
	for range 6 {
		found = append(found, m.Observe(ownTimes(loads, 2, 4, 2), loads)...)
	}
	assert.Equal(t, len(found), 1)
	assert.Equal(t, found[0].Rank, btexpert.Rank(4))
	assert.Equal(t, found[0].String(), "rank 4 is a straggler: own step time 6.4ms, median 3ms, 2.00 times slower than its load accounts for")
	assert.Assert(t, m.Base() > 1.9 && m.Base() < 2.1, "base %v, want 2", m.Base())
	assert.Equal(t, m.Speeds()[4], 0.5)
	found = nil
	for range 12 {
		found = append(found, m.Observe(ownTimes(loads, 2, 4, 1), loads)...)
	}
	assert.Equal(t, len(found), 1)
	assert.Assert(t, found[0].Recovered)
	assert.DeepEqual(t, m.Speeds(), btexpert.EvenSpeeds(6))
}

// Guards against reporting a rank as a straggler that is late because of the
// experts on it, or a lightly loaded one on which the base work weighs more.
func TestSpeedMeterIgnoresLoadedRanks(t *testing.T) {
	m := btexpert.NewSpeedMeter(btexpert.Shape{Ranks: 6, Layers: 1, Experts: 6, Slots: 1, ExpertBytes: 1})
	loads := []float64{0.1, 3, 1, 0.8, 0.9, 0.2}
	for range 20 {
		assert.Equal(t, len(m.Observe(ownTimes(loads, 1, -1, 1), loads)), 0)
	}
	assert.DeepEqual(t, m.Speeds(), btexpert.EvenSpeeds(6))
}
