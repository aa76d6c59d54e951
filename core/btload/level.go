package btload

import (
	"time"

	"bilberrytide/core/btid"
)

// The quantised load that summaries carry.
const (
	// levelsPerSlots is how many levels stand for a full batch: few enough that
	// a target seldom changes its level.
	levelsPerSlots = 4
	maxLevel       = 254
	// LevelDraining stands for a target that takes no new work.
	LevelDraining uint8 = 255
)

// Level quantises a report: requests running and waiting in quarters of the
// slots, rounded up.
func Level(r Report) uint8 {
	if r.Draining {
		return LevelDraining
	}
	slots := max(r.Slots, 1)
	level := (levelsPerSlots*(r.Running+r.Waiting) + slots - 1) / slots
	return uint8(min(level, maxLevel))
}

// LevelRelayed is a target's quantised load as another entry passed it on, for a target
// whose reports don't come here.
type LevelRelayed struct {
	Target      btid.Target
	Incarnation btid.Incarnation
	Level       uint8
	// Slots is how many requests the target runs at a time, by the bundle.
	Slots int
	// Age is how old the evidence is.
	Age time.Duration
}

func (LevelRelayed) loadEvent() {}

// AboutTarget returns the target that the event is about.
func (e LevelRelayed) AboutTarget() btid.Target { return e.Target }

// told takes a level in place of a report that is older than it. It leaves the
// numbering of reports alone.
func (t *Target) told(now time.Time, e LevelRelayed) {
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
	t.recount()
}
