package btdirect

import (
	"time"

	"bilberrytide/core/btinventory"
	"bilberrytide/core/btpick"
	"bilberrytide/core/btrequest"
)

const (
	// The counters of skipped targets by cause.
	metricRestsSkipped   = "target_rests.skipped"
	metricLeavingSkipped = "target_leaving.skipped"
	metricDrainedSkipped = "target_drained.skipped"
	// metricWithheld counts requests that were not sent to a chosen target because it had
	// become excluded since.
	metricWithheld = "target_notices.withheld"
	// maxSkippedShown bounds the skipped targets of a kind in a log line.
	maxSkippedShown = 4
)

// skippedMetrics are the counters of skipped targets by cause.
var skippedMetrics = map[btpick.Exclusion]string{
	btpick.Resting: metricRestsSkipped,
	btpick.Leaving: metricLeavingSkipped,
	btpick.Drained: metricDrainedSkipped,
}

// skippedTarget is a target that was skipped though it is listed as ready. The end is that
// of its rest, or of the time for which a leaving target serves; zero for a drained one.
type skippedTarget struct {
	instance  btinventory.Instance
	exclusion btpick.Exclusion
	end       time.Time
}

// appendSkipped appends a target that is excluded though it is listed as ready.
func appendSkipped(skipped []skippedTarget, t *target, e btpick.Exclusion, end time.Time) []skippedTarget {
	if e == btpick.NotServing {
		return skipped
	}
	return append(skipped, skippedTarget{instance: t.info.Instance(), exclusion: e, end: end})
}

// withExclusion returns the targets that were skipped for the given cause.
func withExclusion(skipped []skippedTarget, e btpick.Exclusion) []skippedTarget {
	var matching []skippedTarget
	for _, t := range skipped {
		if t.exclusion == e {
			matching = append(matching, t)
		}
	}
	return matching
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

// exclusionReasons are the reasons for which requests aren't sent to excluded targets.
var exclusionReasons = map[btpick.Exclusion]btrequest.Reason{
	btpick.NotServing: ReasonNoTarget,
	btpick.Drained:    ReasonDataCentreDrained,
	btpick.Leaving:    ReasonTargetLeaving,
	btpick.Resting:    ReasonTargetResting,
}

// exclusion returns why the target must not be sent a request now; empty if it may be.
// The time is the end of a rest, or until when a leaving target served. f.mu must be held.
func (f *fleet) exclusion(t *target, now time.Time) (btpick.Exclusion, time.Time) {
	r := btpick.Restrictions{Serving: t.state == btinventory.Ready && !now.Before(t.replacedUntil), Drained: t.drained}
	r.RestEnd, _ = f.notices.RestEnd(now, t.info.Instance())
	if end, leaving := f.leavingEnd(t); leaving {
		r.LeavingEnd = end
	}
	return r.Exclusion(now)
}

// preference returns how much a target that may be sent a request is preferred. f.mu must
// be held.
func (f *fleet) preference(s *service, t *target, leaving bool, now time.Time) btpick.Preference {
	return btpick.Impairments{
		Slow:        t.skippedAsSlow(now),
		Recovering:  f.windowFull(t),
		Departing:   leaving,
		Silent:      s.stalled(t, now),
		Failing:     now.Before(t.suspendedUntil),
		GroupBroken: s.skipsGroup(t, now),
	}.Preference()
}

// leavingEnd returns until when a target that has announced that it is leaving is sent
// requests, and whether it has. f.mu must be held.
func (f *fleet) leavingEnd(t *target) (time.Time, bool) {
	since, leaving := f.notices.LeavingSince(t.info.Instance())
	return since.Add(f.drainTime), leaving
}

// show returns the target and the time that is left until its end, for logs.
func (t skippedTarget) show(now time.Time) string {
	if t.end.IsZero() {
		return t.instance.String()
	}
	return t.instance.String() + " " + max(t.end.Sub(now), 0).Round(time.Millisecond).String()
}

// withhold reports whether the target has become excluded since it was chosen, and
// returns the result of the attempt in that case. Nothing is sent.
func (x *exchange) withhold(t *target) (attemptResult, bool) {
	f := x.entry.fleet
	f.mu.Lock()
	exclusion, end := f.exclusion(t, f.clock())
	f.mu.Unlock()
	if exclusion == "" {
		return attemptResult{}, false
	}
	x.entry.meter.Counter(metricWithheld).Inc(1)
	f.unassign(t, x.info.PromptTokens)
	x.noteSkipped(appendSkipped(nil, t, exclusion, end))
	return attemptResult{target: t.info.ID, reason: exclusionReasons[exclusion], notRun: true, withheld: true}, true
}

// noteSkipped notes the targets that were skipped, for logs.
func (x *exchange) noteSkipped(skipped []skippedTarget) {
	if len(skipped) == 0 {
		return
	}
	x.skipped = skipped
	for e, metric := range skippedMetrics {
		x.entry.meter.Counter(metric).Inc(int64(len(withExclusion(skipped, e))))
	}
}

// skippedAttributes returns the attributes of a log line about the targets that were
// skipped, each with the time that is left until its end.
func (x *exchange) skippedAttributes() []any {
	now := x.entry.options.Clock()
	var attributes []any
	for _, e := range []btpick.Exclusion{btpick.Resting, btpick.Leaving, btpick.Drained} {
		targets := withExclusion(x.skipped, e)
		if len(targets) == 0 {
			continue
		}
		var shown []string
		for _, t := range targets[:min(len(targets), maxSkippedShown)] {
			shown = append(shown, t.show(now))
		}
		attributes = append(attributes, string(e), shown, string(e)+"_count", len(targets))
	}
	return attributes
}
