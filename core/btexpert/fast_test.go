package btexpert_test

import (
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btexpert"
)

// skewedLoad returns a load in which popularity falls as a power of an expert's
// place in a random order, as in production engines.
func skewedLoad(s btexpert.Shape, random *rand.Rand) btexpert.Load {
	load := make(btexpert.Load, s.Layers)
	for l := range load {
		load[l] = make([]float64, s.Experts)
		for i, e := range random.Perm(s.Experts) {
			load[l][e] = 1000 / math.Pow(float64(i+1), 0.9)
		}
	}
	return load
}

func fastShapes() map[string]btexpert.Shape {
	return map[string]btexpert.Shape{
		"16 ranks": {Ranks: 16, Layers: 4, Experts: 64, Slots: 5, ExpertBytes: 1},
		"72 ranks": {Ranks: 72, Layers: 12, Experts: 144, Slots: 3, ExpertBytes: 1},
		// A plan for a group of this size must take less than 20 ms.
		"192 ranks": {Ranks: 192, Layers: 10, Experts: 384, Slots: 3, ExpertBytes: 1},
	}
}

func TestFastRebalanceRespectsLimits(t *testing.T) {
	limits := btexpert.FastLimits{MaxLayerTransfers: 1, TransferCost: 0.01, MaxChanges: 40}
	for name, s := range fastShapes() {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(7, 7))
			m := btexpert.SingleReplica(s)
			for range 6 {
				plan := btexpert.FastRebalance(m, skewedLoad(s, random), limits)
				assert.NilError(t, plan.Map.Validate())
				assert.Assert(t, plan.PeakAfter <= plan.PeakBefore)
				assert.Equal(t, plan.Transfers, countTransfers(t, m, plan.Map, limits.MaxLayerTransfers))
				m = plan.Map
			}
		})
	}
}

// countTransfers counts the experts that are new to a rank, and checks the limit
// per layer.
func countTransfers(t *testing.T, from, to btexpert.Map, most int) int {
	t.Helper()
	total := 0
	for l := range to.Layers {
		for r, experts := range to.Layers[l].Ranks {
			count := 0
			for _, e := range experts {
				if !contains(from.Layers[l].Ranks[r], e) {
					count++
				}
			}
			assert.Assert(t, count <= most, "layer %d rank %d: %d new", l, r, count)
			total += count
		}
	}
	return total
}

func contains(list []btexpert.Expert, e btexpert.Expert) bool {
	for _, v := range list {
		if v == e {
			return true
		}
	}
	return false
}

func TestFastRebalanceBalancesInTwoPlans(t *testing.T) {
	s := fastShapes()["16 ranks"]
	load := skewedLoad(s, rand.New(rand.NewPCG(1, 2)))
	limits := btexpert.FastLimits{MaxLayerTransfers: 2, TransferCost: 0.005, MaxChanges: 60}
	first := btexpert.FastRebalance(btexpert.SingleReplica(s), load, limits)
	second := btexpert.FastRebalance(first.Map, load, limits)
	t.Logf("peak over mean: %.2f, %.2f, %.2f; transfers %d, %d", first.PeakBefore, first.PeakAfter, second.PeakAfter, first.Transfers, second.Transfers)
	assert.Assert(t, second.PeakAfter < 1.15)
}

// Guards against plans that ignore Slowness: the loads are even, so only the slow
// rank makes the layers uneven.
func TestFastRebalanceRelievesSlowRank(t *testing.T) {
	s := fastShapes()["16 ranks"]
	load := make(btexpert.Load, s.Layers)
	for l := range load {
		load[l] = make([]float64, s.Experts)
		for e := range load[l] {
			load[l][e] = 100
		}
	}
	limits := btexpert.FastLimits{MaxLayerTransfers: 2, TransferCost: 0.005, MaxChanges: 60, Slowness: make([]float64, s.Ranks)}
	limits.Slowness[3] = 4
	m := btexpert.SingleReplica(s)
	first := btexpert.FastRebalance(m, load, limits)
	second := btexpert.FastRebalance(first.Map, load, limits)
	t.Logf("peak over mean: %.2f, %.2f, %.2f; transfers %d, %d", first.PeakBefore, first.PeakAfter, second.PeakAfter, first.Transfers, second.Transfers)
	assert.Assert(t, first.PeakBefore > 3.5)
	assert.Assert(t, second.PeakAfter < 1.5)
}

func TestFastRebalanceKeepsBalancedMap(t *testing.T) {
	s := fastShapes()["16 ranks"]
	load := make(btexpert.Load, s.Layers)
	for l := range load {
		load[l] = make([]float64, s.Experts)
		for e := range load[l] {
			load[l][e] = 100
		}
	}
	plan := btexpert.FastRebalance(btexpert.SingleReplica(s), load, btexpert.FastLimits{MaxLayerTransfers: 2, TransferCost: 0.01, MaxChanges: 60})
	assert.Equal(t, plan.Transfers, 0)
}

func BenchmarkFastRebalance(b *testing.B) {
	for name, s := range fastShapes() {
		b.Run(name, func(b *testing.B) {
			load := skewedLoad(s, rand.New(rand.NewPCG(1, 2)))
			m := btexpert.SingleReplica(s)
			limits := btexpert.FastLimits{MaxLayerTransfers: 1, TransferCost: 0.01, MaxChanges: 40}
			var plan btexpert.FastPlan
			for b.Loop() {
				plan = btexpert.FastRebalance(m, load, limits)
			}
			b.ReportMetric(plan.PeakAfter, "peak/mean")
			b.ReportMetric(float64(plan.Transfers), "loads")
		})
	}
}
