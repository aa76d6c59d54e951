package btgate_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Each refused caller is told a later time than the one before, so that they don't
// all come at once, and none a later one than it can follow.
func TestRetryDelaysIncrease(t *testing.T) {
	g := busyGate(60 * time.Millisecond)
	const longest = 2 * time.Second
	last := time.Duration(0)
	refused := 0
	for {
		delay := g.RetryAfter(start, longest)
		if delay == longest {
			break
		}
		assert.Assert(t, delay >= last+150*time.Millisecond || refused == 0, "%s after %s", delay, last)
		last = delay
		refused++
	}
	assert.Assert(t, refused >= 8 && refused <= 12, "%d", refused)
}

// Once those who were told to come back have had their time, the next is told a
// short one again.
func TestBookedTimeExpires(t *testing.T) {
	g := busyGate(60 * time.Millisecond)
	for range 5 {
		g.RetryAfter(start, time.Minute)
	}
	assert.Equal(t, g.RetryAfter(start.Add(10*time.Second), time.Minute), 60*time.Millisecond)
}
