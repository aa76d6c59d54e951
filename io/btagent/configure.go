package btagent

import (
	"bilberrytide/core/btbundle"
	"bilberrytide/core/btclaim"
	"bilberrytide/core/btmember"
	"bilberrytide/core/btqueue"
	"bilberrytide/io/bttarget"
)

// configure puts a bundle in force.
func (a *Agent) configure(approved *btbundle.Approved) {
	a.home.configure(approved)
	a.group.Configure(approved)
	target, found := approved.Index.Target(a.self.Target)
	if !found {
		a.heartbeat.configure(approved)
		a.unlisted()
		return
	}
	a.serveAs(approved, target)
	// The state comes first: a heartbeat without one is malformed.
	a.heartbeat.set(btmember.Serving)
	a.heartbeat.configure(approved)
	a.ready.Store(true)
}

// serveAs takes what a bundle says of this target.
func (a *Agent) serveAs(approved *btbundle.Approved, target *btbundle.Target) {
	service, _ := approved.Index.Service(target.Service)
	a.mu.Lock()
	a.service = target.Service
	a.firstToken = service.FirstToken.Duration
	moved := a.endpoint != "" && a.endpoint != target.Endpoint.String()
	if a.endpoint != target.Endpoint.String() {
		a.endpoint = target.Endpoint.String()
		a.client = bttarget.New(bttarget.Options{Endpoint: target.Endpoint, Registry: a.options.Meter.Registry()})
	}
	first := a.admission == nil
	if first {
		a.begin(approved, target)
	}
	queue := a.admission
	ledger := a.ledger
	a.mu.Unlock()
	if first {
		return
	}
	if moved {
		a.forgetRate()
	}
	queue.loop.Post(btqueue.Resize{Slots: target.Slots, QueueLimit: target.Queue})
	ledger.ask(btclaim.RulesChanged{Rules: RulesOf(approved, service)})
}

// begin makes what needs the first bundle's values.
func (a *Agent) begin(approved *btbundle.Approved, target *btbundle.Target) {
	o := a.options
	a.admission = newAdmission(btqueue.DefaultSettings(target.Slots, target.Queue), o.Elapsed, o.Random, o.Assert)
	service, _ := approved.Index.Service(target.Service)
	settings := btclaim.DefaultLedgerSettings(a.self, RulesOf(approved, service))
	a.ledger = newLedger(settings, o.Clock, o.Assert)
	a.starting <- a.admission.run
	a.starting <- a.ledger.run
}

// unlisted takes the word of a bundle that the target is gone from the fleet:
// what runs is finished, and entries with an earlier bundle are refused. It may
// be listed again.
func (a *Agent) unlisted() {
	a.ready.Store(false)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.service = ""
}
