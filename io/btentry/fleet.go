package btentry

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"bilberrytide/core/btbundle"
	"bilberrytide/core/btid"
	"bilberrytide/core/btload"
	"bilberrytide/core/btmember"
	"bilberrytide/core/btrequest"
	"bilberrytide/core/btretry"
	"bilberrytide/core/btroute"
	"bilberrytide/core/btwire"
	"bilberrytide/io/btloop"
	"bilberrytide/io/btmetric"
)

// fleetInterval is how often leases are checked.
const fleetInterval = 200 * time.Millisecond

// fleet is the entry's view of all targets: which are eligible, how loaded each is, and
// which one a request is sent to. A single lock guards the membership, the router and
// the load tracker, whose steps are short.
type fleet struct {
	clock     btloop.Clock
	meter     *btmetric.Meter
	decisions *btmetric.Decisions
	log       *slog.Logger

	mu      sync.Mutex
	member  *btmember.Membership
	router  *btroute.Router
	tracker *btload.Tracker
	// ejected holds the targets that are out of rotation, for the status page.
	ejected map[btid.Target]btroute.Ejected
	// unavailable holds the targets that take no requests for some time.
	unavailable map[btid.Target]unavailable
	budget      *btretry.Budget
	decider     *btretry.Decider
	attempts    uint64
	location    btmember.EntryLocation
	// relay forwards membership in fleets where not every entry hears every agent.
	relay *btmember.Relay
	links []btmember.Link
	// routedServices are the services known to the router.
	routedServices map[btid.Service]bool
	bundle         *btbundle.Approved
	// lease is how long a lease lasts after the report that renews it, by this clock.
	lease time.Duration
	// requestReset asks a peer to restart its summaries.
	requestReset func(btmember.RequestReset)
}

func newFleet(o Options, location btmember.EntryLocation, incarnation btid.Incarnation) *fleet {
	config := btroute.Defaults()
	config.DataCentre = location.DataCentre
	tracker := btload.New(btload.Defaults())
	member := btmember.New(memberDefaults(), o.Assert)
	budget := btretry.NewBudget(btretry.DefaultConfig())
	return &fleet{
		clock:          o.Clock,
		meter:          o.Meter,
		decisions:      o.Decisions,
		log:            o.Log,
		member:         member,
		router:         btroute.New(config, tracker, rand.NewPCG(o.Random.Uint64(), o.Random.Uint64()), o.Assert),
		tracker:        tracker,
		ejected:        map[btid.Target]btroute.Ejected{},
		unavailable:    map[btid.Target]unavailable{},
		budget:         budget,
		decider:        btretry.New(btretry.DefaultConfig(), budget, rand.NewPCG(o.Random.Uint64(), o.Random.Uint64())),
		location:       location,
		relay:          btmember.NewRelay(btmember.DefaultRelaySettings(), o.Name, incarnation, member),
		routedServices: map[btid.Service]bool{},
	}
}

func (f *fleet) run(ctx context.Context) {
	t := time.NewTicker(fleetInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			f.stepMember(btmember.Tick{})
		}
	}
}

// stepMember passes an event to the membership.
func (f *fleet) stepMember(event btmember.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applyMemberEffects(f.member.Step(f.clock(), event))
}

// handleHeartbeat handles a heartbeat and the load report in it.
func (f *fleet) handleHeartbeat(h btmember.Heartbeat) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock()
	f.applyMemberEffects(f.member.Step(now, btmember.HeartbeatReceived{Heartbeat: h}))
	f.updateLease(now, h.Target)
	f.applyLoadReport(now, h.Load)
}

// updateLease updates the end of the target's lease in the router.
func (f *fleet) updateLease(now time.Time, target btid.Target) {
	view, known := f.member.View(target)
	if known {
		f.applyRouterEffects(f.router.Step(now, btroute.Lease{Target: target, Until: view.LeaseEnd}))
	}
}

// applyLoadReport applies a load report. A malformed one is counted and ignored.
func (f *fleet) applyLoadReport(now time.Time, data cbor.RawMessage) {
	if len(data) == 0 {
		return
	}
	report, err := btwire.Decode[btload.Report](data)
	if err != nil {
		f.meter.Refused(reasonBadReport)
		return
	}
	f.applyRouterEffects(f.router.Step(now, btroute.LoadEvent{Event: btload.Reported{Report: report}}))
}

const reasonBadReport btrequest.Reason = "load_report_malformed"

// applyMemberEffects applies the effects of the membership.
func (f *fleet) applyMemberEffects(effects []btmember.Effect) {
	now := f.clock()
	for _, effect := range effects {
		switch e := effect.(type) {
		case btmember.Joined:
			f.log.Info("target joined", "target", e.Executor.Target, "incarnation", e.Executor.Incarnation)
			delete(f.unavailable, e.Executor.Target)
			f.applyRouterEffects(f.router.Step(now, btroute.Leaving{Target: e.Executor.Target, Leaving: false}))
			f.updateLease(now, e.Executor.Target)
		case btmember.Left:
			f.removeTarget(now, e)
		case btmember.RequestReset:
			f.requestReset(e)
		case btmember.Ignored:
			f.meter.Refused(e.Reason)
		}
	}
}

func (f *fleet) removeTarget(now time.Time, e btmember.Left) {
	f.applyRouterEffects(f.router.Step(now, btroute.Leaving{Target: e.Executor.Target, Leaving: true}))
	f.decisions.Add(btmetric.Decision{
		Time:     now,
		Act:      "target_left",
		Subject:  "target " + string(e.Executor.Target),
		Cause:    string(e.Cause),
		Evidence: "incarnation " + e.Executor.Incarnation.String(),
		Expected: "it gets no new work; what it runs is finished",
	})
}

// hostLeaving reports whether a target is excluded because its host is leaving.
func (f *fleet) hostLeaving(target btid.Target) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	cause, _ := f.member.Cause(target)
	return cause == btmember.CauseHostLeaving
}

// agentStopped reports whether the agent of a target announced its stop and no new
// incarnation has reported since.
func (f *fleet) agentStopped(target btid.Target) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	cause, _ := f.member.Cause(target)
	return cause == btmember.CauseAgentStopped
}

// applyCacheEvents applies changes of a target's prefix cache.
func (f *fleet) applyCacheEvents(batch btload.CacheEvents) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stepLoad(btload.CacheReported{Batch: batch})
}
