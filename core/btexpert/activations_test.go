package btexpert_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btexpert"
)

// activationsOf converts a load into the activations that a group's ranks report.
func activationsOf(load btexpert.Load) []byte {
	var activations []byte
	for _, layer := range load {
		most := slices.Max(layer)
		for _, v := range layer {
			activations = append(activations, byte(1+254*v/most))
		}
	}
	return activations
}

// Guards against planning the first map after an outage without the earlier demand,
// which leaves steps at twice their length until new activations are reported. A
// group of 72 ranks is down for four seconds, and Resume must keep the weight of
// what was counted before.
func TestActivationsKeepWeightAcrossOutage(t *testing.T) {
	shape := btexpert.Shape{Ranks: 72, Layers: 12, Experts: 144, Slots: 3, ExpertBytes: 1}
	load := skewedLoad(shape, rand.New(rand.NewPCG(3, 3)))
	now := time.Unix(1000, 0)
	var c btexpert.Activations
	for range 10 {
		c.Add(now, activationsOf(load), 1)
		now = now.Add(200 * time.Millisecond)
	}
	now = now.Add(4 * time.Second)
	c.Resume(now)
	known, total := c.Load(shape.Layers, shape.Experts)
	assert.Assert(t, total > 0)
	plan := btexpert.FastRebalance(btexpert.SingleReplica(shape), known, btexpert.FastLimits{MaxLayerTransfers: 2, TransferCost: 0.01, MaxChanges: 60})
	assert.Assert(t, plan.PeakAfter < 0.7*plan.PeakBefore, "%.2f to %.2f", plan.PeakBefore, plan.PeakAfter)
	// Without Resume, the weights from before the outage have decayed to nothing
	// when the first activations arrive.
	var withoutResume btexpert.Activations
	withoutResume.Add(now.Add(-4*time.Second), activationsOf(load), 1)
	withoutResume.Add(now, make([]byte, shape.Layers*shape.Experts), 1)
	_, total = withoutResume.Load(shape.Layers, shape.Experts)
	assert.Assert(t, total < 1, "%.1f", total)
}

func TestActivationsDecay(t *testing.T) {
	now := time.Unix(1000, 0)
	var c btexpert.Activations
	c.Add(now, []byte{100, 0}, 1)
	c.Add(now.Add(150*time.Millisecond), []byte{0, 10}, 2)
	load, total := c.Load(1, 2)
	assert.DeepEqual(t, load, btexpert.Load{{50, 20}})
	assert.Equal(t, total, 70.0)
	load, _ = c.Load(2, 2)
	assert.Assert(t, load == nil, "activations of another shape must be ignored")
}
