package btexpert_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btexpert"
)

// heldShare plays changes that are wanted every 0.7 s for a minute, and returns the
// part of the time for which they hold the group.
func heldShare(hold func() time.Duration, allows func(time.Time) bool, held func(time.Time, time.Duration)) (share float64, changes int) {
	begin := time.Unix(1000, 0)
	const minute = time.Minute
	total := time.Duration(0)
	for now := begin; now.Before(begin.Add(minute)); now = now.Add(700 * time.Millisecond) {
		if !allows(now) {
			continue
		}
		took := hold()
		held(now, took)
		total += took
		changes++
	}
	return total.Seconds() / minute.Seconds(), changes
}

func TestHoldBudgetBoundsWhatUnansweredOrdersCost(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	slow := func() time.Duration { return time.Duration(100+random.IntN(300)) * time.Millisecond }
	without, _ := heldShare(slow, func(time.Time) bool { return true }, func(time.Time, time.Duration) {})
	var b btexpert.StallBudget
	with, _ := heldShare(slow, b.Allows, b.Record)
	t.Logf("held for %.3f of the time without a budget, %.3f with one", without, with)
	assert.Assert(t, without > 0.3)
	assert.Assert(t, with < 0.08)
}

func TestHoldBudgetLeavesUsualChangesAlone(t *testing.T) {
	usual := func() time.Duration { return 30 * time.Millisecond }
	var b btexpert.StallBudget
	_, with := heldShare(usual, b.Allows, b.Record)
	_, without := heldShare(usual, func(time.Time) bool { return true }, func(time.Time, time.Duration) {})
	assert.Equal(t, with, without)
}

// One hold of seconds, as by a host that stood still, costs a short rest and none
// once changes go well again.
func TestHoldBudgetForgetsOneLongHold(t *testing.T) {
	begin := time.Unix(1000, 0)
	var b btexpert.StallBudget
	b.Record(begin, 3*time.Second)
	assert.Assert(t, !b.Allows(begin.Add(time.Second)))
	later := begin.Add(2500 * time.Millisecond)
	assert.Assert(t, b.Allows(later))
	b.Record(later, 30*time.Millisecond)
	assert.Assert(t, b.Allows(later))
}
