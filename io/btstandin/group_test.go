package btstandin_test

import (
	"context"
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/io/btstandin"
)

// Two maps of four experts of one layer on two ranks.
const (
	mapA = `{"layers":[[[0,1],[2,3]]]}`
	mapB = `{"layers":[[[0,2],[1,3]]]}`
)

func digestOf(encoded string) string { return fmt.Sprintf("%x", sha256.Sum256([]byte(encoded))) }

func newGroup(t *testing.T, o btstandin.GroupOptions) *btstandin.Group {
	t.Helper()
	o.Name = "g"
	o.Shape = btstandin.GroupShape{Ranks: 2, Layers: 1, Experts: 4, SlotsPerRank: 2}
	o.Engine.Clock = btstandin.SystemClock{}
	g, err := btstandin.NewGroup(o)
	assert.NilError(t, err)
	return g
}

// order sends an order with the rank's next fencing number and returns the status.
func order(t *testing.T, g *btstandin.Group, rank int, fields string) int {
	t.Helper()
	last := decode[btstandin.Fencing](t, call(g.Rank(rank), http.MethodGet, "/orders", "")).Fencing
	body := fmt.Sprintf(`{"fencing":%d,%s}`, last+1, fields)
	return call(g.Rank(rank), http.MethodPost, "/orders", body).Code
}

func mustOrder(t *testing.T, g *btstandin.Group, rank int, fields string) {
	t.Helper()
	assert.Equal(t, order(t, g, rank, fields), http.StatusOK, "rank %d: %s", rank, fields)
}

func state(t *testing.T, g *btstandin.Group, rank int) btstandin.GroupState {
	t.Helper()
	return decode[btstandin.GroupState](t, call(g.Rank(rank), http.MethodGet, "/group", ""))
}

// Tests of map switches rely on the group to record steps on mixed maps, as happens
// when the ranks switch one after another without a hold.
func TestSwitchWithoutBarrierRecordsMixedSteps(t *testing.T) {
	g := newGroup(t, btstandin.GroupOptions{UnsafeSwitch: true})
	for r := range g.Ranks() {
		mustOrder(t, g, r, `"op":"stage","version":"aa","map":`+mapA)
	}
	before, stepped := g.Step()
	assert.Assert(t, stepped && !before.Mixed)
	mustOrder(t, g, 0, `"op":"switch","version":"aa"`)
	between, _ := g.Step()
	assert.Assert(t, between.Mixed)
	assert.Assert(t, between.Digests[0] == digestOf(mapA) && between.Digests[1] != digestOf(mapA))
	mustOrder(t, g, 1, `"op":"switch","version":"aa"`)
	after, _ := g.Step()
	assert.Assert(t, !after.Mixed)
	assert.Equal(t, g.Totals().MixedSteps, uint64(1))
	assert.Equal(t, g.Totals().Steps, uint64(3))
}

// orderOps are the operations of a round; each is sent to all ranks before the next.
type orderOps []string

// mixedSteps runs rounds that alternate between two maps. It sends each operation to
// the ranks in random order, makes a random number of steps in between, and returns
// the number of mixed steps.
func mixedSteps(t *testing.T, barrier bool, ops orderOps, seed uint64) uint64 {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 1))
	g := newGroup(t, btstandin.GroupOptions{Barrier: barrier, UnsafeSwitch: true})
	for round := range 20 {
		version, next := "aa", mapA
		if round%2 == 1 {
			version, next = "bb", mapB
		}
		for _, op := range append(orderOps{"stage"}, ops...) {
			for _, r := range random.Perm(g.Ranks()) {
				mustOrder(t, g, r, fmt.Sprintf(`"op":%q,"version":%q,"map":%s`, op, version, next))
				for random.IntN(2) == 0 {
					g.Step()
				}
			}
		}
	}
	assert.Assert(t, g.Totals().Steps > 0)
	return g.Totals().MixedSteps
}

// Rounds with arm and commit, or with pause, switch and resume, must never mix maps,
// whatever the order of ranks and steps; a bare switch must, or the check is blind.
func TestOnlyUnsafeSwitchesMixSteps(t *testing.T) {
	for seed := range uint64(20) {
		assert.Equal(t, mixedSteps(t, true, orderOps{"arm", "commit"}, seed), uint64(0), "seed %d", seed)
		assert.Equal(t, mixedSteps(t, false, orderOps{"pause", "switch", "resume"}, seed), uint64(0), "seed %d", seed)
		assert.Assert(t, mixedSteps(t, false, orderOps{"switch"}, seed) > 0, "seed %d", seed)
	}
}

// An armed rank must hold the whole group until an abort, and orders that don't fit
// the rank's state or shape must be refused.
func TestArmedRankHoldsTheGroup(t *testing.T) {
	g := newGroup(t, btstandin.GroupOptions{Barrier: true})
	assert.Equal(t, order(t, g, 0, `"op":"arm","version":"bb"`), http.StatusUnprocessableEntity)
	mustOrder(t, g, 0, `"op":"stage","version":"bb","map":`+mapB)
	assert.Equal(t, order(t, g, 0, `"op":"commit","version":"bb"`), http.StatusUnprocessableEntity)
	mustOrder(t, g, 0, `"op":"arm","version":"bb"`)
	_, stepped := g.Step()
	assert.Assert(t, !stepped)
	got := state(t, g, 0)
	assert.Assert(t, got.Armed && got.Held && got.StagedVersion == "bb" && got.Fencing == 4)
	mustOrder(t, g, 0, `"op":"abort","version":"bb"`)
	mustOrder(t, g, 0, `"op":"abort","version":"bb"`)
	record, stepped := g.Step()
	assert.Assert(t, stepped && !record.Mixed)
	assert.Equal(t, state(t, g, 0).StagedVersion, "")

	plain := newGroup(t, btstandin.GroupOptions{})
	mustOrder(t, plain, 0, `"op":"stage","version":"bb","map":`+mapB)
	assert.Equal(t, order(t, plain, 0, `"op":"arm","version":"bb"`), http.StatusUnprocessableEntity)
	assert.Equal(t, order(t, plain, 0, `"op":"stage","version":"cc","map":{"layers":[[[0],[1]]]}`), http.StatusUnprocessableEntity)
}

// Orders of an earlier round that arrive late must not end the hold of a later
// round, or the rank would step on another map than the rest of the group.
func TestLateOrdersAreRefused(t *testing.T) {
	g := newGroup(t, btstandin.GroupOptions{Barrier: true})
	for _, op := range []string{"stage", "arm", "commit"} {
		mustOrder(t, g, 0, fmt.Sprintf(`"op":%q,"version":"aa","map":%s`, op, mapA))
	}
	for _, op := range []string{"stage", "arm"} {
		mustOrder(t, g, 0, fmt.Sprintf(`"op":%q,"version":"bb","map":%s`, op, mapB))
	}
	mustOrder(t, g, 0, `"op":"commit","version":"aa"`)
	for _, late := range []string{`"op":"abort","version":"aa"`, `"op":"commit","version":"cc"`, `"op":"abort"`} {
		assert.Equal(t, order(t, g, 0, late), http.StatusUnprocessableEntity, late)
	}
	got := state(t, g, 0)
	assert.Assert(t, got.Held && got.MapVersion == "aa" && got.StagedVersion == "bb")
	mustOrder(t, g, 0, `"op":"stage","version":"cc","map":`+mapA)
	got = state(t, g, 0)
	assert.Assert(t, got.Held && got.StagedVersion == "cc", "staging in place of another ends no hold")
	assert.Equal(t, order(t, g, 0, `"op":"commit","version":"bb"`), http.StatusUnprocessableEntity)

	plain := newGroup(t, btstandin.GroupOptions{})
	mustOrder(t, plain, 0, `"op":"stage","version":"bb","map":`+mapB)
	assert.Equal(t, order(t, plain, 0, `"op":"switch","version":"bb"`), http.StatusUnprocessableEntity)
	mustOrder(t, plain, 0, `"op":"pause"`)
	mustOrder(t, plain, 0, `"op":"switch","version":"bb"`)
	assert.Equal(t, order(t, plain, 0, `"op":"resume","version":"aa"`), http.StatusUnprocessableEntity)
	assert.Assert(t, state(t, plain, 0).Held)
	mustOrder(t, plain, 0, `"op":"resume","version":"bb"`)
}

// A killed rank must hold the group, and so must a restarted one until it gets a map.
func TestRestartedRankHoldsUntilItHasAMap(t *testing.T) {
	g := newGroup(t, btstandin.GroupOptions{Barrier: true})
	g.Rank(1).Kill()
	_, stepped := g.Step()
	assert.Assert(t, !stepped)
	g.Rank(1).Restart()
	_, stepped = g.Step()
	assert.Assert(t, !stepped)
	assert.Equal(t, state(t, g, 1).MapVersion, "")
	assert.Assert(t, state(t, g, 1).Held)
	assert.Equal(t, order(t, g, 1, `"op":"resume"`), http.StatusUnprocessableEntity)
	for _, op := range []string{"stage", "arm", "commit"} {
		for r := range g.Ranks() {
			mustOrder(t, g, r, fmt.Sprintf(`"op":%q,"version":"bb","map":%s`, op, mapB))
		}
	}
	record, stepped := g.Step()
	assert.Assert(t, stepped && !record.Mixed)
	assert.Equal(t, record.Digests[1], digestOf(mapB))
}

// A slow rank must slow down the whole group, and the counts must add up to the
// tokens of the steps.
func TestStepTimeFollowsTheSlowestRank(t *testing.T) {
	g := newGroup(t, btstandin.GroupOptions{TokensPerStep: 1000})
	even, _ := g.Step()
	control(t, g.Rank(1), "/control/fault", `{"slow":10}`)
	slow, _ := g.Step()
	assert.Assert(t, slow.Duration > 5*even.Duration)
	assert.Assert(t, slow.Skew > even.Skew)
	assert.Assert(t, state(t, g, 1).StepMillis > state(t, g, 0).StepMillis)
	assert.Equal(t, state(t, g, 0).GroupStepMillis, state(t, g, 1).StepMillis)
	var served uint64
	for r := range g.Ranks() {
		for _, tokens := range state(t, g, r).Counts[0] {
			served += tokens
		}
	}
	assert.Assert(t, served >= 1996 && served <= 2004, "two steps of 1000 tokens, rounded: %d", served)
}

// The popularity of experts must change over time, or placement has nothing to do.
func TestPopularityDrifts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, btstandin.GroupOptions{DriftPeriod: time.Minute, ZipfExponent: 2})
		var skews []float64
		for range 5 {
			record, _ := g.Step()
			skews = append(skews, record.Skew)
			time.Sleep(time.Minute)
		}
		first := skews[0]
		changed := false
		for _, skew := range skews {
			changed = changed || skew != first
		}
		assert.Assert(t, changed, "%v", skews)
	})
}

// A running group must decode one token per step, stop while a rank is paused and
// count the time for which it was held.
func TestRunningGroupDecodesOneTokenPerStep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, btstandin.GroupOptions{})
		ctx, cancel := context.WithCancel(t.Context())
		stopped := make(chan error)
		go func() { stopped <- g.Run(ctx) }()
		answer := decode[wholeAnswer](t, call(g.Rank(1), http.MethodPost, chatPath, chatBody("x", 3, false)))
		want, err := btstandin.Answer([]byte(chatBody("x", 3, false)))
		assert.NilError(t, err)
		assert.Equal(t, answer.Choices[0].Message.Content, want)
		assert.Assert(t, g.Totals().Steps >= 3)

		mustOrder(t, g, 0, `"op":"pause"`)
		time.Sleep(time.Second)
		steps := g.Totals().Steps
		time.Sleep(time.Second)
		assert.Equal(t, g.Totals().Steps, steps)
		assert.Assert(t, g.Totals().HeldMillis > 1900)
		mustOrder(t, g, 0, fmt.Sprintf(`"op":"resume","version":%q`, state(t, g, 0).MapVersion))
		time.Sleep(time.Second)
		assert.Assert(t, g.Totals().Steps > steps)
		assert.Assert(t, g.Totals().HeldMillis <= 2000)
		cancel()
		assert.NilError(t, <-stopped)
	})
}
