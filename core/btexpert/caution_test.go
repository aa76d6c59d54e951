package btexpert_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btexpert"
)

// shiftingDay is a load whose popular experts change every few seconds, on a
// group that is planned twice a second.
type shiftingDay struct {
	shape btexpert.Shape
	// even is the strain of an even group, expertShare the part of a step that
	// grows with the most loaded rank.
	even, expertShare float64
}

const (
	plansPerShift = 7
	shifts        = 12
	// loadPrice is the price of one expert in the planner's use of Rapid at a
	// gigabyte or so in all layers.
	loadPrice = 0.008
	// leastGain is the least gain of a map that is made where nothing is asked beyond.
	leastGain = 0.05
)

// dayOutcome is what a day's maps cost and gained.
type dayOutcome struct {
	loads int
	// late is in how many of the planning intervals steps took over what callers
	// are promised.
	late int
}

// play follows the load with maps whose price is multiplied by what caution says
// of the strain.
func (d shiftingDay) play(seed uint64, caution func(strain float64) float64) dayOutcome {
	random := rand.New(rand.NewPCG(seed, seed))
	m := btexpert.SingleReplica(d.shape)
	strain := 1.0
	var o dayOutcome
	for range shifts {
		load := skewedLoad(d.shape, random)
		for range plansPerShift {
			c := caution(strain)
			limits := btexpert.FastLimits{MaxLayerTransfers: 4, TransferCost: loadPrice * c, MaxChanges: 60, MaxRankTransfers: 4}
			plan := btexpert.FastRebalance(m, load, limits)
			peak := plan.PeakBefore
			if plan.PeakBefore-plan.PeakAfter >= leastGain*c {
				m = plan.Map
				o.loads += plan.Transfers
				peak = plan.PeakAfter
			}
			strain = d.even * (1 - d.expertShare + d.expertShare*peak)
			if strain > 1 {
				o.late++
			}
		}
	}
	return o
}

func withoutCaution(float64) float64 { return 1 }

// Where answers are early even with an uneven group, maps that follow each shift
// move several times the experts that callers have any use of.
func TestMapsRestWhereAnswersAreEarly(t *testing.T) {
	d := shiftingDay{shape: btexpert.Shape{Ranks: 8, Layers: 6, Experts: 64, Slots: 11, ExpertBytes: 1}, even: 0.35, expertShare: 0.85}
	for seed := range uint64(5) {
		follow := d.play(seed, withoutCaution)
		rest := d.play(seed, btexpert.PriceFactor)
		t.Logf("seed %d: loads %d and %d, late %d and %d", seed, follow.loads, rest.loads, follow.late, rest.late)
		assert.Assert(t, rest.loads*2 <= follow.loads)
		assert.Equal(t, rest.late, follow.late)
	}
}

// Where steps are as long as callers were promised, maps follow as fast as ever.
func TestMapsFollowWhereStepsAreLong(t *testing.T) {
	d := shiftingDay{shape: btexpert.Shape{Ranks: 16, Layers: 4, Experts: 64, Slots: 5, ExpertBytes: 1}, even: 0.85, expertShare: 0.85}
	for seed := range uint64(5) {
		follow := d.play(seed, withoutCaution)
		cautious := d.play(seed, btexpert.PriceFactor)
		t.Logf("seed %d: loads %d and %d, late %d and %d", seed, follow.loads, cautious.loads, follow.late, cautious.late)
		assert.Assert(t, cautious.late <= follow.late+follow.late/20)
	}
}

func TestCautionFallsAsStepsComeNearThePromise(t *testing.T) {
	last := math.Inf(1)
	for strain := 0.0; strain < 1.5; strain += 0.01 {
		c := btexpert.PriceFactor(strain)
		assert.Assert(t, c <= last && c >= 1)
		last = c
	}
	assert.Equal(t, btexpert.PriceFactor(1), 1.0)
}

// The worst strain is remembered over the next change of demand and forgotten after
// some more, and an outage for no longer than that.
func TestStrainIsRememberedOverAChangeOfDemand(t *testing.T) {
	begin := time.Unix(1000, 0)
	for _, worst := range []float64{0.9, 2} {
		var m btexpert.PeakStrain
		assert.Equal(t, m.Observe(begin, 0.3), 0.9, "nothing is known yet")
		m.Observe(begin.Add(time.Minute), worst)
		assert.Assert(t, m.Observe(begin.Add(time.Minute+4*time.Second), 0.3) > 0.6)
		assert.Equal(t, m.Observe(begin.Add(2*time.Minute), 0.3), 0.3)
	}
}
