package btgroup_test

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"bilberrytide/core/btexpert"
	"bilberrytide/core/btid"
	"bilberrytide/io/btgroup"
	"bilberrytide/io/bttarget"
)

// TestLowestLiveRankLeads guards against a rank that counts as lost before its lease has
// passed, and against lost lower ranks that are never probed again.
func TestLowestLiveRankLeads(t *testing.T) {
	const lease = time.Second
	start := time.Unix(0, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	l := btgroup.NewLiveness(start, 2, 4, lease)
	assert.Equal(t, l.Lead(at(999)), 0, "no rank counts as lost before its lease has passed")
	assert.Equal(t, l.NextProbe(at(999)), -1)
	l.Observe(at(500), 1)
	assert.Equal(t, l.Lead(at(1000)), 1)
	assert.Equal(t, l.NextProbe(at(1000)), 0)
	assert.Equal(t, l.Lead(at(1500)), 2)
	assert.DeepEqual(t, []int{l.NextProbe(at(1500)), l.NextProbe(at(1500)), l.NextProbe(at(1500))}, []int{1, 0, 1})
	assert.DeepEqual(t, l.Missing(at(1500)), []int{0, 1, 3})
	l.Observe(at(1600), 0)
	l.Observe(at(1600), -1)
	l.Observe(at(1600), 4)
	l.Observe(at(100), 0)
	assert.Equal(t, l.Lead(at(2000)), 0)
}

// TestSamplerCountsSinceLastWindow guards against tokens that are counted in two windows,
// and against counts taken across an engine's restart.
func TestSamplerCountsSinceLastWindow(t *testing.T) {
	var s btgroup.Sampler
	add := func(step uint64, ms float64, counts ...uint64) {
		s.Add(bttarget.GroupState{Step: step, Counts: [][]uint64{counts}, StepMillis: ms, GroupStepMillis: 2 * ms})
	}
	assert.Assert(t, s.TakeWindow() == nil)
	add(10, 1, 5, 0, 7)
	assert.Assert(t, s.TakeWindow() == nil, "no step since the first reading")
	add(12, 1, 6, 0, 7)
	add(14, 3, 7, 4, 7)
	want := &btgroup.Window{
		Steps: 4, Own: 2 * time.Millisecond, Group: 4 * time.Millisecond,
		Counts: []btgroup.LayerCounts{{Experts: []btexpert.Expert{0, 1}, Tokens: []int64{2, 4}}},
	}
	assert.DeepEqual(t, s.TakeWindow(), want)
	assert.Assert(t, s.TakeWindow() == nil)
	add(3, 1, 1, 1, 1)
	assert.Assert(t, s.TakeWindow() == nil, "the engine restarted")
	add(4, 1, 2, 2, 2)
	assert.Equal(t, s.TakeWindow().Steps, uint64(1))
}

// TestAggregatorScalesWindowsToMeanSteps guards against a rank that weighs more because
// its window covers more steps, and against windows that don't fit the group.
func TestAggregatorScalesWindowsToMeanSteps(t *testing.T) {
	shape := btexpert.Shape{Ranks: 2, Layers: 1, Experts: 3, Slots: 2, ExpertBytes: 1}
	aggregator := btgroup.NewAggregator(shape)
	window := func(steps uint64, own time.Duration, tokens ...int64) *btgroup.Window {
		w := &btgroup.Window{Steps: steps, Own: own}
		layer := btgroup.LayerCounts{Tokens: tokens}
		for e := range tokens {
			layer.Experts = append(layer.Experts, btexpert.Expert(e))
		}
		w.Counts = []btgroup.LayerCounts{layer}
		return w
	}
	assert.NilError(t, aggregator.Add(0, window(10, time.Millisecond, 100, 0)))
	_, _, _, complete := aggregator.Collect()
	assert.Assert(t, !complete)
	assert.NilError(t, aggregator.Add(1, window(30, 3*time.Millisecond, 300, 0, 600)))
	counts, loads, skew, complete := aggregator.Collect()
	assert.Assert(t, complete)
	// Both ranks' counts are scaled to 20 steps.
	assert.DeepEqual(t, counts, [][]int64{{400, 0, 400}})
	assert.DeepEqual(t, loads, []float64{0.5, 1.5})
	assert.Equal(t, skew, 0.5)
	_, _, _, complete = aggregator.Collect()
	assert.Assert(t, !complete)

	assert.Assert(t, aggregator.Add(0, window(1, 0, 1, 1, 1, 1)) != nil, "one expert too many")
	assert.Assert(t, aggregator.Add(0, &btgroup.Window{Steps: 1}) != nil, "no layer")
}

func TestMalformedReportsAreRefused(t *testing.T) {
	good := btgroup.Report{Group: "g", From: btid.Executor{Target: "t", Incarnation: 1}}
	assert.NilError(t, good.Validate())
	for _, w := range []btgroup.Window{
		{},
		{Steps: 1, Own: -1},
		{Steps: 1, Group: 2 * time.Hour},
		{Steps: 1, Counts: make([]btgroup.LayerCounts, btexpert.MaxLayers+1)},
		{Steps: 1, Counts: []btgroup.LayerCounts{{Experts: []btexpert.Expert{1}}}},
		{Steps: 1, Counts: []btgroup.LayerCounts{{Experts: []btexpert.Expert{1}, Tokens: []int64{-1}}}},
	} {
		bad := good
		bad.Window = &w
		assert.Assert(t, bad.Validate() != nil, "%+v", w)
	}
	assert.Assert(t, btgroup.ReportAnswer{ExpertLoad: -1}.Validate() != nil)
}

// BenchmarkReport reports the size of a report for 58 layers of 64 experts, with two
// experts of each layer on the rank.
func BenchmarkReport(b *testing.B) {
	report := btgroup.Report{Group: "assistant", From: btid.Executor{Target: "himal-assistant-00", Incarnation: 1 << 60}}
	idle, err := cbor.Marshal(report)
	assert.NilError(b, err)
	report.Window = &btgroup.Window{Steps: 1000, Own: time.Millisecond, Group: time.Millisecond}
	for range 58 {
		layer := btgroup.LayerCounts{Experts: []btexpert.Expert{31, 63}, Tokens: []int64{1 << 20, 1 << 20}}
		report.Window.Counts = append(report.Window.Counts, layer)
	}
	var data []byte
	for b.Loop() {
		data, err = cbor.Marshal(report)
	}
	assert.NilError(b, err)
	b.ReportMetric(float64(len(idle)), "idle-bytes")
	b.ReportMetric(float64(len(data)), "window-bytes")
}
