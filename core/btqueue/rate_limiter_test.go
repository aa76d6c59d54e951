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

// sendLoad sends ten requests every 10 ms, and returns when requests started and the
// retry delays of the others.
func sendLoad(q *btqueue.Queue, from, until time.Duration) (starts []time.Duration, delays []time.Duration) {
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
					delays = append(delays, e.RetryAfter)
				}
			}
		}
	}
	return starts, delays
}

func newLimitedQueue(t *testing.T) *btqueue.Queue {
	t.Helper()
	return btqueue.New(btqueue.DefaultSettings(8, 16), rand.New(rand.NewPCG(1, 2)), btassert.New(btassert.Panic()))
}

// The queue alone must keep to the rate that its target advertises, as all requests to
// the target pass through it.
func TestQueueKeepsToTheTargetsRateLimit(t *testing.T) {
	q := newLimitedQueue(t)
	free, _ := sendLoad(q, 0, time.Second)
	assert.Equal(t, len(free), 1000)
	q.Step(time.Unix(1001, 0), btqueue.RateLimit{PerSecond: 5, Active: true})
	starts, delays := sendLoad(q, time.Second, 21*time.Second)
	assert.Assert(t, len(starts) >= 95 && len(starts) <= 103, "%d of 100", len(starts))
	assert.Assert(t, len(delays) > 1000)
	assert.Equal(t, delays[len(delays)-1], time.Minute, "persistent callers get the longest delay")
	q.Step(time.Unix(1021, 0), btqueue.RateLimit{})
	free, _ = sendLoad(q, 21*time.Second, 22*time.Second)
	assert.Equal(t, len(free), 1000)
}

// Guards against simultaneous retries: each refused request is given a delay of its
// own.
func TestRateLimitedRequestsGetDistinctRetryDelays(t *testing.T) {
	q := newLimitedQueue(t)
	q.Step(time.Unix(1000, 0), btqueue.RateLimit{PerSecond: 2, Active: true})
	_, delays := sendLoad(q, 0, 10*time.Millisecond)
	assert.Equal(t, len(delays), 10)
	for i := 1; i < len(delays); i++ {
		assert.Equal(t, delays[i]-delays[i-1], 500*time.Millisecond)
	}
}

// Guards against a target that gets a fraction of the rate that it advertises: of the
// requests that an entry sends at once, one is served, but the delay of each refused one
// books a token, and the entry skips the target until the last of them.
func TestRateLimitIsUsedByEntriesThatSendSeveralAtOnce(t *testing.T) {
	const atOnce, duration = 4, time.Minute
	q := newLimitedQueue(t)
	begin := time.Unix(1000, 0)
	q.Step(begin, btqueue.RateLimit{PerSecond: 1, Active: true})
	skippedUntil := map[btid.Entry]time.Time{}
	starts, number := 0, uint64(0)
	for now := begin; now.Before(begin.Add(duration)); now = now.Add(10 * time.Millisecond) {
		for _, entry := range []btid.Entry{"e1", "e2"} {
			if now.Before(skippedUntil[entry]) {
				continue
			}
			for range atOnce {
				number++
				id := btid.Request{Entry: entry, Number: number}
				for _, effect := range q.Step(now, btqueue.Arrived{ID: id, Account: "acme", Deadline: now.Add(time.Minute), Cost: 1}) {
					switch e := effect.(type) {
					case btqueue.Start:
						starts++
						q.Step(now, btqueue.Finished{ID: e.ID, Took: time.Millisecond})
					case btqueue.Refuse:
						skippedUntil[entry] = now.Add(e.FreeAfter)
					}
				}
			}
		}
	}
	assert.Assert(t, starts >= 50, "%d of 60 requests", starts)
}
