package btdirect

import (
	"context"
	"net/netip"
	"time"

	"bilberrytide/core/btinventory"
	"bilberrytide/core/btrate"
)

// Names of the counters of the rates that targets advertise.
const (
	// metricRatesAdvertised counts answers that advertise a rate, metricRatesChanged those
	// that changed a limit, metricRatesMalformed those with a malformed rate.
	metricRatesAdvertised = "target_rates.heard"
	metricRatesChanged    = "target_rates.changed"
	metricRatesMalformed  = "target_rates.malformed"
	// metricRatesSkipped counts how often targets were skipped because of their
	// rate, metricRatesSent the records sent to other entries.
	metricRatesSkipped = "target_rates.passed_over"
	metricRatesSent    = "target_rates.told"
	// metricRateWaits counts requests that waited until a target's rate allowed them.
	metricRateWaits = "target_rates.waits"
)

// observeRate records the rate advertised by an answer to a request that was sent at
// sentAt.
func (e *Entry) observeRate(x *exchange, t *target, sentAt time.Time, status int, advertisement btrate.Advertisement) {
	if advertisement.Malformed != "" {
		e.meter.Counter(metricRatesMalformed).Inc(1)
	}
	if advertisement.Present {
		e.meter.Counter(metricRatesAdvertised).Inc(1)
	}
	now := e.options.Clock()
	change, changed := e.fleet.observeRate(t, now, sentAt, advertisement)
	attributes := []any{"request", x.info.ID, "status", status, "age_ms", now.Sub(sentAt).Milliseconds()}
	if advertisement.Malformed != "" && e.fleet.firstMalformedRate(t) {
		e.log.Warn("target rate refused", append(attributes, "target", t.info.Instance(), "service", t.info.Service, "value", advertisement.Malformed, "kept", change.After.Active, "per_second", change.After.PerSecond)...)
	}
	if changed {
		e.logRateChange(change, attributes...)
	}
}

// logRateChange logs and counts a change of a target's limit.
func (e *Entry) logRateChange(c btrate.Change, evidence ...any) {
	e.meter.Counter(metricRatesChanged).Inc(1)
	attributes := append([]any{"target", c.Target}, evidence...)
	if c.Before.Active {
		attributes = append(attributes, "before", c.Before.PerSecond, "passed_over", c.Skipped)
	}
	if c.After.Active {
		e.log.Info("target rate heard", append(attributes, "per_second", c.After.PerSecond)...)
		return
	}
	e.log.Info("target rate ended", attributes...)
}

// observeRate records the rate that a target advertises. It returns the change and
// whether there was one.
func (f *fleet) observeRate(t *target, now, sentAt time.Time, advertisement btrate.Advertisement) (btrate.Change, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.listed(t.info.Instance()) {
		return btrate.Change{}, false
	}
	return f.rates.ObserveAnswer(now, sentAt, t.info.Instance(), advertisement)
}

// listed reports whether a target is listed. f.mu must be held.
func (f *fleet) listed(i btinventory.Instance) bool { return f.targets[i] != nil }

// observeEntries records the other entries known, with which this one shares the
// targets that advertise a rate.
func (f *fleet) observeEntries(others []netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.shares.ObserveEntries(f.clock(), others)
}

// ratesSummary returns the summary of the limits known.
func (f *fleet) ratesSummary() btrate.Summary {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rates.Summary()
}

// recentRates returns this entry's recent changes of limits, for a hello.
func (e *Entry) recentRates() btrate.Records {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	return e.countSent(e.fleet.rates.RecentRecords(e.fleet.clock()))
}

// countSent counts records that are sent and returns them.
func (e *Entry) countSent(records btrate.Records) btrate.Records {
	if len(records) > 0 {
		e.meter.Counter(metricRatesSent).Inc(int64(len(records)))
	}
	return records
}

// ratesFor returns records for an entry with the given summary.
func (e *Entry) ratesFor(s btrate.Summary) btrate.Records {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	return e.countSent(e.fleet.rates.RecordsFor(e.fleet.clock(), s))
}

// mergeRates merges the records that another entry sent in reply to a message of
// askedAt.
func (e *Entry) mergeRates(records btrate.Records, askedAt time.Time, from netip.AddrPort) {
	for _, c := range e.fleet.mergeRates(records, askedAt) {
		e.logRateChange(c, "from", from, "age_ms", e.options.Clock().Sub(c.After.ObservedAt).Milliseconds())
	}
}

func (f *fleet) mergeRates(records btrate.Records, askedAt time.Time) []btrate.Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rates.Merge(f.clock(), askedAt, records, f.listed)
}

// awaitRate waits until the chosen target's rate allows the request, and reports
// whether the request may then be sent.
func (x *exchange) awaitRate(ctx context.Context, c choice) bool {
	if c.wait == 0 {
		return true
	}
	e := x.entry
	e.meter.Counter(metricRateWaits).Inc(1)
	sleep(ctx, c.wait)
	cancelled := ctx.Err() != nil
	if !cancelled && !x.refuseQuarantined() && !x.refuseOverdue() {
		return true
	}
	e.fleet.unassign(c.target, x.info.PromptTokens)
	switch {
	case cancelled && x.withdrawnReason() != "" && x.refuseQuarantined():
	case x.callerGone():
		e.logFailure(x, ReasonCallerGone, attemptResult{reason: ReasonCallerGone})
		x.abort()
	case ctx.Err() != nil:
		x.endUnserved(ReasonTimeout, 0)
	}
	return false
}

// firstMalformedRate reports whether this is the target's first malformed rate, as all
// its answers may have the same one.
func (f *fleet) firstMalformedRate(t *target) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	first := !t.malformedRateLogged
	t.malformedRateLogged = true
	return first
}
