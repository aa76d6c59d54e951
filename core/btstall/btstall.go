// Package btstall detects the members of a lock-step group that have stalled.
//
// All members that have streams send an event with each step of the group. A member
// that doesn't, while others do, is on a host that is frozen or cut off. What is sent
// to it meanwhile is read when the host resumes, after the callers have left.
package btstall

import (
	"math"
	"time"
)

const (
	// stallDeviations is the number of mean deviations above the mean pause after
	// which a member with streams counts as stalled, as in a retransmission timer (RFC
	// 6298). If events hold more tokens than a step makes, a stream skips a step now
	// and then.
	stallDeviations = 4
	// minStall is the shortest time that counts as a stall: an event may wait in a
	// link's queue for some tens of milliseconds.
	minStall = 100 * time.Millisecond
	// smoothing is the weight of a new pause in the means, so that they cover a few
	// steps of each member of a small group.
	smoothing = 1.0 / 16
)

// Watch tracks the pace of one group's streams. Its zero value has seen no event. It is
// not safe for concurrent use.
type Watch struct {
	// lastEvent is when the latest event of any member arrived.
	lastEvent time.Time
	// resumedAt is when an event arrived after none had for longer than usual.
	resumedAt time.Time
	// meanPause is the mean time between two events of a stream, deviation the mean
	// distance from it, both in nanoseconds. meanPause is zero before the first pause.
	meanPause, deviation float64
}

// StreamStarted records the first event of a stream.
func (w *Watch) StreamStarted(now time.Time) { w.arrived(now) }

func (w *Watch) arrived(now time.Time) {
	if now.Sub(w.lastEvent) > w.longestPause() {
		w.resumedAt = now
	}
	w.lastEvent = now
}

// longestPause is the longest usual time between two events of a stream.
func (w *Watch) longestPause() time.Duration {
	return max(time.Duration(w.meanPause+stallDeviations*w.deviation), minStall)
}

// Event records another event of a stream and the pause before it.
func (w *Watch) Event(now time.Time, pause time.Duration) {
	w.arrived(now)
	if w.meanPause == 0 {
		w.meanPause = float64(pause)
		w.deviation = w.meanPause / 2
		return
	}
	off := float64(pause) - w.meanPause
	w.meanPause += smoothing * off
	w.deviation += smoothing * (math.Abs(off) - w.deviation)
}

// Stalled reports whether a member with streams, whose last event arrived at the given
// time, has stalled while others continue.
func (w *Watch) Stalled(memberLastEvent time.Time) bool {
	if w.meanPause == 0 {
		return false
	}
	return w.lastEvent.Sub(memberLastEvent) > w.longestPause()
}
