package btexpert_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btexpert"
)

// chosen turns a load into the choices that a group's ranks tell of.
func chosen(load btexpert.Load) []byte {
	var choices []byte
	for _, layer := range load {
		most := slices.Max(layer)
		for _, v := range layer {
			choices = append(choices, byte(1+254*v/most))
		}
	}
	return choices
}

// A group of 72 ranks is down for four seconds. With the first states heard it gets a
// map for what was in demand before, in place of steps of twice the length until new
// choices are heard.
func TestTheFirstMapAfterAnOutageFollowsTheDemandBefore(t *testing.T) {
	shape := btexpert.Shape{Ranks: 72, Layers: 12, Experts: 144, Slots: 3, ExpertBytes: 1}
	load := skewedLoad(shape, rand.New(rand.NewPCG(3, 3)))
	now := time.Unix(1000, 0)
	var c btexpert.Activations
	for range 10 {
		c.Add(now, chosen(load), 1)
		now = now.Add(200 * time.Millisecond)
	}
	now = now.Add(4 * time.Second)
	c.Resume(now)
	known, total := c.Load(shape.Layers, shape.Experts)
	assert.Assert(t, total > 0)
	plan := btexpert.FastRebalance(btexpert.SingleReplica(shape), known, btexpert.FastLimits{MaxLayerTransfers: 2, TransferCost: 0.01, MaxChanges: 60})
	assert.Assert(t, plan.PeakAfter < 0.7*plan.PeakBefore, "%.2f to %.2f", plan.PeakBefore, plan.PeakAfter)
	// Without the news that the group has formed, the first choices that come after it
	// are all that counts.
	var forgets btexpert.Activations
	forgets.Add(now.Add(-4*time.Second), chosen(load), 1)
	forgets.Add(now, make([]byte, shape.Layers*shape.Experts), 1)
	_, total = forgets.Load(shape.Layers, shape.Experts)
	assert.Assert(t, total < 1, "%.1f", total)
}

func TestChoicesLoseWeight(t *testing.T) {
	now := time.Unix(1000, 0)
	var c btexpert.Activations
	c.Add(now, []byte{100, 0}, 1)
	c.Add(now.Add(150*time.Millisecond), []byte{0, 10}, 2)
	load, total := c.Load(1, 2)
	assert.DeepEqual(t, load, btexpert.Load{{50, 20}})
	assert.Equal(t, total, 70.0)
	load, _ = c.Load(2, 2)
	assert.Assert(t, load == nil, "choices of another shape tell nothing")
}
