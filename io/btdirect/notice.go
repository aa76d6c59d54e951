package btdirect

import (
	"time"

	"bilberrytide/core/btnotice"
)

// Names of the counters of what targets announce in their answers.
const (
	// metricRestsRequested counts answers that ask for a rest, metricRestsMalformed those
	// with a rest that can't be parsed.
	metricRestsRequested = "target_rests.requested"
	metricRestsMalformed = "target_rests.malformed"
	// metricLeavingAnswers counts answers of targets that are leaving.
	metricLeavingAnswers = "target_leaving.answers"
)

// observeNotice records what a target announces in its answer to a request. A rest
// applies to this entry only and isn't sent to others.
func (e *Entry) observeNotice(x *exchange, t *target, status int, n btnotice.Notice) {
	if !n.Announces() {
		return
	}
	if n.Rest > 0 {
		e.meter.Counter(metricRestsRequested).Inc(1)
	}
	if n.Malformed != "" {
		e.meter.Counter(metricRestsMalformed).Inc(1)
	}
	if n.Leaving {
		e.meter.Counter(metricLeavingAnswers).Inc(1)
	}
	now := e.options.Clock()
	c := e.fleet.observeNotice(t, now, n)
	attributes := []any{"target", t.info.Instance(), "service", t.info.Service, "evidence", x.info.ID, "status", status}
	if !c.RestUntil.IsZero() {
		e.log.Info("target rests", append(attributes, "for_ms", c.RestUntil.Sub(now).Milliseconds())...)
	}
	if c.Leaving {
		e.log.Info("target leaving", append(attributes, "served_for_ms", e.options.Settings.DrainTime.Milliseconds())...)
	}
	if c.FirstMalformed {
		e.log.Warn("target rest refused", append(attributes, "value", n.Malformed)...)
	}
}

// observeNotice records what a target announces.
func (f *fleet) observeNotice(t *target, now time.Time, n btnotice.Notice) btnotice.Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.notices.Observe(now, t.info.Instance(), n)
}
