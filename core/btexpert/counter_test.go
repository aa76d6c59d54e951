package btexpert_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bilberrytide/core/btexpert"
	"bilberrytide/core/btrequest"
)

var tinyShape = btexpert.Shape{Ranks: 1, Layers: 2, Experts: 2, Slots: 2, ExpertBytes: 1}

func TestCounterDecaysAndAdds(t *testing.T) {
	c := btexpert.NewCounter(tinyShape, time.Minute)
	assert.Assert(t, !c.Complete())
	assert.Equal(t, len(c.Add(epoch, btexpert.Counts{{8, 0}, {4, 4}})), 0)
	assert.Equal(t, len(c.Add(epoch.Add(time.Minute), btexpert.Counts{{0, 2}, {1, 1}})), 0)
	assert.Assert(t, c.Complete())
	assert.DeepEqual(t, c.Load(), btexpert.Load{{4, 2}, {3, 3}})
	assert.DeepEqual(t, c.Recent(), btexpert.Load{{0, 2}, {1, 1}})
	// A clock that goes back decays nothing.
	c.Add(epoch, btexpert.Counts{{1, 0}, {1, 0}})
	assert.DeepEqual(t, c.Load(), btexpert.Load{{5, 2}, {4, 3}})
	assert.Equal(t, c.Last(), epoch.Add(time.Minute))
}

// An invalid layer must be reported and must leave its earlier counts undecayed.
// The other layers of the report still count.
func TestCounterReportsIgnoredCounts(t *testing.T) {
	for _, c := range []struct {
		name   string
		counts btexpert.Counts
		want   btrequest.Reason
		load   btexpert.Load
	}{
		{"gap", btexpert.Counts{{2, 2}, nil}, btexpert.ReasonCountsGap, btexpert.Load{{6, 6}, {8, 8}}},
		{"zero", btexpert.Counts{{2, 2}, {0, 0}}, btexpert.ReasonCountsZero, btexpert.Load{{6, 6}, {8, 8}}},
		{"negative", btexpert.Counts{{2, 2}, {-1, 5}}, btexpert.ReasonCountsNegative, btexpert.Load{{6, 6}, {8, 8}}},
		{"absurd", btexpert.Counts{{2, 2}, {math.MaxInt64, 5}}, btexpert.ReasonCountsAbsurd, btexpert.Load{{6, 6}, {8, 8}}},
		{"short", btexpert.Counts{{2, 2}, {1}}, btexpert.ReasonCountsShape, btexpert.Load{{6, 6}, {8, 8}}},
		{"no layers", btexpert.Counts{}, btexpert.ReasonCountsShape, btexpert.Load{{8, 8}, {8, 8}}},
		{"clipped", btexpert.Counts{{2, 2}, {1 << 30, 5}}, btexpert.ReasonCountsClipped, btexpert.Load{{6, 6}, {4 + 1<<16, 9}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			counter := btexpert.NewCounter(tinyShape, time.Minute)
			counter.Add(epoch.Add(-time.Minute), btexpert.Counts{{8, 8}, {8, 8}})
			counter.Add(epoch, btexpert.Counts{{4, 4}, {4, 4}})
			errs := counter.Add(epoch.Add(time.Minute), c.counts)
			assert.Equal(t, len(errs), 1)
			assert.Equal(t, errs[0].Reason, c.want)
			assert.ErrorContains(t, errs[0], string(c.want)+": layer ")
			assert.DeepEqual(t, counter.Load(), c.load)
		})
	}
}

// Guards against loads that are negative, infinite or NaN after extreme counts,
// half-lives or jumps of the clock.
func TestCounterStaysFiniteOnAnyInput(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := btexpert.NewCounter(tinyShape, time.Duration(rapid.Int64().Draw(t, "half-life")))
		now := epoch
		for range rapid.IntRange(1, 20).Draw(t, "reports") {
			now = now.Add(time.Duration(rapid.Int64Range(-1e12, 1e17).Draw(t, "elapsed")))
			counts := rapid.SliceOfN(rapid.SliceOfN(rapid.Int64(), 0, 3), 0, 3).Draw(t, "counts")
			c.Add(now, counts)
			assert.NilError(t, c.Load().Validate(tinyShape))
		}
	})
}
