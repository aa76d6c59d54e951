package btdirect

import (
	"time"

	"bilberrytide/core/btrate"
)

// Names of the counters of the rates that targets name.
const (
	// metricRatesHeard counts answers that name a rate, metricRatesChanged those that were
	// news, metricRatesMalformed those whose rate can't be read.
	metricRatesHeard     = "target_rates.heard"
	metricRatesChanged   = "target_rates.changed"
	metricRatesMalformed = "target_rates.malformed"
)

// hearRate takes in what an answer to a request that was sent then says of the target's
// rate.
func (e *Entry) hearRate(x *exchange, t *target, sent time.Time, status int, w btrate.Word) {
	if w.Malformed != "" {
		e.meter.Counter(metricRatesMalformed).Inc(1)
	}
	if w.Named {
		e.meter.Counter(metricRatesHeard).Inc(1)
	}
	now := e.options.Clock()
	before, after, news := e.fleet.hearRate(t, now, sent, w)
	attributes := []any{"target", t.info.Instance(), "service", t.info.Service, "request", x.call.ID, "status", status, "age_ms", now.Sub(sent).Milliseconds()}
	switch {
	case w.Malformed != "" && e.fleet.firstMalformedRate(t):
		e.log.Warn("target rate refused", append(attributes, "value", w.Malformed, "kept", after.Named, "per_second", after.PerSecond)...)
	case news && after.Named:
		e.meter.Counter(metricRatesChanged).Inc(1)
		e.log.Info("target rate heard", append(attributes, "per_second", after.PerSecond, "limited_before", before.Named, "before", before.PerSecond)...)
	case news:
		e.meter.Counter(metricRatesChanged).Inc(1)
		e.log.Info("target rate ended", append(attributes, "before", before.PerSecond)...)
	}
}

// hearRate returns what is known of the target's rate before and after an answer, and
// whether that is news.
func (f *fleet) hearRate(t *target, now, sent time.Time, w btrate.Word) (before, after btrate.Limit, news bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before = t.rate
	t.rate, news = before.After(now, sent, w)
	return before, t.rate, news
}

// firstMalformedRate tells whether this is the first time that a target's rate can't be
// read: each of its answers may be alike.
func (f *fleet) firstMalformedRate(t *target) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	first := !t.rateMalformed
	t.rateMalformed = true
	return first
}
