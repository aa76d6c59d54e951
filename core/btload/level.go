package btload

import (
	"time"

	"bilberrytide/core/btid"
)

// Quantisation of the load that summaries carry.
const (
	// levelsPerSlots is the number of levels per full batch. It is small, so that a
	// target's level seldom changes.
	levelsPerSlots = 4
	maxLevel       = 254
	// LevelDraining is the level of a target that accepts no new requests.
	LevelDraining uint8 = 255
)

// Level returns the report's load in quarters of the slots, rounded up, counting
// running and queued requests.
func Level(r Report) uint8 {
	if r.Draining {
		return LevelDraining
	}
	slots := max(r.Slots, 1)
	level := (levelsPerSlots*(r.Running+r.Waiting) + slots - 1) / slots
	return uint8(min(level, maxLevel))
}

// LevelRelayed delivers a target's quantised load from another entry, for targets
// that do not report to this one.
type LevelRelayed struct {
	Target      btid.Target
	Incarnation btid.Incarnation
	Level       uint8
	// Slots is how many requests the target processes at a time, from the bundle.
	Slots int
	// Age is the age of the sample behind the level.
	Age time.Duration
}

func (LevelRelayed) loadEvent() {}

// AboutTarget returns the target that the event is about.
func (e LevelRelayed) AboutTarget() btid.Target { return e.Target }

// applyLevel replaces the load of an older report by the level. The report's number
// is kept, so that the next report is still accepted.
func (t *Target) applyLevel(now time.Time, e LevelRelayed) {
	sampled := now.Add(-e.Age)
	if t.reported && (e.Incarnation < t.report.Incarnation || !sampled.After(t.sampledAt)) {
		return
	}
	if e.Incarnation != t.report.Incarnation {
		t.cache.clear()
		t.report = Report{Target: t.name, Incarnation: e.Incarnation}
	}
	t.report.Slots = max(e.Slots, 1)
	t.report.Draining = e.Level == LevelDraining
	if !t.report.Draining {
		outstanding := int(e.Level) * t.report.Slots / levelsPerSlots
		t.report.Running = min(outstanding, t.report.Slots)
		t.report.Waiting = outstanding - t.report.Running
	}
	t.sampledAt, t.reported = sampled, true
	t.recountUnreported()
}
