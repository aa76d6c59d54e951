package btstop

import (
	"math"
	"time"
)

const (
	// durationWeight is the weight of a new duration in a route's means.
	durationWeight = 1.0 / 16
	// streamDeviations and requestDeviations are the numbers of mean deviations above the
	// mean up to which a request is expected to last. A stream that is cut off can be
	// repeated by its caller, a request that must not run twice can't.
	streamDeviations  = 2
	requestDeviations = 4
	// longestAnswers is the number of answers after which a route's longest duration is of new
	// ones; it is kept for one to two times as many. That is many times as many as the mean
	// covers, as a few of a route's requests may take much longer than the others.
	longestAnswers = 512
	// unseenAnswers is how many answers a longer one is expected after: with as many known, a
	// request is taken to last up to twice as long as the longest, with fewer longer still.
	unseenAnswers = 64
)

// Durations estimates how long the requests of each route last, from those that were
// answered. It is not safe for concurrent use.
type Durations struct {
	limit  int
	routes map[string]*duration
}

// duration has the mean and the mean deviation of a route's durations, in nanoseconds.
type duration struct {
	mean, deviation float64
	// longest is the longest of the last answers, longestBefore that of those before them.
	longest, longestBefore time.Duration
	answers                int
}

func (e *duration) recordLongest(took time.Duration) {
	if e.answers%longestAnswers == 0 {
		e.longest, e.longestBefore = 0, e.longest
	}
	e.answers++
	e.longest = max(e.longest, took)
}

// NewDurations returns estimates of up to limit routes. Beyond that they begin anew, as
// routes come and go with catalogs.
func NewDurations(limit int) *Durations {
	return &Durations{limit: limit, routes: make(map[string]*duration)}
}

// Record adds the duration of an answered request.
func (d *Durations) Record(route string, took time.Duration) {
	e, found := d.routes[route]
	if !found {
		if len(d.routes) >= d.limit {
			clear(d.routes)
		}
		d.routes[route] = &duration{mean: float64(took), deviation: float64(took) / 2, longest: took, answers: 1}
		return
	}
	e.recordLongest(took)
	off := float64(took) - e.mean
	e.mean += durationWeight * off
	e.deviation += durationWeight * (math.Abs(off) - e.deviation)
}

// Request is a request that a stopping entry may accept.
type Request struct {
	Route string
	// Stream and Repeatable describe the route: its answers are streams, its requests may run
	// twice.
	Stream, Repeatable bool
	// Left is the time until its deadline.
	Left time.Duration
}

// Expected returns how long a request is expected to last at most. Until a request of the
// route has been answered that is zero, as most end long before their deadline, or the deadline
// if the request must not run twice.
func (d *Durations) Expected(r Request) time.Duration {
	e, found := d.routes[r.Route]
	switch {
	case !found && (r.Stream || r.Repeatable):
		return 0
	case !found:
		return r.Left
	}
	deviations := float64(requestDeviations)
	if r.Stream {
		deviations = streamDeviations
	}
	return min(time.Duration(e.mean+deviations*e.deviation), r.Left)
}

// longest returns how long a request may last by the longest that is known. If none is, or the
// request must not run twice, that is until its deadline.
func (d *Durations) longest(r Request) time.Duration {
	e, found := d.routes[r.Route]
	if !found || !r.Repeatable {
		return r.Left
	}
	known := float64(max(e.longest, e.longestBefore))
	return min(max(time.Duration(known*(1+unseenAnswers/float64(e.answers))), d.Expected(r)), r.Left)
}

// Accepts reports whether a request is accepted at a time since the start of the shutdown. As
// long as the load balancer may send connections it is if it is expected to be answered in time,
// since other entries may be stopping too. Later ones come on open connections, and their callers
// can be refused at little cost: they are accepted by the longest that is known.
func (p Plan) Accepts(elapsed time.Duration, d *Durations, r Request) bool {
	if elapsed < p.StreamCutoff {
		return p.Finishes(elapsed, d.Expected(r))
	}
	return p.Finishes(elapsed, d.longest(r))
}

// Finishes reports whether a request that is expected to last that long is answered before
// the connections are closed.
func (p Plan) Finishes(elapsed, expected time.Duration) bool { return elapsed+expected <= p.End }
