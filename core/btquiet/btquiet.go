// Package btquiet tells which members of a lock-step group have fallen quiet.
//
// All members that work on streams send an event with each step of the group, so that one
// which doesn't, while others do, stands on a host that stands still or is cut off. What
// is sent to it meanwhile is read when the host wakes up, and by then its callers have left.
package btquiet

import (
	"math"
	"time"
)

const (
	// silentDeviations is how many mean deviations above the mean pause a member that has
	// streams may send nothing, as a retransmission timer allows (RFC 6298): where events
	// hold more tokens than a step makes, a stream leaves out a step now and then.
	silentDeviations = 4
	// minSilence is the least time that counts as silence: an event waits in a link's
	// queue for some tens of milliseconds.
	minSilence = 100 * time.Millisecond
	// smoothing is the part of a new pause that goes into the means: a few steps of each
	// member of a small group.
	smoothing = 1.0 / 16
)

// Watch is what is known of the pace of one group's streams. Its zero value has seen none.
// It is not safe for concurrent use.
type Watch struct {
	// lastEvent is when the last event of any member came.
	lastEvent time.Time
	// meanPause is the mean time between two events of a stream, deviation the mean distance
	// from it, both in nanoseconds; meanPause is zero where there was none.
	meanPause, deviation float64
}

// StreamStarted notes the first event of a stream.
func (w *Watch) StreamStarted(now time.Time) { w.lastEvent = now }

// Event notes another event of a stream and the pause before it.
func (w *Watch) Event(now time.Time, pause time.Duration) {
	w.lastEvent = now
	if w.meanPause == 0 {
		w.meanPause = float64(pause)
		w.deviation = w.meanPause / 2
		return
	}
	off := float64(pause) - w.meanPause
	w.meanPause += smoothing * off
	w.deviation += smoothing * (math.Abs(off) - w.deviation)
}

// Silent tells whether a member with streams that was heard last at a moment has fallen
// quiet since, while others go on.
func (w *Watch) Silent(heard time.Time) bool {
	if w.meanPause == 0 {
		return false
	}
	usual := time.Duration(w.meanPause + silentDeviations*w.deviation)
	return w.lastEvent.Sub(heard) > max(usual, minSilence)
}
