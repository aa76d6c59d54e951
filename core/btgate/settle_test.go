package btgate_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btgate"
)

// Guards against a limit cut by a group's first steps. An entry that has just started
// serves a new group: steps of 250 ms, of which 150 are allowed, until the first map is
// in force, then steps of 80 ms. The limit must not follow the first steps, as they end
// before a lower limit could help.
func TestFirstStepsOfGroupDoNotDecreaseLimit(t *testing.T) {
	const allowed = 150 * time.Millisecond
	g := btgate.New[int](btgate.Config{MinLimit: 180, MaxLimit: 720, InitialLimit: 720, Entries: 15})
	now := start
	steps := func(step, lasting time.Duration) {
		for end := now.Add(lasting); now.Before(end); now = now.Add(step) {
			for range g.Running() {
				g.ObservePause(now, step, allowed)
			}
		}
	}
	for range 10 {
		g.TryAcquire(now)
	}
	for range 3 {
		steps(250*time.Millisecond, 750*time.Millisecond)
		assert.Equal(t, g.Limit(), 720)
		steps(80*time.Millisecond, 3*time.Second)
		assert.Equal(t, g.Limit(), 720)
		// The group fails and forms again.
		now = now.Add(4 * time.Second)
	}
	for g.TryAcquire(now) {
	}
	steps(160*time.Millisecond, 4*time.Second)
	assert.Assert(t, g.Limit() < 720, "persistently long steps must decrease the limit")
}
