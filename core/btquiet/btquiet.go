// Package btquiet tells which members of a lock-step group have fallen quiet.
//
// All members that work on streams send an event with each step of the group, so that one
// which doesn't, while others do, stands on a host that stands still or is cut off. What
// is sent to it meanwhile is read when the host wakes up, and by then its callers have left.
package btquiet

import "time"

const (
	// silentSteps is for how many of the usual pauses a member that has streams may send
	// nothing: one event may be late by a step.
	silentSteps = 2
	// silentLeast is the least time that counts as silence: an event waits in a link's
	// queue for some tens of milliseconds.
	silentLeast = 100 * time.Millisecond
	// smoothing is the part of a new pause that goes into the mean: a few steps of each
	// member of a small group.
	smoothing = 1.0 / 16
)

// Watch is what is known of the pace of one group's streams. Its zero value has seen none.
// It is not safe for concurrent use.
type Watch struct {
	// heard is when the last event of any member came.
	heard time.Time
	// pause is the mean time between two events of a stream, in nanoseconds; zero where
	// there was none.
	pause float64
}

// Began notes the first event of a stream.
func (w *Watch) Began(now time.Time) { w.heard = now }

// Event notes another event of a stream and the pause before it.
func (w *Watch) Event(now time.Time, pause time.Duration) {
	w.heard = now
	if w.pause == 0 {
		w.pause = float64(pause)
		return
	}
	w.pause += smoothing * (float64(pause) - w.pause)
}

// Silent tells whether a member with streams that was heard last at a moment has fallen
// quiet since, while others go on.
func (w *Watch) Silent(heard time.Time) bool {
	if w.pause == 0 {
		return false
	}
	return w.heard.Sub(heard) > max(time.Duration(silentSteps*w.pause), silentLeast)
}
