package btexpert_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bilberrytide/core/btexpert"
)

func drawShape(t *rapid.T) btexpert.Shape {
	s := btexpert.Shape{
		Ranks:       rapid.IntRange(1, 9).Draw(t, "ranks"),
		Layers:      rapid.IntRange(1, 3).Draw(t, "layers"),
		Experts:     rapid.IntRange(1, 12).Draw(t, "experts"),
		ExpertBytes: rapid.Int64Range(1, 1<<30).Draw(t, "bytes"),
	}
	least := (s.Experts + s.Ranks - 1) / s.Ranks
	s.Slots = rapid.IntRange(least, s.Experts).Draw(t, "slots")
	return s
}

func drawProblem(t *rapid.T) btexpert.Problem {
	s := drawShape(t)
	d := btexpert.Demand{
		Speeds:    btexpert.EvenSpeeds(s.Ranks),
		Base:      rapid.SampledFrom([]float64{0, 0, 10, 1000}).Draw(t, "base"),
		SkewFloor: rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "floor"),
	}
	for range s.Layers {
		load := rapid.SliceOfN(rapid.SampledFrom([]float64{0, 0, 1, 2, 50, 1e6}), s.Experts, s.Experts).Draw(t, "load")
		d.Load = append(d.Load, load)
	}
	if rapid.Bool().Draw(t, "straggler") {
		d.Speeds[rapid.IntRange(0, s.Ranks-1).Draw(t, "slow")] = 0.3
	}
	return btexpert.Problem{Map: btexpert.Uniform(s), Demand: d, CostModel: btexpert.CostModel{
		SkewWeight: rapid.SampledFrom([]float64{0, 1, 8}).Draw(t, "skew weight"),
		MoveWeight: rapid.SampledFrom([]float64{0, 1, 8}).Draw(t, "move weight"),
		Horizon:    time.Minute * time.Duration(rapid.IntRange(1, 60).Draw(t, "horizon")),
		StoreRate:  rapid.SampledFrom([]float64{1, 1e6, 1e9}).Draw(t, "rate"),
		Stall:      switchStall,
	}}
}

func allPlanners() []btexpert.Planner {
	return []btexpert.Planner{btexpert.Static{}, btexpert.Greedy{}, btexpert.Incremental{}, btexpert.Anytime{Seed: 7}}
}

// Each planner must be deterministic and leave the map in force unmodified. Its
// plan must be valid, no slower than the map in force and no faster than the bound.
func TestPlansAreValidAndNeverWorse(t *testing.T) {
	t.Parallel()
	for _, p := range allPlanners() {
		t.Run(p.Name(), rapid.MakeCheck(func(t *rapid.T) {
			q := drawProblem(t)
			before := q.Map.Digest()
			plan := p.Plan(q)
			assert.NilError(t, q.Demand.Validate(q.Map.Shape))
			assert.NilError(t, plan.Map.Validate())
			assert.NilError(t, plan.Map.Fits(q.Map.Shape))
			assert.Assert(t, plan.After <= plan.Before)
			assert.Equal(t, plan.After, btexpert.StepTime(plan.Map, q.Demand))
			assert.DeepEqual(t, plan.Moves, btexpert.Diff(q.Map, plan.Map))
			assert.Assert(t, plan.After >= btexpert.Bound(q.Map.Shape, q.Demand)*(1-1e-9), "faster than the bound")
			assert.Equal(t, q.Map.Digest(), before, "the map in force was changed")
			assert.Equal(t, p.Plan(q).Map.Digest(), plan.Map.Digest(), "not deterministic")
		}))
	}
}

func TestStepTimeIsIndependentOfRankOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := drawProblem(t)
		order := rapid.Permutation(ranksOf(q.Map.Shape)).Draw(t, "order")
		m := btexpert.Map{Shape: q.Map.Shape}
		speeds := make(btexpert.Speeds, len(order))
		for _, layer := range q.Map.Layers {
			ranks := make([][]btexpert.Expert, len(order))
			for to, from := range order {
				ranks[to] = layer.Ranks[from]
				speeds[to] = q.Demand.Speeds[from]
			}
			m.Layers = append(m.Layers, btexpert.Layer{Ranks: ranks})
		}
		before := btexpert.StepTime(q.Map, q.Demand)
		d := q.Demand
		d.Speeds = speeds
		assert.Equal(t, btexpert.StepTime(m, d), before)
		// The sums over ranks are in another order, so the last digits may differ.
		assert.Assert(t, math.Abs(btexpert.Bound(m.Shape, d)-btexpert.Bound(m.Shape, q.Demand)) <= 1e-9*before)
	})
}

func ranksOf(s btexpert.Shape) []int {
	ranks := make([]int, s.Ranks)
	for r := range ranks {
		ranks[r] = r
	}
	return ranks
}

func TestIncrementalHasLargerNetGainThanGreedy(t *testing.T) {
	t.Parallel()
	for _, s := range []btexpert.Shape{shape16, shape64} {
		load := zipf(s)
		q := btexpert.Problem{
			Map:       btexpert.Uniform(s),
			Demand:    btexpert.Demand{Load: load, Speeds: btexpert.EvenSpeeds(s.Ranks)},
			CostModel: btexpert.NewCostModel(himal, storeRate, switchStall),
		}
		greedy := btexpert.Greedy{}.Plan(q)
		plan := btexpert.Incremental{}.Plan(q)
		assert.Assert(t, len(plan.Moves) < len(greedy.Moves), "%d moves, greedy %d", len(plan.Moves), len(greedy.Moves))
		netGain := plan.Gain(q.CostModel) - plan.Price(q.CostModel)
		assert.Assert(t, netGain > greedy.Gain(q.CostModel)-greedy.Price(q.CostModel))
	}
}

// zipf returns Zipf loads whose order differs from layer to layer.
func zipf(s btexpert.Shape) btexpert.Load {
	load := make(btexpert.Load, s.Layers)
	for l := range load {
		load[l] = make([]float64, s.Experts)
		for e := range load[l] {
			load[l][(e*(2*l+3))%s.Experts] += 1 / float64(e+1)
		}
	}
	return load
}

func TestPlannersRelieveStraggler(t *testing.T) {
	t.Parallel()
	for _, p := range []btexpert.Planner{btexpert.Greedy{}, btexpert.Incremental{}, btexpert.Anytime{}} {
		d := btexpert.Demand{Load: zipf(shape16), Speeds: btexpert.EvenSpeeds(shape16.Ranks)}
		q := btexpert.Problem{Map: btexpert.Uniform(shape16), Demand: d, CostModel: btexpert.NewCostModel(himal, storeRate, switchStall)}
		q.Map = p.Plan(q).Map
		q.Demand.Speeds[5] = 0.5
		plan := p.Plan(q)
		own := btexpert.RankTimes(plan.Map, btexpert.Demand{Load: d.Load, Speeds: btexpert.EvenSpeeds(shape16.Ranks)})
		assert.Assert(t, own[5] < 0.65*mean(own), "%s: %v of mean %v", p.Name(), own[5], mean(own))
	}
}

// The popular expert gets more replicas, and the plan states the transfers for
// that.
func ExampleIncremental() {
	s := btexpert.Shape{Ranks: 4, Layers: 1, Experts: 4, Slots: 2, ExpertBytes: 44 << 20}
	plan := btexpert.Incremental{}.Plan(btexpert.Problem{
		Map:       btexpert.Uniform(s),
		Demand:    btexpert.Demand{Load: btexpert.Load{{70, 10, 10, 10}}, Speeds: btexpert.EvenSpeeds(4)},
		CostModel: btexpert.CostModel{SkewWeight: 1, MoveWeight: 1, Horizon: time.Minute, StoreRate: 200e6},
	})
	fmt.Printf("slowest rank %.1f to %.1f, %d experts loaded, %d bytes\n",
		plan.Before, plan.After, len(plan.Moves), plan.Moves.Bytes(s))
	// Output: slowest rank 40.0 to 26.7, 2 experts loaded, 92274688 bytes
}
