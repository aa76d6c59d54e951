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
	// MinLimit and MaxLimit bound the limit, in requests of all entries.
	MinLimit, MaxLimit float64
	// InitialLimit is the limit before anything was measured.
	InitialLimit float64
	// Entries is how many entries share the limit.
	Entries int
}

const (
	// adjustInterval is the time between two changes of the limit: a few passes of
	// a group, so that a change shows before the next one.
	adjustInterval = 250 * time.Millisecond
	// decreaseAbove and growBelow are shares of the allowed pause. Between them
	// the limit stays.
	decreaseAbove = 0.92
	increaseBelow = 0.75
	// decreaseFactor and growStep are the usual multiplicative decrease and
	// additive increase; the step is a share of the largest limit.
	decreaseFactor = 0.92
	increaseStep   = 0.03
	// recoveryRate is the part of itself by which the limit grows where pauses are
	// near none, so that it is back within two seconds of a slow spell's end.
	recoveryRate = 0.5
	// pauseWeight is the weight of one pause in the moving average.
	pauseWeight = 0.05
	// interruptionThreshold is for how long no stream has gone on where a group was away, or the
	// entry itself: a step takes a tenth of it at most.
	interruptionThreshold = time.Second
	// settleTime is for how long after that pauses tell nothing of the limit: a group
	// has its first map after 0.3 to 0.8 s and steps of two to three times the length
	// until then.
	settleTime = time.Second
	// minUtilisation is how much of the limit must be in use for it to grow.
	minUtilisation = 0.8
	// durationWeight is the weight of one request in the mean times: those of a second
	// or so count.
	durationWeight = 0.05
)

// Gate admits requests of one service. W is what the caller keeps for a waiting
// request. It is not safe for concurrent use.
type Gate[W any] struct {
	config     Config
	limit      float64
	running    int
	queue      []*Waiter[W]
	reported   loadReport
	pauseRatio float64
	adjustedAt time.Time
	// lastPause is when the last pause was measured, settleUntil until when none counts.
	lastPause, settleUntil time.Time
	// serviceTime is the mean time for which requests hold their places.
	serviceTime time.Duration
	// startLatency is the mean time from admission until an answer begins, where answers
	// come in pieces.
	startLatency time.Duration
	// retryCredit counts the admissions by their part that goes to callers who come back.
	retryCredit float64
	// bookedUntil is the time up to which refused requests were told to come back.
	bookedUntil time.Time
}

// New returns an open gate.
func New[W any](c Config) *Gate[W] {
	return &Gate[W]{config: c, limit: c.InitialLimit}
}

// Configure changes the bounds; the limit stays within them.
func (g *Gate[W]) Configure(c Config) {
	if g.config == c {
		return
	}
	if g.config.MaxLimit > 0 {
		g.limit *= c.MaxLimit / g.config.MaxLimit
	}
	g.config = c
	g.limit = min(max(g.limit, c.MinLimit), c.MaxLimit)
}

// Limit returns how many requests of all entries may be at work.
func (g *Gate[W]) Limit() int { return int(g.limit) }

// Running returns how many of this entry's requests are at work.
func (g *Gate[W]) Running() int { return g.running }

// Waiting returns how many requests wait.
func (g *Gate[W]) Waiting() int { return len(g.queue) }

// TryAcquire admits a request and returns true, or else false.
func (g *Gate[W]) TryAcquire(now time.Time) bool {
	if len(g.queue) > 0 || g.running >= g.EntryLimit(now) {
		return false
	}
	g.running++
	return true
}

// Release gives a place back and returns the waiting requests that are admitted. Held
// is for how long a request had it that was answered, zero for one that was not:
// those that fail at once tell nothing of how long answers take.
func (g *Gate[W]) Release(now time.Time, held time.Duration) []*Waiter[W] {
	g.running--
	if held > 0 {
		g.serviceTime = updateMean(g.serviceTime, held)
	}
	return g.admit(now)
}

// ObserveStartLatency takes in how long after its admission an answer in pieces began.
func (g *Gate[W]) ObserveStartLatency(after time.Duration) {
	g.startLatency = updateMean(g.startLatency, after)
}

// StartLatency returns how long after its admission an answer begins; whole answers begin
// as they end.
func (g *Gate[W]) StartLatency() time.Duration {
	if g.startLatency > 0 {
		return g.startLatency
	}
	return g.serviceTime
}

// updateMean moves a updateMean by one measured time; the first one is the updateMean.
func updateMean(m, d time.Duration) time.Duration {
	if m == 0 {
		return d
	}
	return m + time.Duration(durationWeight*float64(d-m))
}

// departureInterval returns the mean time departureInterval two requests that leave, zero before any
// has been answered.
func (g *Gate[W]) departureInterval() time.Duration {
	return g.serviceTime / time.Duration(max(g.running, 1))
}

// ObservePause takes in a pause between two events of one stream, and the longest that
// is allowed. It returns true where the limit changed.
func (g *Gate[W]) ObservePause(now time.Time, pause, allowed time.Duration) bool {
	if allowed <= 0 || g.settling(now) {
		return false
	}
	ratio := float64(pause) / float64(allowed)
	// One long pause, as when a group waits for a member, says nothing of the
	// load.
	ratio = min(ratio, 2)
	if g.pauseRatio == 0 {
		g.pauseRatio = ratio
	}
	g.pauseRatio += pauseWeight * (ratio - g.pauseRatio)
	if now.Sub(g.adjustedAt) < adjustInterval {
		return false
	}
	g.adjustedAt = now
	return g.adjustLimit(g.estimatedTotal(now))
}

// settling tells whether streams go on again after a standstill. The pauses of the first
// steps are those of a map that is replaced at once. Where they counted, an entry that
// had only just started took its limit from 720 to 137 places within a second, and was
// at half of it three seconds later, with pauses at half of what is allowed.
func (g *Gate[W]) settling(now time.Time) bool {
	if now.Sub(g.lastPause) > interruptionThreshold {
		g.settleUntil = now.Add(settleTime)
	}
	g.lastPause = now
	return now.Before(g.settleUntil)
}

// adjustLimit changes the limit by the smoothed pause and the requests of all entries
// that are at work.
func (g *Gate[W]) adjustLimit(total float64) bool {
	before := g.limit
	switch {
	case g.pauseRatio > decreaseAbove:
		// Only what is in use can be at fault.
		g.limit = min(g.limit, max(total, g.config.MinLimit)) * decreaseFactor
	case g.pauseRatio < increaseBelow && total >= minUtilisation*g.limit:
		room := (increaseBelow - g.pauseRatio) / increaseBelow
		g.limit += max(increaseStep*g.config.MaxLimit, recoveryRate*room*g.limit)
	}
	g.limit = min(max(g.limit, g.config.MinLimit), g.config.MaxLimit)
	return g.limit != before
}

// PauseRatio returns the smoothed pause as a share of the allowed one.
func (g *Gate[W]) PauseRatio() float64 { return g.pauseRatio }
