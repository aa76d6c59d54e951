package btexpert_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btexpert"
)

// fluctuatingLoad simulates a load whose popular experts change every few seconds,
// on a group that is planned twice a second.
type fluctuatingLoad struct {
	shape btexpert.Shape
	// balancedLatencyRatio is the latency ratio of a balanced group, and expertShare the part of
	// a step that grows with the most loaded rank.
	balancedLatencyRatio, expertShare float64
}

const (
	plansPerShift = 7
	shifts        = 12
	// transferCost is the cost of loading one expert in the planner that uses
	// FastRebalance, for experts of about a gigabyte over all layers.
	transferCost = 0.008
	// minGain is the least gain of a map change at a price factor of 1.
	minGain = 0.05
)

// fluctuationResult is what the maps of a simulation cost and gained.
type fluctuationResult struct {
	transfers int
	// late is the number of planning intervals in which steps took longer than
	// promised to clients.
	late int
}

// simulate follows the load with maps whose cost and least gain are multiplied by
// the price factor for the latency ratio.
func (d fluctuatingLoad) simulate(seed uint64, priceFactor func(latencyRatio float64) float64) fluctuationResult {
	random := rand.New(rand.NewPCG(seed, seed))
	m := btexpert.SingleReplica(d.shape)
	latencyRatio := 1.0
	var o fluctuationResult
	for range shifts {
		load := skewedLoad(d.shape, random)
		for range plansPerShift {
			c := priceFactor(latencyRatio)
			limits := btexpert.FastLimits{MaxLayerTransfers: 4, TransferCost: transferCost * c, MaxChanges: 60, MaxRankTransfers: 4}
			plan := btexpert.FastRebalance(m, load, limits)
			peak := plan.PeakBefore
			if plan.PeakBefore-plan.PeakAfter >= minGain*c {
				m = plan.Map
				o.transfers += plan.Transfers
				peak = plan.PeakAfter
			}
			latencyRatio = d.balancedLatencyRatio * (1 - d.expertShare + d.expertShare*peak)
			if latencyRatio > 1 {
				o.late++
			}
		}
	}
	return o
}

func constantFactor(float64) float64 { return 1 }

// Guards against moving several times the experts that clients benefit from: with a
// price factor of 1, maps follow each shift of the load even where answers are
// early on an unbalanced group.
func TestPriceFactorAvoidsTransfersAtLowLatencyRatio(t *testing.T) {
	d := fluctuatingLoad{shape: btexpert.Shape{Ranks: 8, Layers: 6, Experts: 64, Slots: 11, ExpertBytes: 1}, balancedLatencyRatio: 0.35, expertShare: 0.85}
	for seed := range uint64(5) {
		constant := d.simulate(seed, constantFactor)
		scaled := d.simulate(seed, btexpert.PriceFactor)
		t.Logf("seed %d: transfers %d and %d, late %d and %d", seed, constant.transfers, scaled.transfers, constant.late, scaled.late)
		assert.Assert(t, scaled.transfers*2 <= constant.transfers)
		assert.Equal(t, scaled.late, constant.late)
	}
}

// Guards against a price factor that delays the maps where steps are as long as
// promised to clients: no more intervals may be late than without it, within 5%.
func TestPriceFactorAllowsTransfersAtHighLatencyRatio(t *testing.T) {
	d := fluctuatingLoad{shape: btexpert.Shape{Ranks: 16, Layers: 4, Experts: 64, Slots: 5, ExpertBytes: 1}, balancedLatencyRatio: 0.85, expertShare: 0.85}
	for seed := range uint64(5) {
		constant := d.simulate(seed, constantFactor)
		scaled := d.simulate(seed, btexpert.PriceFactor)
		t.Logf("seed %d: transfers %d and %d, late %d and %d", seed, constant.transfers, scaled.transfers, constant.late, scaled.late)
		assert.Assert(t, scaled.late <= constant.late+constant.late/20)
	}
}

func TestPriceFactorFallsWithLatencyRatio(t *testing.T) {
	last := math.Inf(1)
	for latencyRatio := 0.0; latencyRatio < 1.5; latencyRatio += 0.01 {
		c := btexpert.PriceFactor(latencyRatio)
		assert.Assert(t, c <= last && c >= 1)
		last = c
	}
	assert.Equal(t, btexpert.PriceFactor(1), 1.0)
}

// A peak must last over the next change of demand, 4 s later, and have decayed
// after a minute. An outage, with a latency ratio of 2, must not be retained for longer
// than that.
func TestPeakLatencyRatioOutlastsOneDemandChange(t *testing.T) {
	begin := time.Unix(1000, 0)
	for _, worst := range []float64{0.9, 2} {
		var m btexpert.PeakLatencyRatio
		assert.Equal(t, m.Observe(begin, 0.3), 0.9, "no sample yet")
		m.Observe(begin.Add(time.Minute), worst)
		assert.Assert(t, m.Observe(begin.Add(time.Minute+4*time.Second), 0.3) > 0.6)
		assert.Equal(t, m.Observe(begin.Add(2*time.Minute), 0.3), 0.3)
	}
}
