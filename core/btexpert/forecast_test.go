package btexpert_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btexpert"
	"bilberrytide/core/btexpert/bttrace"
)

// outcome holds the forecast and the measured skews of one change.
type outcome struct {
	expectedBefore, expectedAfter, before, after float64
}

// miss returns the difference between the expected and the measured fall of the
// skew, as a share of the measured one.
func (o outcome) miss() float64 {
	fall := o.before - o.after
	return math.Abs(o.expectedBefore-o.expectedAfter-fall) / math.Abs(fall)
}

// outcomes parses the decider's explanations of measured changes.
func (r *traceRun) outcomes() []outcome {
	var list []outcome
	for _, e := range r.explained {
		if e.Reason != btexpert.ExplainMeasured {
			continue
		}
		var o outcome
		_, err := fmt.Sscanf(e.Detail, "skew expected %f to %f, measured %f to %f;", &o.expectedBefore, &o.expectedAfter, &o.before, &o.after)
		if err != nil {
			panic(err)
		}
		list = append(list, o)
	}
	return list
}

// forecastRanks are the sizes of the groups whose forecasts are checked. The first
// is too small for a fit over its ranks.
var forecastRanks = []int{2, 4, 16}

// baseWork is the work other than experts, in units of the mean rank's expert work.
const baseWork = 1.0

// firstChange runs a steady trace against a group whose steps include base work,
// and returns the outcome of its first change, or none.
func firstChange(ranks int, base float64, seed uint64) []outcome {
	s := btexpert.Shape{Ranks: ranks, Layers: 2, Experts: 8 * ranks, Slots: 10, ExpertBytes: 44 << 20}
	const length = 20 * time.Minute
	r := newTraceRun(length, s, bttrace.Steady, seed, newDecider(btexpert.Incremental{}), himal)
	r.base = base
	return r.playWhile(func() bool { return len(r.outcomes()) == 0 }).outcomes()
}

// Guards against forecasts that ignore the base work and so expect too large a fall
// of the skew, in particular in a group of two ranks, where the base can't be
// fitted over the ranks.
func TestFirstForecastIncludesBaseWork(t *testing.T) {
	t.Parallel()
	for _, ranks := range forecastRanks {
		for _, seed := range []uint64{1, 2, 3} {
			list := firstChange(ranks, baseWork, seed)
			assert.Assert(t, len(list) > 0, "%d ranks, seed %d: never acted", ranks, seed)
			first := list[0]
			assert.Assert(t, first.miss() < 0.2, "%d ranks, seed %d: %+v", ranks, seed, first)
		}
	}
}

// BenchmarkForecasts prints the first change's forecast beside the measured skews.
func BenchmarkForecasts(b *testing.B) {
	if b.N != 1 {
		return
	}
	fmt.Printf("\n%5s %5s %5s  %15s  %15s  %5s\n", "ranks", "base", "seed", "expected skew", "measured skew", "miss")
	for _, ranks := range forecastRanks {
		for _, base := range []float64{0, baseWork} {
			for _, seed := range []uint64{1, 2, 3} {
				for _, o := range firstChange(ranks, base, seed) {
					fmt.Printf("%5d %5.1f %5d  %6.3f to %5.3f  %6.3f to %5.3f  %4.0f%%\n", ranks, base, seed, o.expectedBefore, o.expectedAfter, o.before, o.after, 100*o.miss())
				}
			}
		}
	}
}
