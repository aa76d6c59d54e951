package btagent

import (
	"context"

	"bilberrytide/core/btquarantine"
	"bilberrytide/io/btpeer"
	"bilberrytide/io/btprocess"
	"bilberrytide/io/bttarget"
)

// broke notes what an answer that broke off tells of the request: where the target's
// process is gone, that it ended under it. The entry that sent the request knows of it
// before it hears of the failure and decides on another attempt; others hear meanwhile.
func (v *serving) broke(ctx context.Context, err error, p btquarantine.Progress) {
	// The look at the target and the telling are not the caller's to cancel.
	ctx = context.WithoutCancel(ctx)
	if !bttarget.BrokeOff(err) || !v.place.client.Refused(ctx) {
		return
	}
	a := v.agent
	f := v.fingerprint()
	a.isolation.Ended(f, string(a.self.Target), p, "account", v.request.Account, "path", v.request.Path)
	if to, found := v.asking(); found {
		a.isolation.Compare(ctx, to, btquarantine.Records{a.isolation.Record(f)})
	}
}

// progress is how far a target has come that has begun to answer; came tells that some of
// the answer has.
func (v *serving) progress(came bool) btquarantine.Progress {
	if came || !v.agent.group.MultiRank() {
		return btquarantine.Answering
	}
	return btquarantine.BegunWithoutOutput
}

// remind tells an entry which requests this agent's target has ended under.
func (a *Agent) remind(ctx context.Context, to btpeer.Endpoint) {
	if records := a.isolation.NewerThan(0); len(records) > 0 {
		a.isolation.Compare(ctx, to, records)
	}
}

// asking returns the entry that sent the request, false where the bundle lists none of
// its name.
func (v *serving) asking() (btpeer.Endpoint, bool) {
	current := v.agent.options.Bundles.Current()
	if current == nil {
		return btpeer.Endpoint{}, false
	}
	return btprocess.EntryEndpoint(current.Index, v.request.ID.Entry)
}

// fingerprint stands for the request's content, by which it is known when it comes
// again.
func (v *serving) fingerprint() btquarantine.Fingerprint {
	return btquarantine.Content{
		Account: v.request.Account,
		Host:    string(v.request.Service),
		Method:  v.request.Method,
		URI:     v.request.Path,
		Body:    v.request.Body,
	}.Fingerprint()
}
