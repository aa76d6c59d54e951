package btnotice

import (
	"time"

	"bilberrytide/core/btinventory"
)

const (
	// leavingRetention is how long a departure is kept after the target's record was last
	// listed: a record may come back under the same instance after an outage of the list.
	leavingRetention = 10 * time.Minute
	// initialWindow is the number of concurrent requests that a target is sent when its
	// rest ends.
	initialWindow = 1
)

// Register keeps what targets have announced to this host. It keys them by instance, so
// that a restarted target, or another one at the address, starts without announcements. A
// Register is not safe for concurrent use.
type Register struct {
	targets map[btinventory.Instance]*announcements
}

// announcements are those of one target.
type announcements struct {
	// restEnd is the latest end of any rest; zero if the target asked for none.
	restEnd time.Time
	// window is the number of concurrent requests that the target is sent after its rest;
	// zero if it isn't limited.
	window int
	// leavingSince is when the target first announced that it is leaving; zero if it
	// didn't.
	leavingSince time.Time
	// malformed reports that a malformed rest was observed.
	malformed bool
	// unlistedSince is since when the target's record is missing; zero if it is listed.
	unlistedSince time.Time
}

// Change is what an answer changed.
type Change struct {
	// RestUntil is the new end of the target's rest; zero if the answer didn't change it.
	RestUntil time.Time
	// Leaving reports that the target has announced for the first time that it is leaving.
	Leaving bool
	// FirstMalformed reports that the rest is the target's first malformed one.
	FirstMalformed bool
}

// NewRegister returns a register without announcements.
func NewRegister() *Register {
	return &Register{targets: make(map[btinventory.Instance]*announcements)}
}

// Observe records the notice of an answer that arrived now. Of several rests the latest
// end counts; nothing but time ends a rest.
func (r *Register) Observe(now time.Time, i btinventory.Instance, n Notice) Change {
	if !n.Announces() {
		return Change{}
	}
	a, found := r.targets[i]
	if !found {
		a = &announcements{}
		r.targets[i] = a
	}
	var c Change
	if end := now.Add(n.Rest); n.Rest > 0 && end.After(a.restEnd) {
		a.restEnd = end
		a.window = initialWindow
		c.RestUntil = end
	}
	if n.Leaving && a.leavingSince.IsZero() {
		a.leavingSince = now
		c.Leaving = true
	}
	if n.Malformed != "" && !a.malformed {
		a.malformed = true
		c.FirstMalformed = true
	}
	return c
}

// RestEnd returns the end of the target's present rest, and whether it rests.
func (r *Register) RestEnd(now time.Time, i btinventory.Instance) (time.Time, bool) {
	a, found := r.targets[i]
	if !found || !now.Before(a.restEnd) {
		return time.Time{}, false
	}
	return a.restEnd, true
}

// LeavingSince returns when the target first announced that it is leaving, and whether it
// did.
func (r *Register) LeavingSince(i btinventory.Instance) (time.Time, bool) {
	a, found := r.targets[i]
	if !found || a.leavingSince.IsZero() {
		return time.Time{}, false
	}
	return a.leavingSince, true
}

// Window returns how many concurrent requests the target is sent after a rest, and
// whether that is limited. A target that was overloaded would be overloaded again if all
// requests that waited for the end of its rest were sent at once.
func (r *Register) Window(i btinventory.Instance) (window int, limited bool) {
	a, found := r.targets[i]
	if !found || a.window == 0 {
		return 0, false
	}
	return a.window, true
}

// RecordAccepted records that the target has accepted a request sent after its rest. Each
// widens the window by one, so that it doubles with each set of answers; at the number of
// the target's slots the limit ends.
func (r *Register) RecordAccepted(now, sentAt time.Time, i btinventory.Instance, slots int) {
	a, found := r.targets[i]
	if !found || a.window == 0 || now.Before(a.restEnd) || sentAt.Before(a.restEnd) {
		return
	}
	a.window++
	if a.window >= slots {
		a.window = 0
	}
}

// Retain drops what is no longer needed. A record that is missing for a while doesn't end a
// rest or undo a departure.
func (r *Register) Retain(now time.Time, listed func(btinventory.Instance) bool) {
	for i, a := range r.targets {
		if listed(i) {
			a.unlistedSince = time.Time{}
			if a.restEnd.Before(now) && a.window == 0 && a.leavingSince.IsZero() && !a.malformed {
				delete(r.targets, i)
			}
			continue
		}
		if a.unlistedSince.IsZero() {
			a.unlistedSince = now
		}
		leaving := !a.leavingSince.IsZero() && now.Sub(a.unlistedSince) < leavingRetention
		if !leaving && !now.Before(a.restEnd) {
			delete(r.targets, i)
		}
	}
}
