package btdirect

import (
	"time"

	"bilberrytide/core/btinventory"
	"bilberrytide/core/btrequest"
)

const (
	// metricRestsSkipped and metricLeavingSkipped count how often targets were skipped
	// because they rest or are leaving, metricWithheld the requests that were not sent to a
	// chosen target because of what it had announced since.
	metricRestsSkipped   = "target_rests.skipped"
	metricLeavingSkipped = "target_leaving.skipped"
	metricWithheld       = "target_notices.withheld"
	// maxSkippedShown bounds the skipped targets of a kind in a log line.
	maxSkippedShown = 4
)

// skippedTarget is a target that was skipped because of what it announced. The end is that
// of its rest, or of the time for which a leaving target serves.
type skippedTarget struct {
	instance btinventory.Instance
	end      time.Time
}

// firstEnd returns the first end of the rests; zero without any.
func firstEnd(resting []skippedTarget) time.Time {
	var first time.Time
	for _, r := range resting {
		if first.IsZero() || r.end.Before(first) {
			first = r.end
		}
	}
	return first
}

// refusesNow returns the reason for which the target must not be sent a request now and
// since or until when; an empty reason if it may be.
func (f *fleet) refusesNow(t *target) (btrequest.Reason, time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock()
	if end, rests := f.notices.RestEnd(now, t.info.Instance()); rests {
		return ReasonTargetResting, end
	}
	if end, leaving := f.leavingEnd(t); leaving && !now.Before(end) {
		return ReasonTargetLeaving, end
	}
	return "", time.Time{}
}

// leavingEnd returns until when a target that has announced that it is leaving is sent
// requests, and whether it has. f.mu must be held.
func (f *fleet) leavingEnd(t *target) (time.Time, bool) {
	since, leaving := f.notices.LeavingSince(t.info.Instance())
	return since.Add(f.drainTime), leaving
}

// hasLeft reports whether the target is sent nothing because it is leaving. f.mu must be
// held.
func (f *fleet) hasLeft(t *target, now time.Time) bool {
	end, leaving := f.leavingEnd(t)
	return leaving && !now.Before(end)
}

// withhold reports whether the target has begun to rest or stopped serving since it was
// chosen, and returns the result of the attempt in that case. Nothing is sent.
func (x *exchange) withhold(t *target) (attemptResult, bool) {
	e := x.entry
	reason, end := e.fleet.refusesNow(t)
	if reason == "" {
		return attemptResult{}, false
	}
	e.meter.Counter(metricWithheld).Inc(1)
	e.fleet.unassign(t, x.info.PromptTokens)
	skipped := []skippedTarget{{instance: t.info.Instance(), end: end}}
	if reason == ReasonTargetResting {
		x.noteSkipped(skipped, nil)
	} else {
		x.noteSkipped(nil, skipped)
	}
	return attemptResult{target: t.info.ID, reason: reason, notRun: true}, true
}

// noteSkipped notes the targets that were skipped, for logs.
func (x *exchange) noteSkipped(resting, leaving []skippedTarget) {
	if len(resting) > 0 {
		x.resting = resting
		x.entry.meter.Counter(metricRestsSkipped).Inc(int64(len(resting)))
	}
	if len(leaving) > 0 {
		x.leaving = leaving
		x.entry.meter.Counter(metricLeavingSkipped).Inc(int64(len(leaving)))
	}
}

// skippedAttributes returns the attributes of a log line about the targets that were
// skipped, each with the time that is left until its end.
func (x *exchange) skippedAttributes() []any {
	now := x.entry.options.Clock()
	var attributes []any
	for _, list := range []struct {
		name    string
		targets []skippedTarget
	}{{"resting", x.resting}, {"leaving", x.leaving}} {
		if len(list.targets) == 0 {
			continue
		}
		var shown []string
		for _, t := range list.targets[:min(len(list.targets), maxSkippedShown)] {
			shown = append(shown, t.instance.String()+" "+max(t.end.Sub(now), 0).Round(time.Millisecond).String())
		}
		attributes = append(attributes, list.name, shown, list.name+"_count", len(list.targets))
	}
	return attributes
}
