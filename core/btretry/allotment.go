package btretry

import "time"

// marginFactor is the part of the fleet's limits that entries use. The rest is for retries
// that reach their targets later than they were sent, and so in another window.
const marginFactor = 0.85

// Allotment decides an entry's part of the limits on retries that all entries share. Each
// entry uses the whole share for the requests that it counts itself, and an equal part of
// the slack. It is not safe for concurrent use.
type Allotment struct {
	fleet WindowConfig
	// entries is the largest number of entries known so far: one that was removed may have
	// used its part, and an unreachable one still uses it.
	entries int
	// settled reports that the entry has discovered the number of entries itself, informed
	// that it received the number from a settled one.
	settled, informed bool
	// accruesSince is when the entry started, or was last found not to be settled.
	accruesSince time.Time
}

// NewAllotment returns the allotment of an entry that starts now, for the limits of the
// whole fleet. On the first start of a fleet no entry has used any slack yet.
func NewAllotment(now time.Time, fleet WindowConfig, firstStart bool) *Allotment {
	a := &Allotment{fleet: fleet, entries: 1, accruesSince: now}
	if firstStart {
		a.accruesSince = now.Add(-fleet.Window)
	}
	return a
}

// Update records the number of entries known, including this one, and whether the entry is
// settled: it knows the others and they know it.
func (a *Allotment) Update(now time.Time, entries int, settled bool) {
	a.entries = max(a.entries, entries)
	if a.settled && !settled {
		a.accruesSince = now
		a.informed = false
	}
	a.settled = settled
}

// Inform records the number of entries that a settled entry has sent.
func (a *Allotment) Inform(entries int) {
	a.entries = max(a.entries, entries)
	a.informed = true
}

// Entries returns the number of entries by which the slack is divided.
func (a *Allotment) Entries() int { return a.entries }

// Settled reports whether the entry knows by how many entries the slack is divided.
func (a *Allotment) Settled() bool { return a.settled || a.informed }

// Config returns the limits of this entry. Without knowing the others it has no slack, as
// its part could be far too large.
func (a *Allotment) Config() WindowConfig {
	c := WindowConfig{Share: a.fleet.Share * marginFactor, Window: a.fleet.Window}
	if a.Settled() {
		c.Slack = a.fleet.Slack * marginFactor / float64(a.entries)
	}
	return c
}

// NewWindow returns the window of a service that gets its first request now.
func (a *Allotment) NewWindow(now time.Time) *Window {
	return NewWindow(now, a.Config(), a.accruesSince)
}
