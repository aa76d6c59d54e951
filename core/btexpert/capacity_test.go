package btexpert_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btexpert"
)

// BenchmarkPlanSizes measures one search of Incremental, the planner in use, from a
// uniform map under Zipf popularity, by ranks and by layers. Each shape has slots
// for at least two replicas per expert.
func BenchmarkPlanSizes(b *testing.B) {
	for _, s := range []btexpert.Shape{
		{Ranks: 8, Layers: 8, Slots: 16}, {Ranks: 16, Layers: 8, Slots: 8}, {Ranks: 32, Layers: 8, Slots: 4}, {Ranks: 64, Layers: 8, Slots: 2},
		{Ranks: 64, Layers: 2, Slots: 2}, {Ranks: 64, Layers: 4, Slots: 2}, {Ranks: 64, Layers: 16, Slots: 2}, {Ranks: 64, Layers: 58, Slots: 2},
	} {
		s.Experts, s.ExpertBytes = 64, 44<<20
		b.Run(fmt.Sprintf("ranks=%d/layers=%d", s.Ranks, s.Layers), func(b *testing.B) {
			q := btexpert.Problem{
				Map:       btexpert.Uniform(s),
				Demand:    btexpert.Demand{Load: zipf(s), Speeds: btexpert.EvenSpeeds(s.Ranks)},
				CostModel: btexpert.NewCostModel(himal, storeRate, switchStall),
			}
			searches, evaluations := 0, 0
			began := time.Now()
			for b.Loop() {
				plan := btexpert.Incremental{}.Plan(q)
				assert.NilError(b, plan.Map.Validate())
				evaluations += plan.Evaluations
				searches++
			}
			b.ReportMetric(float64(evaluations)/float64(searches), "evaluations/op")
			b.ReportMetric(float64(time.Since(began).Milliseconds())/float64(searches), "ms/op")
		})
	}
}
