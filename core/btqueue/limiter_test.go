package btqueue_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btassert"
	"bilberrytide/core/btid"
	"bilberrytide/core/btqueue"
)

// limitedLoad presses on a target for a while, ten requests each 10 ms, and returns when
// requests started and how the others were told to come back.
func limitedLoad(q *btqueue.Queue, from, until time.Duration) (starts []time.Duration, told []time.Duration) {
	begin := time.Unix(1000, 0)
	number := uint64(from)
	for at := from; at < until; at += 10 * time.Millisecond {
		now := begin.Add(at)
		for range 10 {
			number++
			id := btid.Request{Entry: "e1", Number: number}
			for _, effect := range q.Step(now, btqueue.Arrived{ID: id, Account: "acme", Deadline: now.Add(time.Minute), Cost: 1}) {
				switch e := effect.(type) {
				case btqueue.Start:
					starts = append(starts, at)
					q.Step(now, btqueue.Finished{ID: e.ID, Took: time.Millisecond})
				case btqueue.Refuse:
					told = append(told, e.RetryAfter)
				}
			}
		}
	}
	return starts, told
}

func limitedQueue(t *testing.T) *btqueue.Queue {
	t.Helper()
	return btqueue.New(btqueue.DefaultSettings(8, 16), rand.New(rand.NewPCG(1, 2)), btassert.New(btassert.Panic()))
}

// The queue is the only way to its target, so that it keeps to the target's rate by itself.
func TestAQueueKeepsToTheRateThatItsTargetNames(t *testing.T) {
	q := limitedQueue(t)
	free, _ := limitedLoad(q, 0, time.Second)
	assert.Equal(t, len(free), 1000)
	q.Step(time.Unix(1001, 0), btqueue.Rate{PerSecond: 5, Named: true})
	starts, told := limitedLoad(q, time.Second, 21*time.Second)
	assert.Assert(t, len(starts) >= 95 && len(starts) <= 103, "%d of 100", len(starts))
	assert.Assert(t, len(told) > 1000)
	assert.Equal(t, told[len(told)-1], time.Minute, "those who press are told to stay away")
	q.Step(time.Unix(1021, 0), btqueue.Rate{})
	free, _ = limitedLoad(q, 21*time.Second, 22*time.Second)
	assert.Equal(t, len(free), 1000)
}

// Those who are refused one after the other are told places of their own.
func TestRefusedRequestsAreToldPlacesOfTheirOwn(t *testing.T) {
	q := limitedQueue(t)
	q.Step(time.Unix(1000, 0), btqueue.Rate{PerSecond: 2, Named: true})
	_, told := limitedLoad(q, 0, 10*time.Millisecond)
	assert.Equal(t, len(told), 10)
	for i := 1; i < len(told); i++ {
		assert.Equal(t, told[i]-told[i-1], 500*time.Millisecond)
	}
}
