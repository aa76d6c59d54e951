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

// fleetTick is how often leases are looked at.
const fleetTick = 200 * time.Millisecond

// fleet is the entry's view of all targets: who may get work, how loaded each
// is, and which one a request goes to. One lock guards the three machines,
// which are quick.
type fleet struct {
	clock   btloop.Clock
	meter   *btmetric.Meter
	decided *btmetric.Decisions
	log     *slog.Logger

	mu      sync.Mutex
	member  *btmember.Membership
	router  *btroute.Router
	tracker *btload.Tracker
	// ejected holds the targets that are out of rotation, for operators.
	ejected map[btid.Target]btroute.Ejected
	// limited holds until when targets are passed over whose rate of requests is used up.
	limited map[btid.Target]time.Time
	budget  *btretry.Budget
	decider *btretry.Decider
	serial  uint64
	place   btmember.EntryLocation
	// relay passes on what this entry hears, where not every entry hears all.
	relay *btmember.Relay
	links []btmember.Link
	// services are those that the router knows.
	services map[btid.Service]bool
	bundle   *btbundle.Approved
	// lease is how long a lease lasts from its evidence on, by this clock.
	lease time.Duration
	// ask has a peer start its summaries anew.
	ask func(btmember.RequestReset)
}

func newFleet(o Options, place btmember.EntryLocation, incarnation btid.Incarnation) *fleet {
	config := btroute.Defaults()
	config.DataCentre = place.DataCentre
	tracker := btload.New(btload.Defaults())
	member := btmember.New(memberSettings(), o.Assert)
	budget := btretry.NewBudget(btretry.DefaultConfig())
	return &fleet{
		clock:    o.Clock,
		meter:    o.Meter,
		decided:  o.Decisions,
		log:      o.Log,
		member:   member,
		router:   btroute.New(config, tracker, rand.NewPCG(o.Random.Uint64(), o.Random.Uint64()), o.Assert),
		tracker:  tracker,
		ejected:  map[btid.Target]btroute.Ejected{},
		limited:  map[btid.Target]time.Time{},
		budget:   budget,
		decider:  btretry.New(btretry.DefaultConfig(), budget, rand.NewPCG(o.Random.Uint64(), o.Random.Uint64())),
		place:    place,
		relay:    btmember.NewRelay(btmember.DefaultRelaySettings(), o.Name, incarnation, member),
		services: map[btid.Service]bool{},
	}
}

func (f *fleet) run(ctx context.Context) {
	t := time.NewTicker(fleetTick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			f.tell(btmember.Tick{})
		}
	}
}

// tell hands membership an event.
func (f *fleet) tell(event btmember.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.joined(f.member.Step(f.clock(), event))
}

// heard takes a heartbeat and the load report inside it.
func (f *fleet) heard(h btmember.Heartbeat) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock()
	f.joined(f.member.Step(now, btmember.HeartbeatReceived{Heartbeat: h}))
	f.renew(now, h.Target)
	f.report(now, h.Load)
}

// renew tells the router how long the target's lease lasts.
func (f *fleet) renew(now time.Time, target btid.Target) {
	view, known := f.member.View(target)
	if known {
		f.route(f.router.Step(now, btroute.Lease{Target: target, Until: view.LeaseEnd}))
	}
}

// report takes a load report; a malformed one is counted and changes nothing.
func (f *fleet) report(now time.Time, data cbor.RawMessage) {
	if len(data) == 0 {
		return
	}
	report, err := btwire.Decode[btload.Report](data)
	if err != nil {
		f.meter.Refused(reasonBadReport)
		return
	}
	f.route(f.router.Step(now, btroute.LoadEvent{Event: btload.Reported{Report: report}}))
}

const reasonBadReport btrequest.Reason = "load_report_malformed"

// joined carries out membership's effects.
func (f *fleet) joined(effects []btmember.Effect) {
	now := f.clock()
	for _, effect := range effects {
		switch e := effect.(type) {
		case btmember.Joined:
			f.log.Info("target joined", "target", e.Executor.Target, "incarnation", e.Executor.Incarnation)
			f.route(f.router.Step(now, btroute.Leaving{Target: e.Executor.Target, Leaving: false}))
			f.renew(now, e.Executor.Target)
		case btmember.Left:
			f.left(now, e)
		case btmember.RequestReset:
			f.ask(e)
		case btmember.Ignored:
			f.meter.Refused(e.Reason)
		}
	}
}

func (f *fleet) left(now time.Time, e btmember.Left) {
	f.route(f.router.Step(now, btroute.Leaving{Target: e.Executor.Target, Leaving: true}))
	f.decided.Add(btmetric.Decision{
		Time:     now,
		Act:      "target_left",
		Subject:  "target " + string(e.Executor.Target),
		Cause:    string(e.Cause),
		Evidence: "incarnation " + e.Executor.Incarnation.String(),
		Expected: "it gets no new work; what it runs is finished",
	})
}

// hostLeaving tells whether the host list is why a target gets no work.
func (f *fleet) hostLeaving(target btid.Target) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	cause, _ := f.member.Cause(target)
	return cause == btmember.CauseHostLeaving
}

// stopped tells whether a target's agent said good-bye, and nobody has answered
// in its place since.
func (f *fleet) stopped(target btid.Target) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	cause, _ := f.member.Cause(target)
	return cause == btmember.CauseAgentStopped
}

// cached takes changes of a target's prefix cache.
func (f *fleet) cached(batch btload.CacheEvents) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.load(btload.CacheReported{Batch: batch})
}
