package btnotice

import (
	"time"

	"bilberrytide/core/btinventory"
)

// leavingRetention is how long a departure is kept after the target's record was last
// listed: a record may come back under the same instance after an outage of the list.
const leavingRetention = 10 * time.Minute

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
	window  Window
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
		a.window.Begin(end)
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
// whether that is limited.
func (r *Register) Window(i btinventory.Instance) (size int, limited bool) {
	a, found := r.targets[i]
	if !found {
		return 0, false
	}
	return a.window.Size()
}

// RecordAccepted records that the target, of that many slots, has accepted a request sent
// at sentAt.
func (r *Register) RecordAccepted(now, sentAt time.Time, i btinventory.Instance, slots int) {
	if a, found := r.targets[i]; found {
		a.window.RecordAccepted(now, sentAt, slots)
	}
}

// Retain drops what is no longer needed. A record that is missing for a while doesn't end a
// rest or undo a departure.
func (r *Register) Retain(now time.Time, listed func(btinventory.Instance) bool) {
	for i, a := range r.targets {
		if listed(i) {
			a.unlistedSince = time.Time{}
			if _, limited := a.window.Size(); !limited && a.restEnd.Before(now) && a.leavingSince.IsZero() && !a.malformed {
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
