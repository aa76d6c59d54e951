package btstall_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btstall"
)

// silence describes the stream at a member that has an attempt left and another target.
func (g *group) silence(member int) btstall.Silence {
	return btstall.Silence{Since: g.lastEvent[member], Now: g.now, OtherStreams: len(g.lastEvent) - 1, AttemptsLeft: 1, Alternative: true}
}

// Guards against moving all streams of a paused group to members that are paused too, which
// uses up their attempts and the retry budget.
func TestStreamsStayWhileTheirGroupIsPaused(t *testing.T) {
	g := newGroup()
	for range 20 {
		g.step(step, 0, 1, 2, 3)
	}
	g.now = g.now.Add(4 * time.Second)
	for m := range g.lastEvent {
		assert.Assert(t, !g.watch.Leave(g.silence(m)), "stream of member %d leaves", m)
	}
	// The first member resumes before the others.
	g.step(0, 0)
	for m := range g.lastEvent {
		assert.Assert(t, !g.watch.Leave(g.silence(m)), "stream of member %d leaves as its group resumes", m)
	}
	for range 20 {
		g.step(step, 0, 1, 3)
	}
	assert.Assert(t, g.watch.Leave(g.silence(2)), "stream stays at a member that is silent after the pause")
	assert.Assert(t, !g.watch.Leave(g.silence(0)))
}

// Guards against leaving a target that may complete the answer when nothing can continue
// the stream, and against staying at a target that alone is silent.
func TestSilentStreamLeavesOnlyForASuccessor(t *testing.T) {
	g := newGroup()
	for range 20 {
		g.step(step, 0, 1, 2, 3)
	}
	for range 20 {
		g.step(step, 0, 1, 3)
	}
	for _, c := range []struct {
		name   string
		change func(*btstall.Silence)
		leaves bool
	}{
		{"one silent member", func(*btstall.Silence) {}, true},
		{"no attempt left", func(s *btstall.Silence) { s.AttemptsLeft = 0 }, false},
		{"no other target", func(s *btstall.Silence) { s.Alternative = false }, false},
		{"only observed stream", func(s *btstall.Silence) { s.Since, s.OtherStreams = g.now, 0 }, true},
	} {
		s := g.silence(2)
		c.change(&s)
		assert.Equal(t, g.watch.Leave(s), c.leaves, c.name)
	}
}

// Guards against taking a single target, which is in no group, for a paused group.
func TestSilentTargetOutsideGroupsIsLeft(t *testing.T) {
	var w btstall.Watch
	now := time.Unix(1000, 0)
	w.StreamStarted(now)
	assert.Assert(t, w.Leave(btstall.Silence{Since: now, Now: now.Add(2 * time.Second), AttemptsLeft: 1, Alternative: true}))
}
