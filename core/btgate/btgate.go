// Package btgate bounds how many requests of one service an entry has at work.
//
// Engines in a lock-step group finish each pass together, so one request too
// many makes all of them late. The gate admits up to a limit, lets a bounded
// number wait while they can still be in time, and refuses the rest at once.
// The limit follows the measured pauses between events: it shrinks when they
// come near what the operator allows and grows when there is room.
package btgate

import (
	"time"
)

// Config bounds a gate.
type Config struct {
	// Least and Most bound the limit, in requests.
	Least, Most float64
	// Start is the limit before anything was measured.
	Start float64
}

const (
	// adjustEvery is the time between two changes of the limit: a few passes of
	// a group, so that a change shows before the next one.
	adjustEvery = 250 * time.Millisecond
	// shrinkAbove and growBelow are shares of the allowed pause. Between them
	// the limit stays.
	shrinkAbove = 0.92
	growBelow   = 0.75
	// shrinkFactor and growStep are the usual multiplicative decrease and
	// additive increase; the step is a share of the largest limit.
	shrinkFactor = 0.92
	growStep     = 0.03
	// growRate is the part of itself by which the limit grows where pauses are
	// near none, so that it is back within two seconds of a slow spell's end.
	growRate = 0.5
	// smoothing is the weight of one pause in the moving average.
	smoothing = 0.05
	// busyShare is how much of the limit must be in use for it to grow.
	busyShare = 0.8
)

// Gate admits requests of one service. W is what the caller keeps for a waiting
// request. It is not safe for concurrent use.
type Gate[W any] struct {
	config   Config
	limit    float64
	running  int
	queue    []*Ticket[W]
	pause    float64
	adjusted time.Time
}

// Ticket is a waiting request.
type Ticket[W any] struct {
	Waiter   W
	Until    time.Time
	priority int
	granted  bool
	left     bool
}

// Granted tells whether the request was admitted.
func (t *Ticket[W]) Granted() bool { return t.granted }

// New returns an open gate.
func New[W any](c Config) *Gate[W] {
	return &Gate[W]{config: c, limit: c.Start}
}

// Configure changes the bounds; the limit stays within them.
func (g *Gate[W]) Configure(c Config) {
	if g.config == c {
		return
	}
	if g.config.Most > 0 {
		g.limit *= c.Most / g.config.Most
	}
	g.config = c
	g.limit = min(max(g.limit, c.Least), c.Most)
}

// Limit returns how many requests may be at work.
func (g *Gate[W]) Limit() int { return int(g.limit) }

// Running returns how many requests are at work.
func (g *Gate[W]) Running() int { return g.running }

// Waiting returns how many requests wait.
func (g *Gate[W]) Waiting() int { return len(g.queue) }

// Enter admits a request and returns true, or else false.
func (g *Gate[W]) Enter() bool {
	if len(g.queue) > 0 || g.running >= int(g.limit) {
		return false
	}
	g.running++
	return true
}

// Wait queues a request until the time, more urgent ones first. It returns nil
// where more wait before it than can be admitted by then: at the rate at which
// requests leave, given as the mean time between two.
func (g *Gate[W]) Wait(now, until time.Time, priority int, between time.Duration, w W) *Ticket[W] {
	at := len(g.queue)
	for at > 0 && g.queue[at-1].priority > priority {
		at--
	}
	expected := time.Duration(at+1) * between
	if now.Add(expected).After(until) {
		return nil
	}
	t := &Ticket[W]{Waiter: w, Until: until, priority: priority}
	g.queue = append(g.queue, nil)
	copy(g.queue[at+1:], g.queue[at:])
	g.queue[at] = t
	return t
}

// Abandon takes a waiting request out. It returns false where the request was
// admitted meanwhile, so that its place must be given back with Leave.
func (g *Gate[W]) Abandon(t *Ticket[W]) bool {
	if t.granted {
		return false
	}
	t.left = true
	for i, q := range g.queue {
		if q == t {
			g.queue = append(g.queue[:i], g.queue[i+1:]...)
			break
		}
	}
	return true
}

// Leave gives a place back and returns the waiting requests that it admits.
func (g *Gate[W]) Leave(now time.Time) []*Ticket[W] {
	g.running--
	return g.admit(now)
}

func (g *Gate[W]) admit(now time.Time) []*Ticket[W] {
	var admitted []*Ticket[W]
	for len(g.queue) > 0 && g.running < int(g.limit) {
		t := g.queue[0]
		g.queue = g.queue[1:]
		if t.left || now.After(t.Until) {
			continue
		}
		t.granted = true
		g.running++
		admitted = append(admitted, t)
	}
	return admitted
}

// Pause takes in a pause between two events of one stream, and the longest that
// is allowed. It returns true where the limit changed.
func (g *Gate[W]) Pause(now time.Time, pause, allowed time.Duration) bool {
	if allowed <= 0 {
		return false
	}
	share := float64(pause) / float64(allowed)
	// One long pause, as when a group waits for a member, says nothing of the
	// load.
	share = min(share, 2)
	if g.pause == 0 {
		g.pause = share
	}
	g.pause += smoothing * (share - g.pause)
	if now.Sub(g.adjusted) < adjustEvery {
		return false
	}
	g.adjusted = now
	before := g.limit
	switch {
	case g.pause > shrinkAbove:
		// Only what is in use can be at fault.
		g.limit = min(g.limit, max(float64(g.running), g.config.Least)) * shrinkFactor
	case g.pause < growBelow && float64(g.running) >= busyShare*g.limit:
		room := (growBelow - g.pause) / growBelow
		g.limit += max(growStep*g.config.Most, growRate*room*g.limit)
	}
	g.limit = min(max(g.limit, g.config.Least), g.config.Most)
	return g.limit != before
}

// Load returns the smoothed pause as a share of the allowed one.
func (g *Gate[W]) Load() float64 { return g.pause }
