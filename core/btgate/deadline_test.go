package btgate_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btgate"
)

func ExampleDeadlineEstimator() {
	var estimator btgate.DeadlineEstimator
	now := time.Unix(1000, 0)
	longAgo := now.Add(-time.Minute)
	for i := range 32 {
		estimator.Add(now, 7*time.Second+time.Duration(i)*time.Second/32, longAgo)
	}
	deadlines := estimator.Add(now, 7900*time.Millisecond, longAgo)
	first := btgate.Caller{Remaining: 7100 * time.Millisecond, FirstAttempt: deadlines, Timeout: 8 * time.Second}
	second := btgate.Caller{Remaining: 5 * time.Second, FirstAttempt: deadlines, Timeout: 8 * time.Second}
	fmt.Println(first.Request(now, 0, 0).LastAttempt, second.Request(now, 0, 0).LastAttempt)
	// Output: false true
}

// A caller that retries after one second is recognised by its shorter deadline, also if
// callers set less than the route's timeout and before the range has been estimated.
func TestRetriesAreRecognisedByDeadline(t *testing.T) {
	var estimator btgate.DeadlineEstimator
	for remaining, retry := range map[time.Duration]bool{3 * time.Second: false, 2990 * time.Millisecond: false, 2 * time.Second: true} {
		estimator.Add(start, 3*time.Second, start)
		c := btgate.Caller{Remaining: remaining, FirstAttempt: estimator.Add(start, remaining, start), Timeout: 8 * time.Second}
		assert.Equal(t, c.Request(start, 0, 0).LastAttempt, retry, "%s", remaining)
	}
	deadlines := estimator.Add(start.Add(time.Minute), time.Second, start)
	assert.Equal(t, deadlines.Longest, time.Second, "the old range has expired")
}

// Guards against first attempts that are treated as retries when callers' deadlines
// differ. With only the longest deadline known, two of three are.
func TestDeadlineRangeIsEstimated(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	spread := func() time.Duration {
		return 8*time.Second - time.Duration(random.Int64N(int64(2500*time.Millisecond)))
	}
	var estimator btgate.DeadlineEstimator
	now := start.Add(time.Minute)
	for range 200 {
		estimator.Add(now, spread(), start)
	}
	wrong := 0
	for range 1000 {
		remaining := spread()
		c := btgate.Caller{Remaining: remaining, FirstAttempt: estimator.Add(now, remaining, start), Timeout: 8 * time.Second}
		if c.Request(now, 0, 0).LastAttempt {
			wrong++
		}
	}
	assert.Assert(t, wrong <= 60, "%d of 1000", wrong)
}

// Requests that arrive shortly after a refusal may be retries and must not be sampled
// as first attempts.
func TestDeadlinesAfterRefusalAreNotSampled(t *testing.T) {
	var estimator btgate.DeadlineEstimator
	lastRefusal := start
	for i := range 100 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		estimator.Add(now, 8*time.Second, lastRefusal)
		estimator.Add(now, 4*time.Second, lastRefusal)
	}
	deadlines := estimator.Add(start.Add(2*time.Second), 8*time.Second, lastRefusal)
	assert.Equal(t, deadlines.Shortest, 6400*time.Millisecond)
}

// overload simulates callers that send a multiple of a group's capacity and retry once
// after a refusal.
type overload struct {
	random      *rand.Rand
	gate        *btgate.Gate[*overloadCall]
	deadlines   btgate.DeadlineEstimator
	lastRefusal time.Time
	// longestOnly makes the range consist of the longest deadline alone.
	longestOnly bool
	calls       []*overloadCall
	ends        []time.Time
	inTime      int
	lost        int
	all         int
}

type overloadCall struct {
	created, nextTry time.Time
	deadline         time.Duration
	retried          bool
	waiter           *btgate.Waiter[*overloadCall]
}

const (
	overloadSlots        = 40
	overloadServiceTime  = 1600 * time.Millisecond
	overloadStartLatency = 220 * time.Millisecond
	overloadObjective    = 500 * time.Millisecond
	// normalPeriod is how long callers arrive at a rate within capacity, overloadPeriod
	// how long at three times the capacity.
	normalPeriod   = 12 * time.Second
	overloadPeriod = 12 * time.Second
)

func runOverload(seed uint64, longestOnly bool) *overload {
	c := &overload{
		random:      rand.New(rand.NewPCG(seed, 9)),
		gate:        btgate.New[*overloadCall](btgate.Config{MinLimit: 1, MaxLimit: overloadSlots, InitialLimit: overloadSlots, Entries: 1}),
		longestOnly: longestOnly,
	}
	capacity := overloadSlots / overloadServiceTime.Seconds()
	next := start
	for now := start; now.Before(start.Add(normalPeriod + overloadPeriod)); now = now.Add(tick) {
		for !next.After(now) {
			rate := 0.7 * capacity
			if now.After(start.Add(normalPeriod)) {
				rate = 3 * capacity
				c.all++
			}
			deadline := 8*time.Second - time.Duration(c.random.Int64N(int64(1200*time.Millisecond)))
			c.calls = append(c.calls, &overloadCall{created: now, nextTry: now, deadline: deadline})
			next = next.Add(time.Duration(c.random.ExpFloat64() / rate * float64(time.Second)))
		}
		c.step(now)
	}
	return c
}

func (c *overload) step(now time.Time) {
	kept := c.ends[:0]
	var ended int
	for _, end := range c.ends {
		if end.After(now) {
			kept = append(kept, end)
			continue
		}
		ended++
	}
	c.ends = kept
	for range ended {
		for _, w := range c.gate.Release(now, overloadServiceTime) {
			c.startCall(now, w.Value)
		}
	}
	var waiting []*overloadCall
	for _, call := range c.calls {
		if !c.process(now, call) {
			waiting = append(waiting, call)
		}
	}
	c.calls = waiting
}

// process handles a queued or due call and reports whether it is finished or in flight.
func (c *overload) process(now time.Time, call *overloadCall) bool {
	switch {
	case call.waiter != nil && call.waiter.Admitted():
		return true
	case call.waiter != nil:
		if call.waiter.WaitUntil.After(now) {
			return false
		}
		c.gate.Cancel(call.waiter)
		call.waiter = nil
		return c.refuseCall(now, call)
	case call.nextTry.After(now):
		return false
	}
	remaining := call.deadline - now.Sub(call.created)
	deadlines := c.deadlines.Add(now, remaining, c.lastRefusal)
	if c.longestOnly {
		deadlines.Shortest = deadlines.Longest
	}
	caller := btgate.Caller{Remaining: remaining, FirstAttempt: deadlines, Objective: overloadObjective, Timeout: 8 * time.Second}
	r := caller.Request(now, 0, overloadStartLatency)
	if c.gate.TryAcquire(now) {
		c.startCall(now, call)
		return true
	}
	call.waiter = c.gate.Enqueue(now, r, call)
	if call.waiter == nil {
		return c.refuseCall(now, call)
	}
	return false
}

func (c *overload) refuseCall(now time.Time, call *overloadCall) bool {
	c.lastRefusal = now
	if call.retried {
		c.lost++
		return true
	}
	call.retried = true
	call.nextTry = now.Add(c.gate.RetryAfter(now, (call.deadline-now.Sub(call.created))/3))
	return false
}

func (c *overload) startCall(now time.Time, call *overloadCall) {
	c.ends = append(c.ends, now.Add(overloadServiceTime))
	if call.created.After(start.Add(normalPeriod)) && now.Add(overloadStartLatency).Sub(call.created) <= overloadObjective {
		c.inTime++
	}
}

// Arrivals are three times the group's capacity. Requests that can be in time are
// served in time; with only the longest deadline known, most of them wait behind
// requests that can't be.
func TestOverloadIsServedInTimeUpToCapacity(t *testing.T) {
	var estimated, longestOnly, lost, lostLongestOnly, all int
	for seed := range uint64(5) {
		a, b := runOverload(seed, false), runOverload(seed, true)
		estimated += a.inTime
		longestOnly += b.inTime
		lost += a.lost
		lostLongestOnly += b.lost
		all += a.all
	}
	t.Logf("of %d in time %d, with the longest deadline only %d; lost %d and %d", all, estimated, longestOnly, lost, lostLongestOnly)
	assert.Assert(t, float64(estimated) >= 1.3*float64(longestOnly), "%d and %d in time", estimated, longestOnly)
	assert.Assert(t, float64(lost) <= 1.1*float64(lostLongestOnly), "%d and %d lost", lost, lostLongestOnly)
}

// A third of the released slots goes to last attempts, also while other queued requests
// could be in time.
func TestReservedSlotsGoToLastAttempts(t *testing.T) {
	g := newGate(1)
	g.TryAcquire(start)
	until := start.Add(time.Hour)
	soon := start.Add(500 * time.Millisecond)
	for i := range 6 {
		g.Enqueue(start, btgate.Request{WaitUntil: until, StartBy: until}, i)
	}
	g.Enqueue(start, btgate.Request{WaitUntil: soon, LastAttempt: true}, 100)
	g.Enqueue(start, btgate.Request{WaitUntil: soon.Add(-time.Millisecond), LastAttempt: true}, 101)
	g.Enqueue(start, btgate.Request{WaitUntil: until, LastAttempt: true}, 102)
	assert.DeepEqual(t, drain(g, start), []int{0, 1, 101, 2, 3, 100, 4, 5, 102})
}
