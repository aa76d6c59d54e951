package btdirect

import (
	"context"
	"net/netip"
	"time"

	"bilberrytide/core/btinventory"
	"bilberrytide/core/btrate"
)

// Names of the counters of the rates that targets name.
const (
	// metricRatesHeard counts answers that name a rate, metricRatesChanged those that were
	// news, metricRatesMalformed those whose rate can't be read.
	metricRatesHeard     = "target_rates.heard"
	metricRatesChanged   = "target_rates.changed"
	metricRatesMalformed = "target_rates.malformed"
	// metricRatesPassedOver counts how often such a target was passed over, metricRatesTold
	// records of them that other entries were told.
	metricRatesPassedOver = "target_rates.passed_over"
	metricRatesTold       = "target_rates.told"
	// metricRateWaits counts requests that waited for a place at such a target.
	metricRateWaits = "target_rates.waits"
)

// hearRate takes in what an answer to a request that was sent then says of the target's
// rate.
func (e *Entry) hearRate(x *exchange, t *target, sent time.Time, status int, w btrate.Advertisement) {
	if w.Malformed != "" {
		e.meter.Counter(metricRatesMalformed).Inc(1)
	}
	if w.Present {
		e.meter.Counter(metricRatesHeard).Inc(1)
	}
	now := e.options.Clock()
	change, news := e.fleet.hearRate(t, now, sent, w)
	attributes := []any{"request", x.call.ID, "status", status, "age_ms", now.Sub(sent).Milliseconds()}
	if w.Malformed != "" && e.fleet.firstMalformedRate(t) {
		e.log.Warn("target rate refused", append(attributes, "target", t.info.Instance(), "service", t.info.Service, "value", w.Malformed, "kept", change.After.Active, "per_second", change.After.PerSecond)...)
	}
	if news {
		e.rateChanged(change, attributes...)
	}
}

// rateChanged notes news of a target's rate.
func (e *Entry) rateChanged(c btrate.Change, evidence ...any) {
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

// hearRate takes in what an answer says of the target's rate, and returns what changed
// and whether anything did.
func (f *fleet) hearRate(t *target, now, sent time.Time, w btrate.Advertisement) (btrate.Change, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.listed(t.info.Instance()) {
		return btrate.Change{}, false
	}
	return f.rates.ObserveAnswer(now, sent, t.info.Instance(), w)
}

// listed tells whether a target is. The lock is held.
func (f *fleet) listed(i btinventory.Instance) bool { return f.targets[i] != nil }

// observe takes in which other entries are known, with which this one shares targets that
// name a rate.
func (f *fleet) observe(others []netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.shares.ObserveEntries(f.clock(), others)
}

// ratesSummary stands for the limits that are known.
func (f *fleet) ratesSummary() btrate.Summary {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rates.Summary()
}

// ratesNews returns the latest changes of the limits, to be told.
func (e *Entry) ratesNews() btrate.Records {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	return e.told(e.fleet.rates.RecentRecords(e.fleet.clock()))
}

// told counts records that are told.
func (e *Entry) told(records btrate.Records) btrate.Records {
	if len(records) > 0 {
		e.meter.Counter(metricRatesTold).Inc(int64(len(records)))
	}
	return records
}

// tellRates returns what is told to an entry whose limits the summary stands for.
func (e *Entry) tellRates(s btrate.Summary) btrate.Records {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	return e.told(e.fleet.rates.RecordsFor(e.fleet.clock(), s))
}

// learnRates takes in what another entry tells that was asked then.
func (e *Entry) learnRates(records btrate.Records, asked time.Time, from netip.AddrPort) {
	for _, c := range e.fleet.learnRates(records, asked) {
		e.rateChanged(c, "from", from, "age_ms", e.options.Clock().Sub(c.After.ObservedAt).Milliseconds())
	}
}

func (f *fleet) learnRates(records btrate.Records, asked time.Time) []btrate.Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rates.Merge(f.clock(), asked, records, f.listed)
}

// awaitPlace waits for the place that a request has at a target which names a rate, and
// tells whether it may be sent there.
func (x *exchange) awaitPlace(ctx context.Context, c choice) bool {
	if c.wait == 0 {
		return true
	}
	e := x.entry
	e.meter.Counter(metricRateWaits).Inc(1)
	sleep(ctx, c.wait)
	if ctx.Err() == nil && !x.quarantined() && !x.overdue() {
		return true
	}
	e.fleet.unplaced(c.target, x.call.PromptTokens)
	switch {
	case x.gone():
		e.logFailure(x, ReasonCallerGone, attemptResult{reason: ReasonCallerGone})
		x.abort()
	case ctx.Err() != nil:
		x.turnDown(ReasonTimeout, 0)
	}
	return false
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
