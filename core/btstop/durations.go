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
)

// Durations estimates how long the requests of each route last, from those that were
// answered. It is not safe for concurrent use.
type Durations struct {
	limit  int
	routes map[string]*duration
}

// duration has the mean and the mean deviation of a route's durations, in nanoseconds.
type duration struct{ mean, deviation float64 }

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
		d.routes[route] = &duration{mean: float64(took), deviation: float64(took) / 2}
		return
	}
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

// Finishes reports whether a request that is expected to last that long is answered before
// the connections are closed.
func (p Plan) Finishes(elapsed, expected time.Duration) bool { return elapsed+expected <= p.End }
