package btgate_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btgate"
)

var start = time.Unix(1000, 0)

func newGate(limit float64) *btgate.Gate[int] {
	return btgate.New[int](btgate.Config{MinLimit: 1, MaxLimit: limit, InitialLimit: limit, Entries: 1})
}

func TestGateAdmitsUpToLimit(t *testing.T) {
	g := newGate(3)
	for range 3 {
		assert.Assert(t, g.TryAcquire(start))
	}
	assert.Assert(t, !g.TryAcquire(start))
	g.Release(start, time.Millisecond)
	assert.Assert(t, g.TryAcquire(start))
}

func TestHigherPriorityIsAdmittedFirst(t *testing.T) {
	g := newGate(1)
	g.TryAcquire(start)
	until := start.Add(time.Second)
	g.Enqueue(start, btgate.Request{Priority: 5, WaitUntil: until}, 1)
	g.Enqueue(start, btgate.Request{Priority: 5, WaitUntil: until}, 2)
	g.Enqueue(start, btgate.Request{Priority: 1, WaitUntil: until}, 3)
	var order []int
	for range 3 {
		for _, w := range g.Release(start, time.Millisecond) {
			assert.Assert(t, w.Admitted())
			order = append(order, w.Value)
		}
	}
	assert.DeepEqual(t, order, []int{3, 1, 2})
}

// Guards against leaked slots: a slot assigned to a request that has given up is never
// returned, until nothing is admitted any more.
func TestCancelledRequestsDoNotLeakSlots(t *testing.T) {
	g := newGate(1)
	g.TryAcquire(start)
	first := g.Enqueue(start, btgate.Request{WaitUntil: start.Add(time.Second)}, 1)
	second := g.Enqueue(start, btgate.Request{WaitUntil: start.Add(time.Second)}, 2)
	assert.Assert(t, g.Cancel(first))
	admitted := g.Release(start, time.Millisecond)
	assert.Equal(t, len(admitted), 1)
	assert.Equal(t, admitted[0], second)
	assert.Assert(t, !g.Cancel(second), "admitted in the meantime: its slot must be released")
	g.Release(start, time.Millisecond)
	assert.Equal(t, g.Running(), 0)
}

// busyGate returns a gate whose only slot is taken and whose mean service time is the
// given one.
func busyGate(serviceTime time.Duration) *btgate.Gate[int] {
	g := newGate(1)
	g.TryAcquire(start)
	g.Release(start, serviceTime)
	g.TryAcquire(start)
	return g
}

func TestEnqueueRefusesRequestsThatWouldGiveUp(t *testing.T) {
	g := busyGate(60 * time.Millisecond)
	until := start.Add(100 * time.Millisecond)
	assert.Assert(t, g.Enqueue(start, btgate.Request{WaitUntil: until}, 1) != nil)
	assert.Assert(t, g.Enqueue(start, btgate.Request{WaitUntil: until}, 2) == nil)
	assert.Equal(t, len(g.Release(until.Add(1), time.Millisecond)), 0, "its wait has ended")
}

// The expected wait of a request counts only the queued requests that precede it.
func TestEnqueueCountsOnlyRequestsAhead(t *testing.T) {
	g := busyGate(60 * time.Millisecond)
	until := start.Add(100 * time.Millisecond)
	assert.Assert(t, g.Enqueue(start, btgate.Request{Priority: 3, WaitUntil: until}, 1) != nil)
	assert.Assert(t, g.Enqueue(start, btgate.Request{Priority: 3, WaitUntil: until}, 2) == nil)
	assert.Assert(t, g.Enqueue(start, btgate.Request{Priority: 2, WaitUntil: until}, 3) != nil)
}

func TestLimitFollowsPauses(t *testing.T) {
	g := btgate.New[int](btgate.Config{MinLimit: 4, MaxLimit: 40, InitialLimit: 40, Entries: 1})
	for range 40 {
		g.TryAcquire(start)
	}
	now := start
	feed := func(pause time.Duration) {
		for range 400 {
			now = now.Add(10 * time.Millisecond)
			g.ObservePause(now, pause, 100*time.Millisecond)
		}
	}
	feed(130 * time.Millisecond)
	assert.Assert(t, g.Limit() < 25, "limit %d", g.Limit())
	low := g.Limit()
	for g.Running() > g.Limit() {
		g.Release(now, time.Millisecond)
	}
	feed(85 * time.Millisecond)
	assert.Assert(t, g.Limit() <= low+1, "limit %d: it must not change between the thresholds", g.Limit())
	for range 40 {
		feed(40 * time.Millisecond)
		for g.TryAcquire(start) {
		}
	}
	assert.Equal(t, g.Limit(), 40)
	assert.Assert(t, !g.ObservePause(now, time.Second, 0), "without an allowed pause there is no limit to follow")
}

func TestLimitStaysWithinBounds(t *testing.T) {
	g := btgate.New[int](btgate.Config{MinLimit: 4, MaxLimit: 40, InitialLimit: 40, Entries: 1})
	now := start
	for range 10000 {
		now = now.Add(50 * time.Millisecond)
		g.ObservePause(now, time.Minute, 100*time.Millisecond)
	}
	assert.Equal(t, g.Limit(), 4)
	g.Configure(btgate.Config{MinLimit: 8, MaxLimit: 80, InitialLimit: 80, Entries: 1})
	assert.Equal(t, g.Limit(), 8)
	g.Configure(btgate.Config{MinLimit: 1, MaxLimit: 2, InitialLimit: 2, Entries: 1})
	assert.Equal(t, g.Limit(), 1)
}

// Guards against a slow recovery: after a slow period the whole limit must be in use
// again within two seconds, as callers are refused until then although there is
// capacity.
func TestLimitRecoversAfterSlowPeriod(t *testing.T) {
	g := btgate.New[int](btgate.Config{MinLimit: 10, MaxLimit: 40, InitialLimit: 40, Entries: 1})
	now := start
	step := func(pause time.Duration) {
		for g.TryAcquire(start) {
		}
		now = now.Add(10 * time.Millisecond)
		g.ObservePause(now, pause, 100*time.Millisecond)
		for g.Running() > g.Limit() {
			g.Release(now, time.Millisecond)
		}
	}
	for range 1000 {
		step(300 * time.Millisecond)
	}
	assert.Equal(t, g.Limit(), 10)
	slowEnd := now
	for g.Limit() < 40 {
		step(30 * time.Millisecond)
	}
	assert.Assert(t, now.Sub(slowEnd) <= 2*time.Second, "took %s", now.Sub(slowEnd))
}
