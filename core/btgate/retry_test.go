package btgate_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against simultaneous retries: each refused caller gets a longer delay than the
// one before, and none a longer one than its deadline allows.
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

// Once the scheduled time has passed, the next refused caller gets a short delay again.
func TestScheduledRetryTimeExpires(t *testing.T) {
	g := busyGate(60 * time.Millisecond)
	for range 5 {
		g.RetryAfter(start, time.Minute)
	}
	assert.Equal(t, g.RetryAfter(start.Add(10*time.Second), time.Minute), 60*time.Millisecond)
}
