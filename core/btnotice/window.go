package btnotice

import "time"

// initialWindow is the number of concurrent requests that a target is sent when its rest
// ends.
const initialWindow = 1

// Window limits the concurrent requests at a target after a rest. A target that was
// overloaded would be overloaded again if all requests that waited for the end of its rest
// were sent at once. The zero value sets no limit.
type Window struct {
	restEnd time.Time
	size    int
}

// Begin closes the window until the end of a rest.
func (w *Window) Begin(restEnd time.Time) {
	w.restEnd = restEnd
	w.size = initialWindow
}

// Rests reports whether the rest goes on.
func (w *Window) Rests(now time.Time) bool { return now.Before(w.restEnd) }

// Size returns the number of concurrent requests, and whether it is limited.
func (w *Window) Size() (size int, limited bool) { return w.size, w.size > 0 }

// RecordAccepted records that the target has accepted a request sent at sentAt. Each one
// that was sent after the rest widens the window by one, so that it doubles with each set
// of answers; at the number of the target's slots the limit ends.
func (w *Window) RecordAccepted(now, sentAt time.Time, slots int) {
	if w.size == 0 || now.Before(w.restEnd) || sentAt.Before(w.restEnd) {
		return
	}
	w.size++
	if w.size >= slots {
		w.size = 0
	}
}
