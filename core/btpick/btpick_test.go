package btpick_test

import (
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btpick"
)

func draw(seed uint64) func(int) int { return rand.New(rand.NewPCG(seed, 1)).IntN }

func TestNoCandidates(t *testing.T) {
	assert.Equal(t, btpick.Best(nil, draw(1)), -1)
}

func TestTheLeastLoadedOfAFewIsTaken(t *testing.T) {
	idle := btpick.Candidate{Near: true}
	for name, busy := range map[string]btpick.Candidate{
		"running":        {Near: true, Requests: 3},
		"prompts unread": {Near: true, Tokens: 900},
		"others":         {Near: true, Others: 2},
		"far":            {},
		"slow":           {Near: true, Pace: 4},
	} {
		t.Run(name, func(t *testing.T) {
			d := draw(2)
			for range 100 {
				assert.Equal(t, btpick.Best([]btpick.Candidate{busy, idle, busy}, d), 1)
			}
		})
	}
}

func TestAFarTargetOnlyWinsWithLess(t *testing.T) {
	d := draw(3)
	assert.Equal(t, btpick.Best([]btpick.Candidate{{Near: true, Requests: 1}, {}}, d), 1)
	assert.Equal(t, btpick.Best([]btpick.Candidate{{Near: true}, {}}, d), 0)
}

func TestAScarceTargetIsAlwaysCompared(t *testing.T) {
	candidates := make([]btpick.Candidate, 50)
	for i := range candidates {
		candidates[i] = btpick.Candidate{Near: true, Requests: 2}
	}
	candidates[20] = btpick.Candidate{Scarce: true, Near: true}
	d := draw(5)
	for range 100 {
		assert.Equal(t, btpick.Best(candidates, d), 20)
	}
	candidates[20].Requests = 9
	for range 100 {
		assert.Assert(t, btpick.Best(candidates, d) != 20, "it has more than others")
	}
}

// Sixteen entries hear of the load now and then; each sends by what it heard and
// by its own requests. Taking the best of all piles requests up.
func TestEntriesWithOldKnowledgeSpread(t *testing.T) {
	chosen := mostAtOneTarget(btpick.Best)
	all := mostAtOneTarget(bestOfAll)
	t.Logf("most new requests at one target: %d by a few chosen by chance, %d by all", chosen, all)
	assert.Assert(t, chosen*3 < all*2)
}

// bestOfAll is the naive choice.
func bestOfAll(candidates []btpick.Candidate, _ func(int) int) int {
	best := 0
	for i, c := range candidates {
		if c.Others+float64(c.Requests) < candidates[best].Others+float64(candidates[best].Requests) {
			best = i
		}
	}
	return best
}

func mostAtOneTarget(best func([]btpick.Candidate, func(int) int) int) int {
	const (
		targets = 72
		entries = 16
		sends   = 6
	)
	d := draw(4)
	worst := 0
	for range 20 {
		reported := make([]float64, targets)
		for i := range reported {
			reported[i] = float64(d(8))
		}
		total := make([]int, targets)
		for range entries {
			own := make([]int, targets)
			for range sends {
				candidates := make([]btpick.Candidate, targets)
				for i := range candidates {
					candidates[i] = btpick.Candidate{Requests: own[i], Others: reported[i], Near: true}
				}
				at := best(candidates, d)
				own[at]++
				total[at]++
			}
		}
		worst = max(worst, slices.Max(total))
	}
	return worst
}
