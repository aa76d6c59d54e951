package btagent

import (
	"context"

	"bilberrytide/core/btquarantine"
	"bilberrytide/io/btpeer"
	"bilberrytide/io/btprocess"
	"bilberrytide/io/bttarget"
)

// detectCrash handles an answer that broke off: if the target's process is gone, it
// records that the target crashed while it ran the request. It waits, for a limited
// time, until the entry that sent the request has the record, so that the entry knows of
// the crash before it receives the failure and decides on another attempt. Other entries
// get the record in the background.
func (v *attempt) detectCrash(ctx context.Context, err error, p btquarantine.Progress) {
	// Checking the target and sending the record continue if the caller cancels.
	ctx = context.WithoutCancel(ctx)
	if !bttarget.ClosedByTarget(err) || !v.deps.client.RefusesConnections(ctx) {
		return
	}
	a := v.agent
	f := v.fingerprint()
	a.isolation.RecordCrash(f, string(a.self.Target), p, "account", v.request.Account, "path", v.request.Path)
	if to, found := v.entryEndpoint(); found {
		a.isolation.Exchange(ctx, to, btquarantine.Records{a.isolation.ExportRecord(f)})
	}
}

// progressAfter returns how far a target got that has begun to answer. hasOutput tells
// that a part of the answer's body has arrived; without it, a rank of a larger group
// counts as having begun only.
func (v *attempt) progressAfter(hasOutput bool) btquarantine.Progress {
	if hasOutput || !v.agent.group.MultiRank() {
		return btquarantine.Answering
	}
	return btquarantine.BegunWithoutOutput
}

// sendCrashRecords sends an entry the records of requests during which this agent's
// target crashed.
func (a *Agent) sendCrashRecords(ctx context.Context, to btpeer.Endpoint) {
	if records := a.isolation.ExportIfChanged(0); len(records) > 0 {
		a.isolation.Exchange(ctx, to, records)
	}
}

// entryEndpoint returns the endpoint of the entry that sent the request, false if the
// bundle doesn't list it.
func (v *attempt) entryEndpoint() (btpeer.Endpoint, bool) {
	approved := v.agent.options.Bundles.Current()
	if approved == nil {
		return btpeer.Endpoint{}, false
	}
	return btprocess.EntryEndpoint(approved.Index, v.request.ID.Entry)
}

// fingerprint returns a digest of the request's content, which is the same if the
// request is sent again.
func (v *attempt) fingerprint() btquarantine.Fingerprint {
	return btquarantine.Content{
		Account: v.request.Account,
		Host:    string(v.request.Service),
		Method:  v.request.Method,
		URI:     v.request.Path,
		Body:    v.request.Body,
	}.Fingerprint()
}
