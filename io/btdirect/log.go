package btdirect

import (
	"time"

	"bilberrytide/core/btquarantine"
	"bilberrytide/core/btrequest"
)

// Names of metrics.
const (
	metricRequests       = "requests"
	metricServed         = "served"
	metricFirstEvent     = "first_event_us"
	metricAnswer         = "answer_us"
	metricTargetFailures = "target_failures"
	// metricTargetCrashes counts targets that crashed with requests in flight.
	metricTargetCrashes = "target_ends"
	metricGroupWaits    = "group_waits"
	// metricCatalogWaits counts requests that arrived before the first catalog.
	metricCatalogWaits = "catalog_waits"
	// metricGroupWaitsAgain counts requests that waited for a group again after an
	// attempt.
	metricGroupWaitsAgain = "group_waits_anew"
)

// servedSample is how many served requests there are for each one that is logged.
// Failures are all logged; the sample shows what was normal at the time.
const servedSample = 50

// recordServed records that the caller has the complete answer.
func (x *exchange) recordServed(result attemptResult) {
	e := x.entry
	x.open.setOutcome(outcome{answered: true})
	took := e.options.Clock().Sub(x.receivedAt)
	e.quarantine.RecordServed(x.fingerprint())
	if x.stream == nil {
		x.recordOutput()
	}
	e.meter.Ended(btrequest.Done)
	e.meter.Duration(metricAnswer, took)
	e.acceptance.record(x.route.Name, took)
	number := e.served.Add(1)
	// A request that needed several attempts is always logged.
	sample := 1
	if number%servedSample == 0 {
		sample = servedSample
	}
	if sample > 1 || x.attempts > 1 {
		e.log.Info("request served", x.attributes(result, "took_ms", took.Milliseconds(), "late", x.late(took), "sample", sample)...)
	}
}

// logFailure logs why a request ends without a complete answer.
func (e *Entry) logFailure(x *exchange, reason btrequest.Reason, result attemptResult) {
	if x.logged {
		return
	}
	x.logged = true
	// A request that a stop has cut looks like one whose caller has disconnected.
	if cut := x.open.cutReason(); cut != "" {
		reason = cut
	}
	x.open.setOutcome(outcome{failed: reason})
	run := btrequest.NotRun
	if x.mayHaveRun {
		run = btrequest.Unknown
	}
	e.meter.Ended(run)
	e.meter.Refused(reason)
	attributes := x.attributes(result, "outcome", run, "cause", reason, "took_ms", e.options.Clock().Sub(x.receivedAt).Milliseconds())
	if reason == ReasonBudget {
		attributes = append(attributes, x.budgetAttributes()...)
	}
	e.log.Warn("request failed", attributes...)
}

// logRetry logs that a request is retried.
func (e *Entry) logRetry(x *exchange, result attemptResult) {
	e.log.Info("request retried", x.attributes(result, x.budgetAttributes()...)...)
}

// logRefusal logs a refusal.
func (e *Entry) logRefusal(x *exchange, r *refusal) {
	x.open.setOutcome(outcome{refused: true})
	var load gateLoad
	if x.service != nil {
		load = e.admission.load(x.service.Name)
	}
	e.log.Info("request refused", x.attributes(attemptResult{reason: r.reason, status: r.status},
		"retry_after_ms", r.retryAfter.Milliseconds(),
		"running", load.running, "waiting", load.waiting, "places", load.entryLimit, "limit", load.limit, "pause_share", load.pauseRatio)...)
}

// attributes returns the attributes of every log line about a request, followed by
// more.
func (x *exchange) attributes(result attemptResult, more ...any) []any {
	a := []any{"request", x.info.ID, "reason", result.reason, "attempts", x.attempts}
	if x.index != nil {
		a = append(a, "catalog", x.index.Version())
	}
	if x.route != nil {
		a = append(a, "route", x.route.Name, "left_ms", x.deadline.Sub(x.entry.options.Clock()).Milliseconds())
	}
	if x.account != "" {
		a = append(a, "account", x.account)
	}
	if x.service != nil {
		a = append(a, "service", x.service.Name)
	}
	if result.target != "" {
		a = append(a, "target", result.target)
	}
	if result.status != 0 {
		a = append(a, "status", result.status)
	}
	if x.stream != nil {
		a = append(a, "last_event", x.stream.lastEventID())
	}
	if result.err != nil {
		a = append(a, "error", result.err.Error())
	}
	if result.crashed {
		a = append(a, "target_ended", true, "began", result.began)
	}
	if result.crashed || isQuarantined(result.reason) {
		a = append(a, "fingerprint", x.fingerprint(), "parts", x.info.PromptParts)
	}
	a = append(a, x.restrictionAttributes(x.entry.options.Clock())...)
	a = append(a, x.skippedAttributes()...)
	return append(append(a, x.stageAttributes()...), more...)
}

// logCrash logs that a target's process is gone although it was not listed as leaving.
// The lines of the requests that were in flight there have the target's name and their
// fingerprints.
func (e *Entry) logCrash(t *target) {
	e.meter.Counter(metricTargetCrashes).Inc(1)
	e.log.Warn("target ended", "target", t.info.Instance(), "target_id", btquarantine.TargetID(t.info.Instance().String()), "service", t.info.Service, "address", t.info.Address)
}

// logTargetFailure logs that a target failed a request.
func (e *Entry) logTargetFailure(t *target, result attemptResult, wait time.Duration) {
	e.meter.Counter(metricTargetFailures).Inc(1)
	attributes := []any{"target", t.info.ID, "service", t.info.Service, "address", t.info.Address, "reason", result.reason, "status", result.status, "for_ms", wait.Milliseconds()}
	if result.err != nil {
		attributes = append(attributes, "error", result.err)
	}
	e.log.Info("target passed over", attributes...)
}
