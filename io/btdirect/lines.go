package btdirect

import (
	"time"

	"bilberrytide/core/btrequest"
)

// Names of metrics.
const (
	metricRequests   = "requests"
	metricServed     = "served"
	metricFirstEvent = "first_event_us"
	metricWhole      = "answer_us"
	metricTargetFail = "target_failures"
	// metricTargetEnds counts targets that ended with requests at work.
	metricTargetEnds = "target_ends"
	metricGroupWaits = "group_waits"
	// metricCatalogWaits counts requests that came before the first catalog.
	metricCatalogWaits = "catalog_waits"
	metricWaitsAnew    = "group_waits_anew"
)

// servedSample is how many served requests there are for each that is logged:
// a failure is looked into by its own line, and the sample shows what was usual
// at the time.
const servedSample = 50

// served notes that the caller has its whole answer.
func (x *exchange) served(result attemptResult) {
	e := x.entry
	took := e.options.Clock().Sub(x.received)
	e.quarantine.Served(x.fingerprint())
	e.meter.Ended(btrequest.Done)
	e.meter.Duration(metricWhole, took)
	number := e.servedCount.Add(1)
	// One that needed several attempts stands for itself.
	sample := 1
	if number%servedSample == 0 {
		sample = servedSample
	}
	if sample > 1 || x.attempts > 1 {
		e.log.Info("request served", x.attributes(result, "took_ms", took.Milliseconds(), "late", x.late(took), "sample", sample)...)
	}
}

// logFailure notes why a request ends without its whole answer.
func (e *Entry) logFailure(x *exchange, reason btrequest.Reason, result attemptResult) {
	if x.logged {
		return
	}
	x.logged = true
	outcome := btrequest.NotRun
	if x.mayHaveRun {
		outcome = btrequest.Unknown
	}
	e.meter.Ended(outcome)
	e.meter.Refused(reason)
	e.log.Warn("request failed", x.attributes(result, "outcome", outcome, "cause", reason, "took_ms", e.options.Clock().Sub(x.received).Milliseconds())...)
}

// retryLine notes that a request is tried again.
func (e *Entry) retryLine(x *exchange, result attemptResult) {
	e.log.Info("request retried", x.attributes(result)...)
}

// refusedLine notes an answer of the entry's own.
func (e *Entry) refusedLine(x *exchange, r *refusal) {
	var load gateLoad
	if x.service != nil {
		load = e.admission.load(x.service.Name)
	}
	e.log.Info("request refused", x.attributes(attemptResult{reason: r.reason, status: r.status},
		"retry_after_ms", r.retryAfter.Milliseconds(),
		"running", load.running, "waiting", load.waiting, "places", load.places, "limit", load.limit, "pause_share", load.pause)...)
}

// attributes are what every line about a request holds, and more.
func (x *exchange) attributes(result attemptResult, more ...any) []any {
	a := []any{"request", x.call.ID, "reason", result.reason, "attempts", x.attempts}
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
		a = append(a, "last_event", x.stream.last())
	}
	if result.detail != nil {
		a = append(a, "error", result.detail.Error())
	}
	if result.ended {
		a = append(a, "target_ended", true, "began", result.began)
	}
	if result.ended || result.reason == ReasonQuarantined {
		a = append(a, "fingerprint", x.fingerprint())
	}
	return append(append(a, x.stageAttributes()...), more...)
}

// endedLine notes that a target's process is gone though its leaving was not listed.
// The requests that were at work there have its name and their fingerprints in their
// own lines.
func (e *Entry) endedLine(t *target) {
	e.meter.Counter(metricTargetEnds).Inc(1)
	e.log.Warn("target ended", "target", t.info.Instance(), "service", t.info.Service, "address", t.info.Address)
}

// targetLine notes that a target failed a request.
func (e *Entry) targetLine(t *target, result attemptResult, wait time.Duration) {
	e.meter.Counter(metricTargetFail).Inc(1)
	e.log.Info("target passed over", "target", t.info.ID, "service", t.info.Service, "address", t.info.Address, "reason", result.reason, "status", result.status, "for_ms", wait.Milliseconds())
}
