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

// minSummaryLease is the minimum lease where targets are known from summaries, each hop
// of which adds a summary interval.
const minSummaryLease = 6 * time.Second

// memberDefaults returns the settings in force before the first bundle.
func memberDefaults() btmember.Settings {
	s := btmember.DefaultSettings()
	s.Level = loadLevel
	return s
}

// loadLevel quantises an encoded load report. The report is validated where it is used.
func loadLevel(data cbor.RawMessage) uint8 {
	report, err := btwire.Decode[btload.Report](data)
	if err != nil {
		return 0
	}
	return btload.Level(report)
}

// configure applies a bundle.
func (f *fleet) configure(a *btbundle.Approved) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock()
	f.bundle = a
	f.applyRouterEffects(f.router.Step(now, btroute.Configured{Ejection: btroute.EjectionFromBundle(a.Bundle.Ejection)}))
	f.setServices(now, a)
	f.decider.Configure(now, btretry.ConfigFromBundle(a.Bundle.Retry))
	f.setMembers(now, a)
}

// setServices updates the targets of each service in the router, and removes services
// that the bundle no longer lists.
func (f *fleet) setServices(now time.Time, a *btbundle.Approved) {
	listed := map[btid.Service]bool{}
	for _, s := range a.Bundle.Services {
		listed[s.Name] = true
		f.applyRouterEffects(f.router.Step(now, btroute.Members{Service: s.Name, Targets: f.routeMembers(a, s.Name)}))
	}
	for name := range f.routedServices {
		if !listed[name] {
			f.applyRouterEffects(f.router.Step(now, btroute.Members{Service: name}))
		}
	}
	f.routedServices = listed
	for name, e := range f.ejected {
		if t, found := a.Index.Target(name); !found || t.Service != e.Service {
			delete(f.ejected, name)
		}
	}
}

// routeMembers returns the targets of a service for the router. The router is created
// before a bundle gives this entry's region, so regions are relative to it: the entry's
// own region is the empty string.
func (f *fleet) routeMembers(a *btbundle.Approved, service btid.Service) []btroute.Member {
	regions := map[btid.DataCentre]string{}
	for _, d := range a.Bundle.DataCentres {
		regions[d.Name] = d.Region
	}
	own := regions[f.location.DataCentre]
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

// setMembers updates the targets, the lease and the entries that summaries are sent to.
func (f *fleet) setMembers(now time.Time, a *btbundle.Approved) {
	plan := btprocess.TopologyOf(a)
	lease := a.Bundle.Timeouts.TargetLease.Duration
	if !plan.FullMesh() {
		lease = max(lease, minSummaryLease)
	}
	clockError := a.Bundle.Idempotency.ClockError.Duration
	f.lease = lease + clockError
	f.links = plan.Links(f.location)
	f.relay.Step(now, btmember.LinksUpdated{Links: f.links})
	f.applyMemberEffects(f.member.Step(now, btmember.Configured{Lease: lease, ClockError: clockError}))
	order := a.Revision()
	f.applyMemberEffects(f.member.Step(now, btmember.Bundle{Version: order.Version, Digest: order.Digest, Targets: btprocess.LocationsOf(a)}))
}

// mergeSummary merges another entry's summary.
func (f *fleet) mergeSummary(s btmember.Summary) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock()
	f.applyMemberEffects(f.member.Step(now, btmember.SummaryReceived{Summary: s}))
	if f.bundle == nil {
		return
	}
	for i := range f.bundle.Bundle.Targets {
		if t := &f.bundle.Bundle.Targets[i]; t.DataCentre == s.Origin {
			f.applyRelayed(now, t)
		}
	}
}

// applyRelayed updates the router with what a summary may have renewed: the lease, and
// the load unless a newer report was received directly.
func (f *fleet) applyRelayed(now time.Time, t *btbundle.Target) {
	view, known := f.member.View(t.Name)
	if !known || view.Executor.Incarnation == 0 || view.LeaseEnd.IsZero() {
		return
	}
	renewed := view.LeaseEnd.Add(-f.lease)
	f.applyRouterEffects(f.router.Step(now, btroute.Lease{Target: t.Name, Until: view.LeaseEnd}))
	f.stepLoad(btload.LevelRelayed{
		Target:      t.Name,
		Incarnation: view.Executor.Incarnation,
		Level:       view.Level,
		Slots:       t.Slots,
		Age:         max(0, now.Sub(renewed)),
	})
}

// dueSummaries returns the summaries that are due to be sent.
func (f *fleet) dueSummaries() []btmember.SendSummary {
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

// resetSummaries restarts the summaries of one origin to a peer from a full state.
func (f *fleet) resetSummaries(ask btmember.SummaryAsk) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.relay.Step(f.clock(), btmember.ResetRequested{Request: ask})
}

// linkedEntries returns the entries that summaries are sent to.
func (f *fleet) linkedEntries() map[btid.Entry]bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	linked := map[btid.Entry]bool{}
	for _, l := range f.links {
		linked[l.To] = true
	}
	return linked
}
