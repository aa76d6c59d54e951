package btexpert_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btexpert"
)

// stallShare simulates a minute in which a change is wanted every 0.7 s. It returns
// the share of the time for which changes stall the group, and their number.
func stallShare(stallTime func() time.Duration, allows func(time.Time) bool, record func(time.Time, time.Duration)) (share float64, changes int) {
	begin := time.Unix(1000, 0)
	const minute = time.Minute
	total := time.Duration(0)
	for now := begin; now.Before(begin.Add(minute)); now = now.Add(700 * time.Millisecond) {
		if !allows(now) {
			continue
		}
		took := stallTime()
		record(now, took)
		total += took
		changes++
	}
	return total.Seconds() / minute.Seconds(), changes
}

// Guards against changes that stall the group for over 30% of the time, as each one
// does for 100 to 400 ms while commands stay unanswered.
func TestStallBudgetBoundsLongStalls(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	slow := func() time.Duration { return time.Duration(100+random.IntN(300)) * time.Millisecond }
	without, _ := stallShare(slow, func(time.Time) bool { return true }, func(time.Time, time.Duration) {})
	var b btexpert.StallBudget
	with, _ := stallShare(slow, b.Allows, b.Record)
	t.Logf("stalled for %.3f of the time without a budget, %.3f with one", without, with)
	assert.Assert(t, without > 0.3)
	assert.Assert(t, with < 0.08)
}

// Stalls of the usual length must not reduce the number of changes.
func TestStallBudgetAllowsUsualStalls(t *testing.T) {
	usual := func() time.Duration { return 30 * time.Millisecond }
	var b btexpert.StallBudget
	_, with := stallShare(usual, b.Allows, b.Record)
	_, without := stallShare(usual, func(time.Time) bool { return true }, func(time.Time, time.Duration) {})
	assert.Equal(t, with, without)
}

// One stall of seconds, as by a frozen host, must block changes for a
// short time only, and no longer once stalls have their usual length again.
func TestStallBudgetRecoversFromOneLongStall(t *testing.T) {
	begin := time.Unix(1000, 0)
	var b btexpert.StallBudget
	b.Record(begin, 3*time.Second)
	assert.Assert(t, !b.Allows(begin.Add(time.Second)))
	later := begin.Add(2500 * time.Millisecond)
	assert.Assert(t, b.Allows(later))
	b.Record(later, 30*time.Millisecond)
	assert.Assert(t, b.Allows(later))
}
