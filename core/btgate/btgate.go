// Package btgate limits how many requests of one service an entry has in flight. It
// decides which requests are admitted, which wait and in what order, and what retry
// delay a refused caller is given.
//
// The members of a lock-step group finish each step together, so one request too many
// delays all the others. The limit applies to the whole group; each entry uses a
// fraction of it that follows its own demand and the last report of the group's load. A
// request is queued only if it is likely to be admitted before it gives up, otherwise
// it is refused immediately. The limit adapts to the pauses between the events of streams:
// it decreases when they approach the longest pause that the operator allows and
// increases when they are well below it.
package btgate

import (
	"time"
)

// Config holds the bounds of a gate's limit.
type Config struct {
	// MinLimit and MaxLimit bound the limit, in requests of all entries.
	MinLimit, MaxLimit float64
	// InitialLimit is the limit before any pause is measured.
	InitialLimit float64
	// Entries is the number of entries that share the limit.
	Entries int
}

const (
	// adjustInterval is the shortest time between two changes of the limit. It covers a
	// few steps of a group, so that the effect of a change is measured before the next
	// one.
	adjustInterval = 250 * time.Millisecond
	// decreaseAbove and increaseBelow are thresholds of the mean pause, as fractions of
	// the allowed pause. Between them the limit is unchanged.
	decreaseAbove = 0.92
	increaseBelow = 0.75
	// decreaseFactor and increaseStep are the multiplicative decrease and the additive
	// increase of the limit; increaseStep is a fraction of MaxLimit.
	decreaseFactor = 0.92
	increaseStep   = 0.03
	// recoveryRate is the fraction of the current limit by which it increases when
	// pauses are close to zero. With it the limit recovers within two seconds of the
	// end of a slow period.
	recoveryRate = 0.5
	// pauseWeight is the weight of one pause in the moving average.
	pauseWeight = 0.05
	// interruptionThreshold is the time without a measured pause after which the group
	// or this entry is assumed to have been interrupted. A step takes a tenth of it at
	// most.
	interruptionThreshold = time.Second
	// settleTime is how long pauses are ignored after an interruption. A new group has
	// its first expert map after 0.3 to 0.8 s, and its steps take two to three times as
	// long until then.
	settleTime = time.Second
	// minUtilisation is the fraction of the limit that must be in use before it
	// increases.
	minUtilisation = 0.8
	// durationWeight is the weight of one request in the mean durations. They cover
	// about the last second of requests.
	durationWeight = 0.05
)

// Gate limits the concurrent requests of one service at one entry. V is the caller's
// value for a waiting request. A Gate is not safe for concurrent use.
type Gate[V any] struct {
	config     Config
	limit      float64
	running    int
	queue      []*Waiter[V]
	reported   loadReport
	pauseRatio float64
	adjustedAt time.Time
	// lastPause is when the last pause was measured. Pauses before settleUntil are
	// ignored.
	lastPause, settleUntil time.Time
	// serviceTime is the mean time that a request holds its slot.
	serviceTime time.Duration
	// startLatency is the mean time from admission to the first event of a streamed
	// response.
	startLatency time.Duration
	// retryCredit accumulates retryFraction per admission. One credit admits one
	// waiting request that is its caller's last attempt.
	retryCredit float64
	// scheduledUntil is the end of the time already assigned to refused callers as retry
	// delays.
	scheduledUntil time.Time
	// pausedUntil is until when no request is admitted.
	pausedUntil time.Time
}

// New returns a gate whose limit is InitialLimit.
func New[V any](c Config) *Gate[V] {
	return &Gate[V]{config: c, limit: c.InitialLimit}
}

// Configure replaces the bounds. The limit is scaled with MaxLimit and clamped to the
// new bounds.
func (g *Gate[V]) Configure(c Config) {
	if g.config == c {
		return
	}
	if g.config.MaxLimit > 0 {
		g.limit *= c.MaxLimit / g.config.MaxLimit
	}
	g.config = c
	g.limit = min(max(g.limit, c.MinLimit), c.MaxLimit)
}

// Limit returns the number of requests that all entries together may have in flight.
func (g *Gate[V]) Limit() int { return int(g.limit) }

// Running returns the number of this entry's requests in flight.
func (g *Gate[V]) Running() int { return g.running }

// Waiting returns the number of queued requests.
func (g *Gate[V]) Waiting() int { return len(g.queue) }

// TryAcquire takes a slot for a request and reports whether one was free. It never
// overtakes queued requests.
func (g *Gate[V]) TryAcquire(now time.Time) bool {
	if len(g.queue) > 0 || g.running >= g.EntryLimit(now) {
		return false
	}
	g.running++
	return true
}

// Release returns a slot and returns the queued requests that are admitted. Held is how
// long an answered request held the slot. It is zero for a request that was not
// answered, as requests that fail immediately don't show the service time.
func (g *Gate[V]) Release(now time.Time, held time.Duration) []*Waiter[V] {
	g.running--
	if held > 0 {
		g.serviceTime = updateMean(g.serviceTime, held)
	}
	return g.admit(now)
}

// ObserveStartLatency records the time from admission to the first event of a streamed
// response.
func (g *Gate[V]) ObserveStartLatency(after time.Duration) {
	g.startLatency = updateMean(g.startLatency, after)
}

// StartLatency returns the mean time from admission to the start of a response. A
// response that is not streamed starts when it ends.
func (g *Gate[V]) StartLatency() time.Duration {
	if g.startLatency > 0 {
		return g.startLatency
	}
	return g.serviceTime
}

// updateMean returns the moving average m after the sample d. The first sample is the
// average.
func updateMean(m, d time.Duration) time.Duration {
	if m == 0 {
		return d
	}
	return m + time.Duration(durationWeight*float64(d-m))
}

// departureInterval returns the mean time between two released slots, or zero before
// any request has been answered. In a pause it is that of the requests that are admitted
// at its end.
func (g *Gate[V]) departureInterval(now time.Time) time.Duration {
	inFlight := g.running
	if g.pauseLeft(now) > 0 {
		inFlight = max(inFlight, g.unpausedLimit(now))
	}
	return g.serviceTime / time.Duration(max(inFlight, 1))
}

// ObservePause records a pause between two events of one stream, and the longest
// allowed pause. It reports whether the limit changed. Without an allowed pause it does
// nothing.
func (g *Gate[V]) ObservePause(now time.Time, pause, allowed time.Duration) bool {
	if allowed <= 0 || g.settling(now) {
		return false
	}
	ratio := float64(pause) / float64(allowed)
	// A single long pause, such as a group waiting for a member, says nothing about the
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

// settling reports whether streams have just resumed after an interruption. The first
// steps of a group use a map that is replaced shortly. If their pauses counted, an entry
// that has just started would cut its limit from 720 to 137 slots within a second and
// still be at half of it three seconds later, with pauses at half of the allowed one.
func (g *Gate[V]) settling(now time.Time) bool {
	if now.Sub(g.lastPause) > interruptionThreshold {
		g.settleUntil = now.Add(settleTime)
	}
	g.lastPause = now
	return now.Before(g.settleUntil)
}

// adjustLimit changes the limit by the mean pause and the number of requests of all
// entries in flight.
func (g *Gate[V]) adjustLimit(total float64) bool {
	before := g.limit
	switch {
	case g.pauseRatio > decreaseAbove:
		// The pauses are caused by the slots in use, so the decrease starts from their
		// number.
		g.limit = min(g.limit, max(total, g.config.MinLimit)) * decreaseFactor
	case g.pauseRatio < increaseBelow && total >= minUtilisation*g.limit:
		room := (increaseBelow - g.pauseRatio) / increaseBelow
		g.limit += max(increaseStep*g.config.MaxLimit, recoveryRate*room*g.limit)
	}
	g.limit = min(max(g.limit, g.config.MinLimit), g.config.MaxLimit)
	return g.limit != before
}

// PauseRatio returns the mean pause as a fraction of the allowed one.
func (g *Gate[V]) PauseRatio() float64 { return g.pauseRatio }
