package btgate_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btgate"
)

func ExampleUsual() {
	var u btgate.Usual
	now := time.Unix(1000, 0)
	long := now.Add(-time.Minute)
	for i := range 32 {
		u.Add(now, 7*time.Second+time.Duration(i)*time.Second/32, long)
	}
	usual := u.Add(now, 7900*time.Millisecond, long)
	first := btgate.Caller{Left: 7100 * time.Millisecond, Usual: usual, Timeout: 8 * time.Second}
	second := btgate.Caller{Left: 5 * time.Second, Usual: usual, Timeout: 8 * time.Second}
	fmt.Println(first.Request(now, 0, 0).Last, second.Request(now, 0, 0).Last)
	// Output: false true
}

// A caller that was cut off after a second and came back is known by its deadline,
// also where callers allow less than the route, and before any range was learned.
func TestWhoComesAgainIsKnownByItsDeadline(t *testing.T) {
	var u btgate.Usual
	for left, again := range map[time.Duration]bool{3 * time.Second: false, 2990 * time.Millisecond: false, 2 * time.Second: true} {
		u.Add(start, 3*time.Second, start)
		c := btgate.Caller{Left: left, Usual: u.Add(start, left, start), Timeout: 8 * time.Second}
		assert.Equal(t, c.Request(start, 0, 0).Last, again, "%s", left)
	}
	usual := u.Add(start.Add(time.Minute), time.Second, start)
	assert.Equal(t, usual.Longest, time.Second, "callers have changed")
}

// Where callers' deadlines are spread, none who comes first is taken for one who comes
// again. By the longest deadline alone two of three were.
func TestSpreadDeadlinesAreLearned(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	spread := func() time.Duration {
		return 8*time.Second - time.Duration(random.Int64N(int64(2500*time.Millisecond)))
	}
	var u btgate.Usual
	now := start.Add(time.Minute)
	for range 200 {
		u.Add(now, spread(), start)
	}
	wrong := 0
	for range 1000 {
		left := spread()
		c := btgate.Caller{Left: left, Usual: u.Add(now, left, start), Timeout: 8 * time.Second}
		if c.Request(now, 0, 0).Last {
			wrong++
		}
	}
	assert.Assert(t, wrong <= 60, "%d of 1000", wrong)
}

// Who comes while others have just been turned away teaches nothing.
func TestCallersWhoWereTurnedAwayTeachNothing(t *testing.T) {
	var u btgate.Usual
	refused := start
	for i := range 100 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		u.Add(now, 8*time.Second, refused)
		u.Add(now, 4*time.Second, refused)
	}
	usual := u.Add(start.Add(2*time.Second), 8*time.Second, refused)
	assert.Equal(t, usual.Shortest, 6400*time.Millisecond)
}

// crowd is callers who ask a group for a multiple of what it carries, and come back
// once when they are refused.
type crowd struct {
	random  *rand.Rand
	gate    *btgate.Gate[*crowdCall]
	usual   btgate.Usual
	refused time.Time
	// byLongest takes the longest deadline for every caller's.
	byLongest bool
	calls     []*crowdCall
	ends      []time.Time
	inTime    int
	lost      int
	all       int
}

type crowdCall struct {
	first, at time.Time
	left      time.Duration
	again     bool
	ticket    *btgate.Ticket[*crowdCall]
}

const (
	crowdPlaces = 40
	crowdHold   = 1600 * time.Millisecond
	crowdBegin  = 220 * time.Millisecond
	crowdAim    = 500 * time.Millisecond
	// crowdCalm is for how long callers come at a rate that is carried, crowdRush for
	// how long at three times the rate.
	crowdCalm = 12 * time.Second
	crowdRush = 12 * time.Second
)

func playCrowd(seed uint64, byLongest bool) *crowd {
	c := &crowd{
		random:    rand.New(rand.NewPCG(seed, 9)),
		gate:      btgate.New[*crowdCall](btgate.Config{Least: 1, Most: crowdPlaces, Start: crowdPlaces, Entries: 1}),
		byLongest: byLongest,
	}
	carried := crowdPlaces / crowdHold.Seconds()
	next := start
	for now := start; now.Before(start.Add(crowdCalm + crowdRush)); now = now.Add(tick) {
		for !next.After(now) {
			rate := 0.7 * carried
			if now.After(start.Add(crowdCalm)) {
				rate = 3 * carried
				c.all++
			}
			left := 8*time.Second - time.Duration(c.random.Int64N(int64(1200*time.Millisecond)))
			c.calls = append(c.calls, &crowdCall{first: now, at: now, left: left})
			next = next.Add(time.Duration(c.random.ExpFloat64() / rate * float64(time.Second)))
		}
		c.step(now)
	}
	return c
}

func (c *crowd) step(now time.Time) {
	kept := c.ends[:0]
	var left int
	for _, end := range c.ends {
		if end.After(now) {
			kept = append(kept, end)
			continue
		}
		left++
	}
	c.ends = kept
	for range left {
		for _, t := range c.gate.Leave(now, crowdHold) {
			c.begin(now, t.Waiter)
		}
	}
	var waiting []*crowdCall
	for _, call := range c.calls {
		if !c.turn(now, call) {
			waiting = append(waiting, call)
		}
	}
	c.calls = waiting
}

// turn tells whether the call is over or at work.
func (c *crowd) turn(now time.Time, call *crowdCall) bool {
	switch {
	case call.ticket != nil && call.ticket.Granted():
		return true
	case call.ticket != nil:
		if call.ticket.Until.After(now) {
			return false
		}
		c.gate.Abandon(call.ticket)
		call.ticket = nil
		return c.refuse(now, call)
	case call.at.After(now):
		return false
	}
	left := call.left - now.Sub(call.first)
	usual := c.usual.Add(now, left, c.refused)
	if c.byLongest {
		usual.Shortest = usual.Longest
	}
	caller := btgate.Caller{Left: left, Usual: usual, Objective: crowdAim, Timeout: 8 * time.Second}
	r := caller.Request(now, 0, crowdBegin)
	if c.gate.Enter(now) {
		c.begin(now, call)
		return true
	}
	call.ticket = c.gate.Wait(now, r, call)
	if call.ticket == nil {
		return c.refuse(now, call)
	}
	return false
}

func (c *crowd) refuse(now time.Time, call *crowdCall) bool {
	c.refused = now
	if call.again {
		c.lost++
		return true
	}
	call.again = true
	call.at = now.Add(c.gate.ComeBack(now, (call.left-now.Sub(call.first))/3))
	return false
}

func (c *crowd) begin(now time.Time, call *crowdCall) {
	c.ends = append(c.ends, now.Add(crowdHold))
	if call.first.After(start.Add(crowdCalm)) && now.Add(crowdBegin).Sub(call.first) <= crowdAim {
		c.inTime++
	}
}

// Three times as many callers come as the group carries. Those who are known to be able
// to be in time are served in time; where only the longest deadline is known most of
// them wait behind those who can't be.
func TestACrowdIsServedInTimeAsFarAsTheGroupCarries(t *testing.T) {
	var known, byLongest, lost, lostByLongest, all int
	for seed := range uint64(5) {
		a, b := playCrowd(seed, false), playCrowd(seed, true)
		known += a.inTime
		byLongest += b.inTime
		lost += a.lost
		lostByLongest += b.lost
		all += a.all
	}
	t.Logf("of %d in time %d, by the longest deadline %d; lost %d and %d", all, known, byLongest, lost, lostByLongest)
	assert.Assert(t, float64(known) >= 1.3*float64(byLongest), "%d and %d in time", known, byLongest)
	assert.Assert(t, float64(lost) <= 1.1*float64(lostByLongest), "%d and %d lost", lost, lostByLongest)
}

// Callers who were refused find a third of the places that become free, also while
// others come who could be in time.
func TestPromisedPlacesAreKept(t *testing.T) {
	g := gate(1)
	g.Enter(start)
	until := start.Add(time.Hour)
	soon := start.Add(500 * time.Millisecond)
	for i := range 6 {
		g.Wait(start, btgate.Request{Until: until, InTime: until}, i)
	}
	g.Wait(start, btgate.Request{Until: soon, Last: true}, 100)
	g.Wait(start, btgate.Request{Until: soon.Add(-time.Millisecond), Last: true}, 101)
	g.Wait(start, btgate.Request{Until: until, Last: true}, 102)
	assert.DeepEqual(t, drain(g, start), []int{0, 1, 101, 2, 3, 100, 4, 5, 102})
}
