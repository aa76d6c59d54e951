package btdirect

import "time"

const (
	// waitShare is the part of its objective for which a request waits for a place:
	// one that is refused after a quarter of it was kept too long.
	waitShare = 0.2
	// pressedShare is the part of the route's timeout below which a request has so
	// little time left that its caller hardly comes back after another refusal: as
	// a rule it has come back after one already, when at most a third was gone.
	pressedShare = 0.75
	// pressedWait is the part of the time left for which such a request waits, and
	// pressedMost the most: callers leave a stream that is silent for two seconds.
	pressedWait = 0.25
	pressedMost = 1500 * time.Millisecond
)

// patience is how long a request waits at the entry.
type patience struct {
	// group is for a broken group to open, place for a place among the requests
	// at work.
	group, place time.Duration
}

// pressed tells whether a refusal would be the request's last.
func (x *exchange) pressed() bool {
	return x.call.HasDeadline && float64(x.call.Deadline) < pressedShare*float64(x.route.Timeout)
}

// patience returns how long the request waits: a short time where its caller can
// come back, which is told when, and longer where it can't.
func (x *exchange) patience() patience {
	p := patience{place: time.Duration(float64(x.route.Objective) * waitShare)}
	if x.pressed() {
		left := x.deadline.Sub(x.entry.options.Clock())
		p.group = min(time.Duration(float64(left)*pressedWait), pressedMost)
		p.place = max(p.place, p.group)
	}
	return p
}

// urgency orders the requests that wait: by priority, and those that can't come
// back before the others.
func (x *exchange) urgency() int {
	if x.pressed() {
		return 2 * x.priority
	}
	return 2*x.priority + 1
}
