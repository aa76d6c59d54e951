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
	var u btgate.DeadlineEstimator
	now := time.Unix(1000, 0)
	longAgo := now.Add(-time.Minute)
	for i := range 32 {
		u.Add(now, 7*time.Second+time.Duration(i)*time.Second/32, longAgo)
	}
	deadlines := u.Add(now, 7900*time.Millisecond, longAgo)
	first := btgate.Caller{Remaining: 7100 * time.Millisecond, FirstAttempt: deadlines, Timeout: 8 * time.Second}
	second := btgate.Caller{Remaining: 5 * time.Second, FirstAttempt: deadlines, Timeout: 8 * time.Second}
	fmt.Println(first.Request(now, 0, 0).LastAttempt, second.Request(now, 0, 0).LastAttempt)
	// Output: false true
}

// A caller that was cut off after a second and came back is known by its deadline,
// also where callers allow less than the route, and before any range was learned.
func TestRetriesAreRecognisedByTheirDeadline(t *testing.T) {
	var u btgate.DeadlineEstimator
	for remaining, retry := range map[time.Duration]bool{3 * time.Second: false, 2990 * time.Millisecond: false, 2 * time.Second: true} {
		u.Add(start, 3*time.Second, start)
		c := btgate.Caller{Remaining: remaining, FirstAttempt: u.Add(start, remaining, start), Timeout: 8 * time.Second}
		assert.Equal(t, c.Request(start, 0, 0).LastAttempt, retry, "%s", remaining)
	}
	deadlines := u.Add(start.Add(time.Minute), time.Second, start)
	assert.Equal(t, deadlines.Longest, time.Second, "callers have changed")
}

// Where callers' deadlines are spread, none who comes first is taken for one who comes
// again. By the longest deadline alone two of three were.
func TestDeadlineRangeIsEstimated(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	spread := func() time.Duration {
		return 8*time.Second - time.Duration(random.Int64N(int64(2500*time.Millisecond)))
	}
	var u btgate.DeadlineEstimator
	now := start.Add(time.Minute)
	for range 200 {
		u.Add(now, spread(), start)
	}
	wrong := 0
	for range 1000 {
		remaining := spread()
		c := btgate.Caller{Remaining: remaining, FirstAttempt: u.Add(now, remaining, start), Timeout: 8 * time.Second}
		if c.Request(now, 0, 0).LastAttempt {
			wrong++
		}
	}
	assert.Assert(t, wrong <= 60, "%d of 1000", wrong)
}

// Who comes while others have just been turned away teaches nothing.
func TestDeadlinesAfterARefusalAreNotSampled(t *testing.T) {
	var u btgate.DeadlineEstimator
	lastRefusal := start
	for i := range 100 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		u.Add(now, 8*time.Second, lastRefusal)
		u.Add(now, 4*time.Second, lastRefusal)
	}
	deadlines := u.Add(start.Add(2*time.Second), 8*time.Second, lastRefusal)
	assert.Equal(t, deadlines.Shortest, 6400*time.Millisecond)
}

// overload is callers who ask a group for a multiple of what it carries, and come back
// once when they are refused.
type overload struct {
	random      *rand.Rand
	gate        *btgate.Gate[*overloadCall]
	deadlines   btgate.DeadlineEstimator
	lastRefusal time.Time
	// longestOnly takes the longest deadline for every caller's.
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
	// normalPeriod is for how long callers come at a rate that is carried, crowdRush for
	// how long at three times the rate.
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
		for _, t := range c.gate.Release(now, overloadServiceTime) {
			c.startCall(now, t.Value)
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

// process tells whether the call is over or at work.
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

// Three times as many callers come as the group carries. Those who are known to be able
// to be in time are served in time; where only the longest deadline is known most of
// them wait behind those who can't be.
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
	t.Logf("of %d in time %d, by the longest deadline %d; lost %d and %d", all, estimated, longestOnly, lost, lostLongestOnly)
	assert.Assert(t, float64(estimated) >= 1.3*float64(longestOnly), "%d and %d in time", estimated, longestOnly)
	assert.Assert(t, float64(lost) <= 1.1*float64(lostLongestOnly), "%d and %d lost", lost, lostLongestOnly)
}

// Callers who were refused find a third of the places that become free, also while
// others come who could be in time.
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
