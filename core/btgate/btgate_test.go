package btgate_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btgate"
)

var start = time.Unix(1000, 0)

func gate(limit float64) *btgate.Gate[int] {
	return btgate.New[int](btgate.Config{Least: 1, Most: limit, Start: limit, Entries: 1})
}

func TestAdmitsUpToTheLimit(t *testing.T) {
	g := gate(3)
	for range 3 {
		assert.Assert(t, g.Enter(start))
	}
	assert.Assert(t, !g.Enter(start))
	g.Leave(start, time.Millisecond)
	assert.Assert(t, g.Enter(start))
}

func TestMoreUrgentRequestsAreAdmittedFirst(t *testing.T) {
	g := gate(1)
	g.Enter(start)
	until := start.Add(time.Second)
	g.Wait(start, btgate.Request{Priority: 5, Until: until}, 1)
	g.Wait(start, btgate.Request{Priority: 5, Until: until}, 2)
	g.Wait(start, btgate.Request{Priority: 1, Until: until}, 3)
	var order []int
	for range 3 {
		for _, ticket := range g.Leave(start, time.Millisecond) {
			assert.Assert(t, ticket.Granted())
			order = append(order, ticket.Waiter)
		}
	}
	assert.DeepEqual(t, order, []int{3, 1, 2})
}

// A place that is given to a request which has given up meanwhile is lost for
// good, until nothing is admitted any more.
func TestPlacesOfThoseWhoGaveUpAreNotLost(t *testing.T) {
	g := gate(1)
	g.Enter(start)
	first := g.Wait(start, btgate.Request{Until: start.Add(time.Second)}, 1)
	second := g.Wait(start, btgate.Request{Until: start.Add(time.Second)}, 2)
	assert.Assert(t, g.Abandon(first))
	admitted := g.Leave(start, time.Millisecond)
	assert.Equal(t, len(admitted), 1)
	assert.Equal(t, admitted[0], second)
	assert.Assert(t, !g.Abandon(second), "admitted meanwhile: its place must be given back")
	g.Leave(start, time.Millisecond)
	assert.Equal(t, g.Running(), 0)
}

// busyGate has one place, which requests hold for the time.
func busyGate(held time.Duration) *btgate.Gate[int] {
	g := gate(1)
	g.Enter(start)
	g.Leave(start, held)
	g.Enter(start)
	return g
}

func TestNoWaitThatCannotHelp(t *testing.T) {
	g := busyGate(60 * time.Millisecond)
	until := start.Add(100 * time.Millisecond)
	assert.Assert(t, g.Wait(start, btgate.Request{Until: until}, 1) != nil)
	assert.Assert(t, g.Wait(start, btgate.Request{Until: until}, 2) == nil)
	assert.Equal(t, len(g.Leave(until.Add(1), time.Millisecond)), 0, "its time is over")
}

// How long an urgent request would wait goes by those before it only.
func TestUrgentRequestsWaitBehindMoreOfOthers(t *testing.T) {
	g := busyGate(60 * time.Millisecond)
	until := start.Add(100 * time.Millisecond)
	assert.Assert(t, g.Wait(start, btgate.Request{Priority: 3, Until: until}, 1) != nil)
	assert.Assert(t, g.Wait(start, btgate.Request{Priority: 3, Until: until}, 2) == nil)
	assert.Assert(t, g.Wait(start, btgate.Request{Priority: 2, Until: until}, 3) != nil)
}

func TestLimitFollowsThePauses(t *testing.T) {
	g := btgate.New[int](btgate.Config{Least: 4, Most: 40, Start: 40, Entries: 1})
	for range 40 {
		g.Enter(start)
	}
	now := start
	feed := func(pause time.Duration) {
		for range 400 {
			now = now.Add(10 * time.Millisecond)
			g.Pause(now, pause, 100*time.Millisecond)
		}
	}
	feed(130 * time.Millisecond)
	assert.Assert(t, g.Limit() < 25, "limit %d", g.Limit())
	low := g.Limit()
	for g.Running() > g.Limit() {
		g.Leave(now, time.Millisecond)
	}
	feed(85 * time.Millisecond)
	assert.Assert(t, g.Limit() <= low+1, "limit %d: nothing is changed between the marks", g.Limit())
	for range 40 {
		feed(40 * time.Millisecond)
		for g.Enter(start) {
		}
	}
	assert.Equal(t, g.Limit(), 40)
	assert.Assert(t, !g.Pause(now, time.Second, 0), "without an allowed pause there is no limit to follow")
}

func TestLimitStaysWithinItsBounds(t *testing.T) {
	g := btgate.New[int](btgate.Config{Least: 4, Most: 40, Start: 40, Entries: 1})
	now := start
	for range 10000 {
		now = now.Add(50 * time.Millisecond)
		g.Pause(now, time.Minute, 100*time.Millisecond)
	}
	assert.Equal(t, g.Limit(), 4)
	g.Configure(btgate.Config{Least: 8, Most: 80, Start: 80, Entries: 1})
	assert.Equal(t, g.Limit(), 8)
	g.Configure(btgate.Config{Least: 1, Most: 2, Start: 2, Entries: 1})
	assert.Equal(t, g.Limit(), 1)
}

// Once a slow spell is over the whole limit is in use again within two seconds:
// until then callers are refused though there is room.
func TestLimitIsBackSoonAfterASlowSpell(t *testing.T) {
	g := btgate.New[int](btgate.Config{Least: 10, Most: 40, Start: 40, Entries: 1})
	now := start
	step := func(pause time.Duration) {
		for g.Enter(start) {
		}
		now = now.Add(10 * time.Millisecond)
		g.Pause(now, pause, 100*time.Millisecond)
		for g.Running() > g.Limit() {
			g.Leave(now, time.Millisecond)
		}
	}
	for range 1000 {
		step(300 * time.Millisecond)
	}
	assert.Equal(t, g.Limit(), 10)
	over := now
	for g.Limit() < 40 {
		step(30 * time.Millisecond)
	}
	assert.Assert(t, now.Sub(over) <= 2*time.Second, "took %s", now.Sub(over))
}
