package btdirect

import (
	"context"
	"time"

	"bilberrytide/core/btquarantine"
	"bilberrytide/core/btrendezvous"
	"bilberrytide/core/btrequest"
)

const (
	// metricPartProbes counts requests that were sent in spite of a restriction.
	metricPartProbes = "quarantine.part_probes"
	// metricPartRestrictions is the number of restrictions in force.
	metricPartRestrictions = "quarantine.part_restrictions"
)

// trackPrompt registers a request that has parts of a prompt. The returned function
// removes it.
func (q *quarantine) trackPrompt(x *exchange, cancel context.CancelFunc) (untrack func()) {
	if len(x.prompt.Parts) == 0 {
		return func() {}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.prompts[x] = cancel
	return func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		delete(q.prompts, x)
	}
}

// withdrawPrompts cancels the requests that a restriction applies to, whether they wait
// here or at a target, and returns their number. Streams of which a part was sent
// continue.
func (q *quarantine) withdrawPrompts(r btquarantine.Restriction) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	withdrawn := 0
	for x, cancel := range q.prompts {
		if r.Applies(x.prompt) && !x.partlySent.Load() {
			x.withdraw(ReasonPartQuarantined)
			cancel()
			withdrawn++
		}
	}
	return withdrawn
}

// Rank returns the order in which this entry may probe a restriction.
func (p *peers) Rank(restriction btquarantine.RestrictionID) int {
	others := p.list()
	names := make([]string, len(others))
	for i, o := range others {
		names[i] = o.String()
	}
	return btrendezvous.IndexOf(restriction.String(), p.entry.options.Settings.Peer.String(), names)
}

// Others returns the number of other entries known.
func (p *peers) Others() int { return p.count() }

// withdraw marks a request whose attempt, or wait, is cancelled: it is quarantined, or a stop
// ends.
func (x *exchange) withdraw(reason btrequest.Reason) { x.withdrawn.CompareAndSwap(nil, &reason) }

// withdrawnReason returns the reason for which the request was withdrawn, or "".
func (x *exchange) withdrawnReason() btrequest.Reason {
	if reason := x.withdrawn.Load(); reason != nil {
		return *reason
	}
	return ""
}

// refuseOnArrival refuses a request that has just arrived if a part of its prompt is
// quarantined, and reports whether it did. The request may become a probe.
func (x *exchange) refuseOnArrival() bool {
	if len(x.prompt.Parts) == 0 {
		return false
	}
	v := x.entry.quarantine.parts.Arrive(x.prompt)
	x.probe = v.Probe
	if v.Probe != nil {
		x.entry.meter.Counter(metricPartProbes).Inc(1)
		x.entry.log.Info("part probed", "request", x.info.ID, "restriction", v.Restriction.ID, "parts", v.Restriction.Parts, "crashes", v.Restriction.Crashes)
	}
	return x.refuseVerdict(v)
}

// refuseVerdict refuses the request if the verdict does.
func (x *exchange) refuseVerdict(v btquarantine.Verdict) bool {
	if !v.Refused() {
		return false
	}
	x.restriction = v.Restriction
	x.endUnserved(ReasonPartQuarantined, v.Until.Sub(x.entry.options.Clock()))
	return true
}

// checkParts decides again on the parts of the request's prompt.
func (x *exchange) checkParts() btquarantine.Verdict {
	if len(x.prompt.Parts) == 0 {
		return btquarantine.Verdict{}
	}
	return x.entry.quarantine.parts.Check(x.prompt, x.probe)
}

// refuseQuarantined refuses a request that is quarantined, and reports whether it did.
func (x *exchange) refuseQuarantined() bool {
	if left, quarantined := x.entry.quarantine.Remaining(x.fingerprint); quarantined {
		x.endUnserved(ReasonQuarantined, left)
		return true
	}
	if x.refuseVerdict(x.checkParts()) {
		return true
	}
	if reason := x.withdrawnReason(); reason != "" {
		// A quarantine may have ended since, but the request's context has too.
		x.endUnserved(reason, x.defaultRetryAfter())
		return true
	}
	return false
}

// quarantineReason returns the reason for which the request is quarantined, or "".
func (x *exchange) quarantineReason() btrequest.Reason {
	if _, quarantined := x.entry.quarantine.Remaining(x.fingerprint); quarantined {
		return ReasonQuarantined
	}
	if v := x.checkParts(); v.Refused() {
		x.restriction = v.Restriction
		return ReasonPartQuarantined
	}
	return ""
}

// recordCrash records for the quarantine that a target crashed after the request was sent
// to it.
func (x *exchange) recordCrash(t *target, result attemptResult) {
	q, target := x.entry.quarantine, t.info.Instance().String()
	attributes := []any{"account", x.account, "path", x.request.RequestURI}
	q.RecordCrash(x.fingerprint(), target, x.progress(t, result), attributes...)
	q.parts.RecordCrash(x.prompt, target, x.promptProgress(result), append(attributes, "prompt_parts", x.info.PromptParts)...)
}

// promptProgress returns how far a target had come with the prompt when it crashed. A plain
// answer is output only as a whole.
func (x *exchange) promptProgress(result attemptResult) btquarantine.Progress {
	switch {
	case x.partlySent.Load():
		return btquarantine.Answering
	case result.began:
		return btquarantine.BegunWithoutOutput
	}
	return btquarantine.Sent
}

// recordOutput records that the request's target has produced output. Of a stream, the
// first event of each attempt counts.
func (x *exchange) recordOutput() {
	x.entry.quarantine.parts.RecordOutput(x.prompt, "request", x.info.ID)
}

// restrictionAttributes returns the log attributes of the restriction that refused the
// request.
func (x *exchange) restrictionAttributes(now time.Time) []any {
	r := x.restriction
	if r == nil {
		return nil
	}
	return []any{"restriction", r.ID, "restricted_parts", r.Parts, "crashes", r.Crashes, "last_target_id", r.LastTarget, "last_crash_ms", now.Sub(r.LastCrash).Milliseconds()}
}
