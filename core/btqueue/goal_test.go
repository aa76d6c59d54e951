package btqueue_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btqueue"
	"bilberrytide/core/btrequest"
)

// Guards against retries that find the queue filled by new requests. The expected waits
// grow by half a second: new requests are accepted up to 0.6 of the time until StartBy,
// reserved ones up to 0.9.
func TestGoalReservesQueueTimeForRetries(t *testing.T) {
	const goal = 10 * time.Second
	now := time.Unix(1000, 0)
	q := newQueue(2, 100, 1)
	taken := func(reserved bool) int {
		for n := 0; ; n++ {
			goalRequests += 1
			a := arrival(goalRequests, "a", btrequest.Normal)
			a.Deadline = now.Add(time.Hour)
			a.StartBy = now.Add(goal)
			a.Reserved = reserved
			for _, e := range q.Step(now, a) {
				if refusal, ok := e.(btqueue.Refuse); ok {
					assert.Equal(t, refusal.Reason, btqueue.ReasonWaitTooLong)
					assert.Assert(t, refusal.RetryAfter > 0)
					return n
				}
			}
		}
	}
	newTaken := taken(false)
	retriesTaken := taken(true)
	waiting := q.Load().Waiting
	assert.Equal(t, waiting, newTaken+retriesTaken-2)
	assert.Assert(t, newTaken >= 8 && newTaken <= 14, "%d new requests taken", newTaken)
	assert.Assert(t, retriesTaken >= 4 && retriesTaken <= 8, "%d reserved retries taken", retriesTaken)
	assert.Equal(t, taken(false), 0)
}

var goalRequests uint64
