package btgate_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btgate"
)

// Guards against requests that are admitted while no target accepts any, lose their positions,
// or wait although the pause outlasts them.
func TestPausedGateKeepsQueuePositions(t *testing.T) {
	now := time.Unix(1000, 0)
	g := btgate.New[string](btgate.Config{MinLimit: 2, MaxLimit: 2, InitialLimit: 2, Entries: 1})
	assert.Assert(t, g.TryAcquire(now))
	g.Release(now.Add(10*time.Millisecond), 10*time.Millisecond)
	end := now.Add(time.Second)
	g.PauseUntil(end)
	assert.Assert(t, !g.TryAcquire(now))
	request := func(wait time.Duration, priority int) btgate.Request {
		return btgate.Request{Priority: priority, StartBy: now.Add(wait), WaitUntil: now.Add(wait)}
	}
	assert.Assert(t, g.Enqueue(now, request(900*time.Millisecond, 1), "too short") == nil)
	assert.Assert(t, g.Enqueue(now, request(1500*time.Millisecond, 5), "late") != nil)
	assert.Assert(t, g.Enqueue(now, request(1500*time.Millisecond, 5), "later") != nil)
	assert.Assert(t, g.Enqueue(now, request(1500*time.Millisecond, 1), "urgent") != nil)
	assert.Equal(t, len(g.Resume(now.Add(900*time.Millisecond))), 0)
	assert.Assert(t, g.RetryAfter(now, time.Minute) > time.Second, "the retry time is within the pause")
	var admitted []string
	for _, w := range g.Resume(end) {
		admitted = append(admitted, w.Value)
	}
	assert.Equal(t, len(admitted), 2)
	assert.Equal(t, admitted[0], "urgent")
}
