package btround_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btround"
)

// TestAPauseIsSeenFromItsFirstState guards against a paused group of which operators
// learn nothing, and against one that is reported as paused while it steps.
func TestAPauseIsSeenFromItsFirstState(t *testing.T) {
	var w btround.PauseWatch
	began := time.Unix(1000, 0)
	later := began.Add(3 * time.Second)
	steps := btround.State{Rank: 0, Step: 7}
	ahead := btround.State{Rank: 1, Step: 7, Held: true, HeldStep: 9}
	paused := btround.State{Rank: 1, Step: 8, Held: true, HeldStep: 9}
	assert.Assert(t, w.Observe(began, []btround.State{steps, ahead}) == nil, "a hold of a later step")
	assert.Assert(t, w.Observe(began, []btround.State{steps, paused}) != nil)
	assert.DeepEqual(t, *w.Observe(later, []btround.State{steps, paused}), btround.Pause{Holder: 1, Step: 9, Since: began})
	steps.Step = 9
	assert.Assert(t, w.Observe(later, []btround.State{steps, paused}) == nil, "the step has begun")
	paused.Step, paused.HeldStep = 10, 11
	assert.Equal(t, w.Observe(later, []btround.State{paused}).Since, later, "another pause")
}
