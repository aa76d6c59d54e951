package btpick_test

import (
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btpick"
)

func newIntN(seed uint64) func(int) int { return rand.New(rand.NewPCG(seed, 1)).IntN }

func TestPickWithoutCandidates(t *testing.T) {
	assert.Equal(t, btpick.Pick(nil, newIntN(1)), -1)
}

func TestPickChoosesTheLeastLoaded(t *testing.T) {
	idle := btpick.Candidate{Local: true}
	for name, busy := range map[string]btpick.Candidate{
		"running":        {Local: true, Requests: 3},
		"prompts unread": {Local: true, PendingTokens: 900},
		"others":         {Local: true, OtherRequests: 2},
		"far":            {},
		"slow":           {Local: true, Slowdown: 4},
	} {
		t.Run(name, func(t *testing.T) {
			intN := newIntN(2)
			for range 100 {
				assert.Equal(t, btpick.Pick([]btpick.Candidate{busy, idle, busy}, intN), 1)
			}
		})
	}
}

func TestRemoteTargetWinsOnlyIfLessLoaded(t *testing.T) {
	intN := newIntN(3)
	assert.Equal(t, btpick.Pick([]btpick.Candidate{{Local: true, Requests: 1}, {}}, intN), 1)
	assert.Equal(t, btpick.Pick([]btpick.Candidate{{Local: true}, {}}, intN), 0)
}

// Guards against idle capacity at a marked target: among fifty others a random sample
// rarely contains it.
func TestPickAlwaysComparesMarkedTargets(t *testing.T) {
	candidates := make([]btpick.Candidate, 50)
	for i := range candidates {
		candidates[i] = btpick.Candidate{Local: true, Requests: 2}
	}
	candidates[20] = btpick.Candidate{AlwaysCompare: true, Local: true}
	intN := newIntN(5)
	for range 100 {
		assert.Equal(t, btpick.Pick(candidates, intN), 20)
	}
	candidates[20].Requests = 9
	for range 100 {
		assert.Assert(t, btpick.Pick(candidates, intN) != 20, "its load is above the others'")
	}
}

// Guards against herding: sixteen entries know the load from occasional reports and
// their own requests. If each takes the least loaded of all targets, requests pile up
// at a few of them.
func TestStaleLoadDoesNotConcentrateRequests(t *testing.T) {
	sampled := maxPerTarget(btpick.Pick)
	greedy := maxPerTarget(pickLeastOfAll)
	t.Logf("most new requests at one target: %d with a random sample, %d with all compared", sampled, greedy)
	assert.Assert(t, sampled*3 < greedy*2)
}

// pickLeastOfAll compares all candidates.
func pickLeastOfAll(candidates []btpick.Candidate, _ func(int) int) int {
	best := 0
	for i, c := range candidates {
		if c.OtherRequests+float64(c.Requests) < candidates[best].OtherRequests+float64(candidates[best].Requests) {
			best = i
		}
	}
	return best
}

func maxPerTarget(pick func([]btpick.Candidate, func(int) int) int) int {
	const (
		targets  = 72
		entries  = 16
		requests = 6
	)
	intN := newIntN(4)
	worst := 0
	for range 20 {
		reported := make([]float64, targets)
		for i := range reported {
			reported[i] = float64(intN(8))
		}
		total := make([]int, targets)
		for range entries {
			own := make([]int, targets)
			for range requests {
				candidates := make([]btpick.Candidate, targets)
				for i := range candidates {
					candidates[i] = btpick.Candidate{Requests: own[i], OtherRequests: reported[i], Local: true}
				}
				target := pick(candidates, intN)
				own[target]++
				total[target]++
			}
		}
		worst = max(worst, slices.Max(total))
	}
	return worst
}
