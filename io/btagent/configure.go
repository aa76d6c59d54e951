package btagent

import (
	"net/netip"
	"time"

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
		a.markUnlisted()
		return
	}
	a.applyTarget(approved, target)
	// The state comes first: a heartbeat without one is malformed.
	a.heartbeat.setState(btmember.Serving)
	a.heartbeat.configure(approved)
	a.ready.Store(true)
}

// applyTarget applies the bundle's settings of this target.
func (a *Agent) applyTarget(approved *btbundle.Approved, target *btbundle.Target) {
	service, _ := approved.Index.Service(target.Service)
	a.mu.Lock()
	a.service = target.Service
	a.firstToken = service.FirstToken.Duration
	moved := a.endpoint != "" && a.endpoint != target.Endpoint.String()
	if a.endpoint != target.Endpoint.String() {
		a.endpoint = target.Endpoint.String()
		a.clientEndpoint = target.Endpoint
		a.client = a.newClient(target.Endpoint)
	}
	first := a.admission == nil
	if first {
		a.initServing(approved, target)
	}
	queue := a.admission
	ledger := a.ledger
	a.mu.Unlock()
	if first {
		return
	}
	if moved {
		a.resetRate()
		a.resetNotices("the target has another endpoint")
	}
	queue.loop.Post(btqueue.Resize{Slots: target.Slots, QueueLimit: target.Queue})
	ledger.handle(btclaim.RulesChanged{Rules: RulesOf(approved, service)})
}

// localDialTimeout limits connecting to the target, which is on the same host. A request
// that is sent late on a connection could reach a target that has asked for rest meanwhile.
const localDialTimeout = 400 * time.Millisecond

func (a *Agent) newClient(endpoint netip.AddrPort) *bttarget.Client {
	return bttarget.New(bttarget.Options{Endpoint: endpoint, Registry: a.options.Meter.Registry(), DialTimeout: localDialTimeout, OnNotice: a.observeNotice, Log: a.options.Log})
}

// initServing creates the queue and the ledger, which need values of the first bundle.
// a.mu must be held.
func (a *Agent) initServing(approved *btbundle.Approved, target *btbundle.Target) {
	o := a.options
	a.admission = newAdmission(btqueue.DefaultSettings(target.Slots, target.Queue), o.Elapsed, o.Random, o.Assert)
	service, _ := approved.Index.Service(target.Service)
	settings := btclaim.DefaultLedgerSettings(a.self, RulesOf(approved, service))
	a.ledger = newLedger(settings, o.Clock, o.Assert)
	a.startup <- a.admission.run
	a.startup <- a.ledger.run
}

// markUnlisted applies a bundle that no longer lists the target. Running requests
// finish, and requests of entries with an earlier bundle are refused. A later bundle
// may list the target again.
func (a *Agent) markUnlisted() {
	a.ready.Store(false)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.service = ""
}
