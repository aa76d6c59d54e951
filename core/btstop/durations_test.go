package btstop_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btstop"
)

const (
	route    = "drafts"
	deadline = 8 * time.Second
)

// durationsOf returns the estimates after requests that alternate between two durations.
func durationsOf(shorter, longer time.Duration) *btstop.Durations {
	d := btstop.NewDurations(10)
	for range 100 {
		d.Record(route, shorter)
		d.Record(route, longer)
	}
	return d
}

// accepts reports whether a stream that arrives at that time of the stop is accepted.
func accepts(d *btstop.Durations, elapsed time.Duration) bool {
	r := btstop.Request{Route: route, Stream: true, Left: deadline}
	return btstop.New(grace).Finishes(elapsed, d.Expected(r))
}

// Guards against accepting streams which the end of the stop cuts off: a load of long streams
// is accepted only early in the stop.
func TestLongStreamIsNotAcceptedLateInTheStop(t *testing.T) {
	long := durationsOf(5500*time.Millisecond, 6500*time.Millisecond)
	assert.Assert(t, accepts(long, 300*time.Millisecond))
	assert.Assert(t, !accepts(long, time.Second))
}

// Guards against refusing streams that end in time: a load of usual streams, also of mixed
// length, is accepted until the load balancer has stopped sending connections.
func TestUsualStreamIsAcceptedUntilTheBalancerStops(t *testing.T) {
	for _, d := range []*btstop.Durations{
		durationsOf(1200*time.Millisecond, 1200*time.Millisecond),
		durationsOf(500*time.Millisecond, 3*time.Second),
		btstop.NewDurations(10),
	} {
		assert.Assert(t, accepts(d, btstop.BalancerLag))
	}
}

// Guards against a request that must not run twice and is cut off: until durations are known
// its deadline has to end before the connections are closed.
func TestRequestOfUnknownDurationMustMeetItsDeadline(t *testing.T) {
	p, d := btstop.New(grace), btstop.NewDurations(10)
	r := btstop.Request{Route: "orders", Left: 3 * time.Second}
	assert.Assert(t, p.Finishes(4500*time.Millisecond, d.Expected(r)))
	assert.Assert(t, !p.Finishes(4600*time.Millisecond, d.Expected(r)))
	d.Record("orders", 50*time.Millisecond)
	assert.Assert(t, p.Finishes(6*time.Second, d.Expected(r)))
}

// Guards against state that grows with each route that was ever served.
func TestDurationsAreBounded(t *testing.T) {
	d := btstop.NewDurations(2)
	for _, name := range []string{"a", "b", "c"} {
		d.Record(name, time.Second)
	}
	assert.Equal(t, d.Expected(btstop.Request{Route: "a", Left: deadline}), deadline)
	assert.Assert(t, d.Expected(btstop.Request{Route: "c", Left: deadline}) < deadline)
}
