package btentry

import (
	"context"
	"fmt"
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
	member  *btmember.Member
	router  *btroute.Router
	tracker *btload.Tracker
	// ejected holds the targets that are out of rotation, for operators.
	ejected map[btid.Target]btroute.Ejected
	budget  *btretry.Budget
	decider *btretry.Decider
	serial  uint64
	place   btmember.EntryPlace
	// relay passes on what this entry hears, where not every entry hears all.
	relay *btmember.Relay
	links []btmember.Link
	// services are those that the router knows.
	services map[btid.Service]bool
	bundle   *btbundle.Approved
	// lease is how long a lease lasts from its evidence on, by this clock.
	lease time.Duration
	// ask has a peer start its summaries anew.
	ask func(btmember.AskReset)
}

func newFleet(o Options, place btmember.EntryPlace, incarnation btid.Incarnation) *fleet {
	config := btroute.Defaults()
	config.DataCentre = place.DataCentre
	tracker := btload.New(btload.Defaults())
	member := btmember.New(memberSettings(), o.Assert)
	budget := btretry.NewBudget(btretry.Defaults())
	return &fleet{
		clock:    o.Clock,
		meter:    o.Meter,
		decided:  o.Decisions,
		log:      o.Log,
		member:   member,
		router:   btroute.New(config, tracker, rand.NewPCG(o.Random.Uint64(), o.Random.Uint64()), o.Assert),
		tracker:  tracker,
		ejected:  map[btid.Target]btroute.Ejected{},
		budget:   budget,
		decider:  btretry.New(btretry.Defaults(), budget, rand.NewPCG(o.Random.Uint64(), o.Random.Uint64())),
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
	f.joined(f.member.Step(now, btmember.Heard{Heartbeat: h}))
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
	f.route(f.router.Step(now, btroute.Load{Event: btload.Reported{Report: report}}))
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
		case btmember.AskReset:
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

// route carries out the router's effects.
func (f *fleet) route(effects []btroute.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case btroute.Ejected:
			f.ejected[e.Target] = e
			f.decided.Add(btmetric.Decision{
				Time:     f.clock(),
				Act:      "target_ejected",
				Subject:  "target " + string(e.Target),
				Cause:    string(e.Cause),
				Evidence: fmt.Sprintf("%+v", e.Evidence),
				Expected: "its work goes to others until " + e.Until.UTC().Format(time.RFC3339),
			})
		case btroute.Restored:
			delete(f.ejected, e.Target)
			f.decided.Add(btmetric.Decision{
				Time:     f.clock(),
				Act:      "target_restored",
				Subject:  "target " + string(e.Target),
				Cause:    string(e.Cause),
				Evidence: "out for " + e.Out.String(),
				Expected: "it takes its part of the work again",
			})
		case btroute.Withheld:
			f.decided.Add(btmetric.Decision{
				Time:     f.clock(),
				Act:      "ejection_withheld",
				Subject:  "target " + string(e.Target),
				Cause:    string(e.Cause),
				Evidence: fmt.Sprintf("%+v", e.Evidence),
				Expected: "it stays in rotation, as the share of ejected targets is at its cap",
			})
		}
	}
}

// pick is where a request goes.
type pick struct {
	executor btid.Executor
	choice   btroute.Choice
	// serial numbers the attempt for the load tracker.
	serial uint64
}

// pick chooses a target and counts the request as sent there. The error is a
// *btroute.NoTargetError.
func (f *fleet) pick(request btroute.Request) (pick, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock()
	for {
		choice, err := f.router.Pick(now, request)
		if err != nil {
			return pick{}, err
		}
		executor, admitted := f.member.Admit(now, choice.Target)
		if admitted {
			return pick{executor: executor, choice: choice}, nil
		}
		request.Tried = append(request.Tried, choice.Target)
	}
}

// sent counts a request as on its way to the target.
func (f *fleet) sent(p *pick, request btroute.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.serial++
	p.serial = f.serial
	f.load(btload.Sent{Target: p.executor.Target, Number: p.serial, Tokens: request.Tokens, Prefixes: request.Prefixes})
}

// started counts the first byte of an answer.
func (f *fleet) started(p pick) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.load(btload.Started{Target: p.executor.Target, Number: p.serial})
}

// finished counts the end of an attempt; failed tells that the target or the
// way to it is at fault.
func (f *fleet) finished(p pick, result attempt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock()
	f.load(btload.Finished{Target: p.executor.Target, Number: p.serial, Refused: result.outcome == btrequest.NotRun})
	f.report(now, result.load)
	if result.atFault {
		f.route(f.router.Step(now, btroute.Failed{Target: p.executor.Target, Reason: result.reason}))
	}
}

func (f *fleet) load(event btload.Event) {
	f.route(f.router.Step(f.clock(), btroute.Load{Event: event}))
}

// hostLeaving tells whether the host list is why a target gets no work.
func (f *fleet) hostLeaving(target btid.Target) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	cause, _ := f.member.Cause(target)
	return cause == btmember.CauseHostList
}

// cached takes changes of a target's prefix cache.
func (f *fleet) cached(batch btload.CacheEvents) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.load(btload.Cached{Batch: batch})
}

// request counts a first attempt for the retry budget.
func (f *fleet) request() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.budget.Request()
}

// decide tells whether a failed attempt is tried again.
func (f *fleet) decide(a btretry.Attempt) btretry.Decision {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.decider.Decide(f.clock(), a)
}
