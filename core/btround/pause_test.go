package btround_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btround"
)

// TestPauseIsReportedFromFirstState guards against a paused group that isn't reported to
// operators, and against reporting a group as paused while it steps.
func TestPauseIsReportedFromFirstState(t *testing.T) {
	var w btround.PauseWatch
	began := time.Unix(1000, 0)
	later := began.Add(3 * time.Second)
	steps := btround.State{Rank: 0, Step: 7}
	ahead := btround.State{Rank: 1, Step: 7, Held: true, HeldStep: 9}
	paused := btround.State{Rank: 1, Step: 8, Held: true, HeldStep: 9}
	assert.Assert(t, w.Observe(began, []btround.State{steps, ahead}) == nil, "a hold of a later step was reported as a pause")
	assert.Assert(t, w.Observe(began, []btround.State{steps, paused}) != nil)
	assert.DeepEqual(t, *w.Observe(later, []btround.State{steps, paused}), btround.Pause{Holder: 1, Step: 9, Since: began})
	steps.Step = 9
	assert.Assert(t, w.Observe(later, []btround.State{steps, paused}) == nil, "a pause was reported after its step began")
	paused.Step, paused.HeldStep = 10, 11
	assert.Equal(t, w.Observe(later, []btround.State{paused}).Since, later, "a new pause kept the start of the previous one")
}
