// Package btgate decides which requests of one service an entry sends on, which
// wait, in what order, and when those that are turned away had better come back.
//
// Engines in a lock-step group finish each pass together, so one request too
// many makes all of them late. The gate admits up to a limit for the whole group,
// of which it takes a part that follows what its callers ask and what it hears of
// the others; it lets requests wait while that promises more than a refusal, and
// refuses the rest at once. The limit follows the measured pauses between events:
// it shrinks when they come near what the operator allows and grows when there is
// room.
package btgate

import (
	"time"
)

// Config bounds a gate.
type Config struct {
	// Least and Most bound the limit, in requests of all entries.
	Least, Most float64
	// Start is the limit before anything was measured.
	Start float64
	// Entries is how many entries share the limit.
	Entries int
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
	// standstill is for how long no stream has gone on where a group was away, or the
	// entry itself: a step takes a tenth of it at most.
	standstill = time.Second
	// settleTime is for how long after that pauses tell nothing of the limit: a group
	// has its first map after 0.3 to 0.8 s and steps of two to three times the length
	// until then.
	settleTime = time.Second
	// busyShare is how much of the limit must be in use for it to grow.
	busyShare = 0.8
	// timeWeight is the weight of one request in the mean times: those of a second
	// or so count.
	timeWeight = 0.05
)

// Gate admits requests of one service. W is what the caller keeps for a waiting
// request. It is not safe for concurrent use.
type Gate[W any] struct {
	config   Config
	limit    float64
	running  int
	queue    []*Ticket[W]
	group    belief
	pause    float64
	adjusted time.Time
	// paused is when the last pause was measured, settled until when none counts.
	paused, settled time.Time
	// held is the mean time for which requests hold their places.
	held time.Duration
	// began is the mean time from admission until an answer begins, where answers
	// come in pieces.
	began time.Duration
	// promised counts the admissions by their part that goes to callers who come back.
	promised float64
	// booked is the time up to which refused requests were told to come back.
	booked time.Time
}

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

// Limit returns how many requests of all entries may be at work.
func (g *Gate[W]) Limit() int { return int(g.limit) }

// Running returns how many of this entry's requests are at work.
func (g *Gate[W]) Running() int { return g.running }

// Waiting returns how many requests wait.
func (g *Gate[W]) Waiting() int { return len(g.queue) }

// Enter admits a request and returns true, or else false.
func (g *Gate[W]) Enter(now time.Time) bool {
	if len(g.queue) > 0 || g.running >= g.Places(now) {
		return false
	}
	g.running++
	return true
}

// Leave gives a place back and returns the waiting requests that are admitted. Held
// is for how long a request had it that was answered, zero for one that was not:
// those that fail at once tell nothing of how long answers take.
func (g *Gate[W]) Leave(now time.Time, held time.Duration) []*Ticket[W] {
	g.running--
	if held > 0 {
		g.held = mean(g.held, held)
	}
	return g.admit(now)
}

// Began takes in how long after its admission an answer in pieces began.
func (g *Gate[W]) Began(after time.Duration) { g.began = mean(g.began, after) }

// Begin returns how long after its admission an answer begins; whole answers begin
// as they end.
func (g *Gate[W]) Begin() time.Duration {
	if g.began > 0 {
		return g.began
	}
	return g.held
}

// mean moves a mean by one measured time; the first one is the mean.
func mean(m, d time.Duration) time.Duration {
	if m == 0 {
		return d
	}
	return m + time.Duration(timeWeight*float64(d-m))
}

// between returns the mean time between two requests that leave, zero before any
// has been answered.
func (g *Gate[W]) between() time.Duration {
	return g.held / time.Duration(max(g.running, 1))
}

// Pause takes in a pause between two events of one stream, and the longest that
// is allowed. It returns true where the limit changed.
func (g *Gate[W]) Pause(now time.Time, pause, allowed time.Duration) bool {
	if allowed <= 0 || g.settles(now) {
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
	return g.adjust(g.total(now))
}

// settles tells whether streams go on again after a standstill. The pauses of the first
// steps are those of a map that is replaced at once. Where they counted, an entry that
// had only just started took its limit from 720 to 137 places within a second, and was
// at half of it three seconds later, with pauses at half of what is allowed.
func (g *Gate[W]) settles(now time.Time) bool {
	if now.Sub(g.paused) > standstill {
		g.settled = now.Add(settleTime)
	}
	g.paused = now
	return now.Before(g.settled)
}

// adjust changes the limit by the smoothed pause and the requests of all entries
// that are at work.
func (g *Gate[W]) adjust(total float64) bool {
	before := g.limit
	switch {
	case g.pause > shrinkAbove:
		// Only what is in use can be at fault.
		g.limit = min(g.limit, max(total, g.config.Least)) * shrinkFactor
	case g.pause < growBelow && total >= busyShare*g.limit:
		room := (growBelow - g.pause) / growBelow
		g.limit += max(growStep*g.config.Most, growRate*room*g.limit)
	}
	g.limit = min(max(g.limit, g.config.Least), g.config.Most)
	return g.limit != before
}

// Load returns the smoothed pause as a share of the allowed one.
func (g *Gate[W]) Load() float64 { return g.pause }
