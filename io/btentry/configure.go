package btentry

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"bilberrytide/core/btbundle"
	"bilberrytide/core/btid"
	"bilberrytide/core/btload"
	"bilberrytide/core/btmember"
	"bilberrytide/core/btretry"
	"bilberrytide/core/btroute"
	"bilberrytide/core/btwire"
	"bilberrytide/io/btprocess"
)

// summaryLease is the shortest lease where targets are heard of by summaries,
// which add their interval at each hop.
const summaryLease = 6 * time.Second

// memberSettings are those before the first bundle.
func memberSettings() btmember.Settings {
	s := btmember.DefaultSettings()
	s.Level = levelOf
	return s
}

// levelOf quantises an encoded report, which is checked where it is used.
func levelOf(data cbor.RawMessage) uint8 {
	report, err := btwire.Decode[btload.Report](data)
	if err != nil {
		return 0
	}
	return btload.Level(report)
}

// configure puts a bundle in force.
func (f *fleet) configure(a *btbundle.Approved) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock()
	f.bundle = a
	f.route(f.router.Step(now, btroute.Configured{Ejection: btroute.EjectionFromBundle(a.Bundle.Ejection)}))
	f.setServices(now, a)
	f.decider.Configure(now, btretry.ConfigFromBundle(a.Bundle.Retry))
	f.setMembers(now, a)
}

// setServices tells the router which targets serve what. Services that the
// bundle no longer lists lose theirs.
func (f *fleet) setServices(now time.Time, a *btbundle.Approved) {
	listed := map[btid.Service]bool{}
	for _, s := range a.Bundle.Services {
		listed[s.Name] = true
		f.route(f.router.Step(now, btroute.Members{Service: s.Name, Targets: f.routed(a, s.Name)}))
	}
	for name := range f.services {
		if !listed[name] {
			f.route(f.router.Step(now, btroute.Members{Service: name}))
		}
	}
	f.services = listed
	for name, e := range f.ejected {
		if t, found := a.Index.Target(name); !found || t.Service != e.Service {
			delete(f.ejected, name)
		}
	}
}

// routed returns a service's targets as the router knows them. The router is
// made before a bundle tells its region, so regions are told in relation to
// this entry's: its own has no name.
func (f *fleet) routed(a *btbundle.Approved, service btid.Service) []btroute.Member {
	regions := map[btid.DataCentre]string{}
	for _, d := range a.Bundle.DataCentres {
		regions[d.Name] = d.Region
	}
	own := regions[f.place.DataCentre]
	var members []btroute.Member
	for _, t := range a.Index.TargetsOf(service) {
		region := regions[t.DataCentre]
		if region == own {
			region = ""
		}
		members = append(members, btroute.Member{Target: t.Name, DataCentre: t.DataCentre, Region: region})
	}
	return members
}

// setMembers tells membership of the targets, the lease, and whom this entry
// sends summaries to.
func (f *fleet) setMembers(now time.Time, a *btbundle.Approved) {
	plan := btprocess.PlanOf(a)
	lease := a.Bundle.Timeouts.TargetLease.Duration
	if !plan.FullMesh() {
		lease = max(lease, summaryLease)
	}
	clockError := a.Bundle.Idempotency.ClockError.Duration
	f.lease = lease + clockError
	f.links = plan.Links(f.place)
	f.relay.Step(now, btmember.LinksUpdated{Links: f.links})
	f.joined(f.member.Step(now, btmember.Configured{Lease: lease, ClockError: clockError}))
	order := a.Revision()
	f.joined(f.member.Step(now, btmember.Bundle{Version: order.Version, Digest: order.Digest, Targets: btprocess.PlacesOf(a)}))
}

// summarised takes another entry's summary.
func (f *fleet) summarised(s btmember.Summary) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock()
	f.joined(f.member.Step(now, btmember.SummaryReceived{Summary: s}))
	if f.bundle == nil {
		return
	}
	for i := range f.bundle.Bundle.Targets {
		if t := &f.bundle.Bundle.Targets[i]; t.DataCentre == s.Origin {
			f.vouched(now, t)
		}
	}
}

// vouched tells the router what a summary may have renewed: the lease, and the
// load, where no newer report came here.
func (f *fleet) vouched(now time.Time, t *btbundle.Target) {
	view, known := f.member.View(t.Name)
	if !known || view.Executor.Incarnation == 0 || view.LeaseEnd.IsZero() {
		return
	}
	evidence := view.LeaseEnd.Add(-f.lease)
	f.route(f.router.Step(now, btroute.Lease{Target: t.Name, Until: view.LeaseEnd}))
	f.load(btload.LevelRelayed{
		Target:      t.Name,
		Incarnation: view.Executor.Incarnation,
		Level:       view.Level,
		Slots:       t.Slots,
		Age:         max(0, now.Sub(evidence)),
	})
}

// passOn returns the summaries that are due.
func (f *fleet) passOn() []btmember.SendSummary {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.links) == 0 {
		return nil
	}
	var sends []btmember.SendSummary
	for _, effect := range f.relay.Step(f.clock(), btmember.RelayTick{}) {
		if send, ok := effect.(btmember.SendSummary); ok {
			sends = append(sends, send)
		}
	}
	return sends
}

// asked has the summaries of one origin to a peer start anew.
func (f *fleet) asked(ask btmember.SummaryAsk) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.relay.Step(f.clock(), btmember.ResetRequested{Request: ask})
}

// linked returns the entries that summaries go to.
func (f *fleet) linked() map[btid.Entry]bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	linked := map[btid.Entry]bool{}
	for _, l := range f.links {
		linked[l.To] = true
	}
	return linked
}
