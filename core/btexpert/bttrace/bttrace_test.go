package bttrace_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btexpert"
	"bilberrytide/core/btexpert/bttrace"
)

var shape = btexpert.Shape{Ranks: 8, Layers: 2, Experts: 16, Slots: 3, ExpertBytes: 1}

func TestTracesAreSeededAndMatchTheirKind(t *testing.T) {
	for _, kind := range bttrace.Kinds() {
		a := bttrace.New(kind, shape, 1, time.Hour, 1)
		b := bttrace.New(kind, shape, 1, time.Hour, 1)
		early := a.Popularity(time.Minute)
		assert.DeepEqual(t, a.Sample(early, 1000), b.Sample(early, 1000))
		for _, shares := range early {
			total := 0.0
			for _, v := range shares {
				total += v
			}
			assert.Assert(t, math.Abs(total-1) < 1e-9, "%s: shares sum to %v", kind, total)
		}
		changed := early[0][0] != a.Popularity(40 * time.Minute)[0][0]
		constant := kind == bttrace.Steady || kind == bttrace.Straggler
		assert.Equal(t, changed, !constant, "%s", kind)
		slow := a.Speeds(30 * time.Minute)[5] < 1
		assert.Equal(t, slow, kind == bttrace.Straggler || kind == bttrace.StragglerDrift, "%s", kind)
	}
}

func TestPerfectSplitIsEven(t *testing.T) {
	trace := bttrace.New(bttrace.Steady, shape, 1, time.Hour, 1)
	popularity := trace.Popularity(0)[0]
	speeds := btexpert.EvenSpeeds(shape.Ranks)
	speeds[2] = 0.5
	counts := make([]int64, shape.Experts)
	for e, v := range popularity {
		counts[e] = int64(v * 1e9)
	}
	times := bttrace.SplitTimes(bttrace.PerfectSplit(popularity, speeds), counts, speeds)
	for r, v := range times {
		assert.Assert(t, math.Abs(v/times[0]-1) < 1e-6, "rank %d: %v, rank 0: %v", r, v, times[0])
	}
}
