package btstall

import "time"

// Silence describes a stream whose target sends nothing.
type Silence struct {
	// Since is when the target last sent something of the stream, or its header.
	Since time.Time
	// Now is the present time.
	Now time.Time
	// OtherStreams is the number of observed streams at other members of the target's
	// group; zero for a target that is in no group.
	OtherStreams int
	// AttemptsLeft is how many more targets the request may be sent to.
	AttemptsLeft int
	// Alternative reports that another target accepts requests.
	Alternative bool
}

// Leave reports whether the stream should be continued at another target. The target may
// still complete the answer, so leaving it without a successor would lose the answer. The
// members of a group make their steps together, so while all of them are silent the
// group is paused, and another member would send nothing either.
func (w *Watch) Leave(s Silence) bool {
	return s.AttemptsLeft > 0 && s.Alternative && !w.paused(s)
}

// paused reports whether no member of the group has sent anything since the silence began, or
// the group has only just resumed, so that not all of its streams have sent an event.
func (w *Watch) paused(s Silence) bool {
	if s.OtherStreams == 0 {
		return false
	}
	resuming := w.resumedAt.After(s.Since) && s.Now.Sub(w.resumedAt) <= 2*w.longestPause()
	return resuming || w.lastEvent.Sub(s.Since) <= minStall
}
