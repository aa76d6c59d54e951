package btstop_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btstop"
)

const (
	// late is a time after the load balancer has stopped sending connections.
	late = 4 * time.Second
	// fits and exceeds are durations that end in time from then on, and don't.
	fits    = 2 * time.Second
	exceeds = 4 * time.Second
)

// recorded returns the estimates after quick answers, of which one in so many was slow, and
// then some more quick ones.
func recorded(answers, slowEvery, more int) *btstop.Durations {
	d := btstop.NewDurations(10)
	for i := range answers + more {
		took := 100 * time.Millisecond
		if slowEvery > 0 && i < answers && i%slowEvery == 0 {
			took = exceeds
		}
		d.Record(route, took)
	}
	return d
}

// Guards against a request that comes late in a stop, of a route with a few slow answers or
// without known ones, and doesn't end in time; and against refusing those that do.
func TestLateRequestIsAcceptedByTheLongestAnswer(t *testing.T) {
	p := btstop.New(grace)
	for name, c := range map[string]struct {
		durations  *btstop.Durations
		repeatable bool
		left       time.Duration
		accepted   bool
	}{
		"unknown":                              {btstop.NewDurations(10), true, exceeds, false},
		"unknown, deadline in time":            {btstop.NewDurations(10), true, fits, true},
		"one answer":                           {recorded(1, 0, 0), true, exceeds, false},
		"few answers":                          {recorded(20, 0, 0), true, exceeds, true},
		"few answers, one slow":                {recorded(20, 20, 0), true, exceeds, false},
		"quick answers":                        {recorded(100, 0, 0), true, deadline, true},
		"one in eight slow":                    {recorded(100, 8, 0), true, deadline, false},
		"one in eight slow, then quick":        {recorded(100, 8, 24), true, deadline, false},
		"one in a hundred slow":                {recorded(101, 100, 99), true, deadline, false},
		"one slow, then many quick":            {recorded(1, 1, 2000), true, deadline, true},
		"one in eight slow, deadline in time":  {recorded(100, 8, 0), true, fits, true},
		"not twice, quick answers":             {recorded(100, 0, 0), false, deadline, false},
		"not twice, quick, deadline in time":   {recorded(100, 0, 0), false, fits, true},
		"not twice, unknown, deadline in time": {btstop.NewDurations(10), false, fits, true},
	} {
		r := btstop.Request{Route: route, Repeatable: c.repeatable, Left: c.left}
		assert.Equal(t, p.Accepts(late, c.durations, r), c.accepted, name)
	}
}

// Guards against refusing requests that callers can't send to another entry, because all are
// stopping: early in a stop the expected duration decides.
func TestEarlyRequestIsAcceptedIfItIsExpectedToFinish(t *testing.T) {
	p := btstop.New(grace)
	for _, repeatable := range []bool{true, false} {
		r := btstop.Request{Route: route, Repeatable: repeatable, Left: deadline}
		assert.Assert(t, p.Accepts(time.Second, recorded(3, 0, 0), r))
		assert.Equal(t, p.Accepts(time.Second, btstop.NewDurations(10), r), repeatable)
	}
}
