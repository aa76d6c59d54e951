package btrank

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"bilberrytide/core/btexpert"
	"bilberrytide/core/btrelay"
	"bilberrytide/core/btround"
	"bilberrytide/io/btcall"
)

const (
	// idleTick and roundTick are how often the lead looks at the clock, without
	// and within a round.
	idleTick  = 100 * time.Millisecond
	roundTick = 20 * time.Millisecond
	// commandTime bounds a command's answer, beyond the time that an agent works
	// on it.
	commandTime = workTime + 200*time.Millisecond
	// leadFor is how long an agent leads after the last report of another: the
	// others report a few times a second.
	leadFor = time.Second
	// holderFresh is how old an agent's last report may be for it to be asked to
	// keep a record: agents report a few times a second.
	holderFresh = 500 * time.Millisecond
)

// lead drives the group's rounds at the agent that the others report to.
type lead struct {
	options Options
	agent   *Agent
	calls   *btcall.Client
	log     *slog.Logger
	kick    chan struct{}

	mu      sync.Mutex
	machine *btround.Lead
	planner *planner
	// engines is the engine's address by rank, at is when its agent last
	// reported.
	engines map[btexpert.Rank]netip.AddrPort
	at      map[btexpert.Rank]time.Time
	heardAt time.Time
	looker  *btrelay.DirectReader
	// via is the relay that a rank's last report came from; none where it came
	// from the agent itself.
	via map[btexpert.Rank]netip.AddrPort
	// whole tells which ranks lack the map that changes refer to, prepares the
	// version that a rank has answered last.
	whole    map[btexpert.Rank]bool
	prepares map[btexpert.Rank]btround.Version
	// sending is the version that is on its way to a rank.
	sending map[btexpert.Rank]btround.Version
	remotes map[netip.AddrPort]Engine
	leading bool
	// open tells whether the group was whole at the last step. Entries are told of a
	// change at once.
	open    bool
	planned time.Time
	told    time.Time
	// tellersAway is until when a rank's agent is not asked to tell entries.
	tellersAway map[btexpert.Rank]time.Time
	// strains is what each entry, or each agent for its entries, said last of the
	// service's answers.
	strains map[netip.AddrPort]heardStrain
	// unrecorded is until when rounds are held at the own rank, as another's agent
	// did not answer.
	unrecorded time.Time
	// pause follows whether the group is paused; paused tells that this was logged.
	pause  btround.PauseWatch
	paused bool
	// waitLogged is when a line was written on a round that waits.
	waitLogged time.Time
}

func newLead(o Options, a *Agent, calls *btcall.Client) *lead {
	return &lead{
		options:     o,
		agent:       a,
		calls:       calls,
		log:         o.Log,
		kick:        make(chan struct{}, 1),
		planner:     newPlanner(),
		engines:     make(map[btexpert.Rank]netip.AddrPort),
		at:          make(map[btexpert.Rank]time.Time),
		via:         make(map[btexpert.Rank]netip.AddrPort),
		whole:       make(map[btexpert.Rank]bool),
		prepares:    make(map[btexpert.Rank]btround.Version),
		sending:     make(map[btexpert.Rank]btround.Version),
		tellersAway: make(map[btexpert.Rank]time.Time),
		looker:      btrelay.NewDirectReader(),
		remotes:     make(map[netip.AddrPort]Engine),
		strains:     make(map[netip.AddrPort]heardStrain),
	}
}

// errNotKnown means that the agent doesn't know its own engine's state yet.
var errNotKnown = errors.New("own engine isn't known yet")

// hear takes a relay's bundle in.
func (l *lead) hear(_ context.Context, b Bundle) (BundleReply, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.options.Clock()
	own := l.agent.own()
	if own.Size == 0 {
		return BundleReply{}, errNotKnown
	}
	if l.machine == nil || l.machine.Self() != own.Rank || l.machine.Group() != own.Group {
		l.machine = btround.NewLead(btround.Defaults(), own.Group, own.Rank, btround.Instance(rand.Uint32()), l.options.Assert)
	}
	var reply BundleReply
	for _, r := range b.Reports {
		if l.take(now, r, b.From) {
			reply.WantHeld = append(reply.WantHeld, r.Report.State.Rank)
		}
	}
	l.planner.count(now, b.Counts)
	if l.machine.AllRanksOpen(now) != l.open {
		l.wake()
	}
	return reply, nil
}

// take takes one report in, and tells whether the rank's held experts are asked
// for. Reports of other groups are passed over. The lock is held.
func (l *lead) take(now time.Time, aged AgedReport, from netip.AddrPort) bool {
	r := aged.Report
	if r.State.Group != l.machine.Group() {
		return false
	}
	at := now.Add(-aged.Age)
	epoch := l.machine.Epoch()
	l.machine.HandleReport(at, r.State, r.Ballot)
	if l.machine.Epoch() != epoch {
		l.planner.restart(now, l.machine.Size())
		l.log.Info("group formed", "group", r.State.Group, "epoch", r.State.Epoch, "size", r.State.Size)
	}
	l.engines[r.State.Rank] = r.Engine
	l.at[r.State.Rank] = at
	l.via[r.State.Rank] = from
	if now.Sub(l.heardAt) > leadFor {
		l.looker.ReportsResumed(now)
	}
	l.heardAt = now
	if r.State.Epoch != l.machine.Epoch() {
		return false
	}
	if r.Held != nil && r.Held.Epoch == l.machine.Epoch() {
		l.planner.hold(r.State.Rank, *r.Held)
	}
	return l.planner.wants(r.State.Rank, r.State.Map)
}

// own returns the state of the agent's own engine.
func (a *Agent) own() btround.State {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state
}

// reportsToOther tells whether the agent takes another for the group's lead.
func (a *Agent) reportsToOther() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.reportsTo.IsValid() && a.reportsTo != a.options.Address
}

// run drives rounds until the context ends.
func (l *lead) run(ctx context.Context) {
	for ctx.Err() == nil {
		tick := l.step(ctx)
		timer := time.NewTimer(tick)
		select {
		case <-ctx.Done():
		case <-l.kick:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// step takes the steps that are due and returns when to look again.
func (l *lead) step(ctx context.Context) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.options.Clock()
	if l.machine == nil || now.Sub(l.heardAt) > leadFor {
		l.leading = false
		return idleTick
	}
	if !l.leading {
		l.leading = true
		l.log.Info("leads", "group", l.agent.own().Group, "epoch", l.machine.Epoch(), "ballot", l.machine.Ballot())
	}
	l.machine.SetDeferred(l.agent.reportsToOther())
	l.lookAtStale(ctx, now)
	if whole := l.machine.AllRanksOpen(now); whole != l.open {
		l.open = whole
		l.told = time.Time{}
	}
	l.tell(ctx, now)
	if l.machine.Phase() == btround.Idle {
		l.plan(now)
	}
	l.dispatch(ctx, l.machine.Poll(now))
	l.note()
	l.watch(now)
	if l.machine.Phase() == btround.Idle {
		return idleTick
	}
	return roundTick
}

// plan begins a round where a better map is worth its price.
func (l *lead) plan(now time.Time) {
	group, found := l.agent.directory.shape()
	version, one := l.machine.ActiveVersion()
	if !found || !one || !l.machine.AllRanksOpen(now) {
		return
	}
	plan, reason := l.planner.plan(now, group, l.paces(now), version, l.strain(now))
	if reason != "" {
		if now.Sub(l.planned) > time.Second {
			l.planned = now
			l.log.Info("map kept", "reason", reason, "version", version, "peak", plan.PeakBefore, "planned_peak", plan.PeakAfter, "loads", plan.Transfers, "strain", l.planner.strain)
		}
		return
	}
	holder := l.holder(now)
	next, begun := l.machine.Begin(now, btround.Proposal{Layers: plan.Map.Layers, Holder: holder, Nonce: rand.Uint32()})
	if !begun {
		return
	}
	l.planned = now
	l.planner.begun(version, next, plan)
	l.log.Info("map round begun", "version", next, "before", version, "epoch", l.machine.Epoch(), "peak", plan.PeakBefore, "planned_peak", plan.PeakAfter, "loads", plan.Transfers, "strain", l.planner.strain, "holder", holder, "ballot", l.machine.Ballot())
}

// holder chooses the rank that is to hold the group: the first after the own one
// whose agent is there to keep a record. Where none answers it is the own rank.
func (l *lead) holder(now time.Time) btexpert.Rank {
	own := l.machine.Self()
	size := l.machine.Size()
	if now.Before(l.unrecorded) {
		return own
	}
	for i := 1; i < size; i++ {
		r := btexpert.Rank((int(own) + i) % size)
		if now.Sub(l.at[r]) <= holderFresh {
			return r
		}
	}
	return own
}

// paces returns how slow each rank is.
func (l *lead) paces(now time.Time) []float64 {
	paces := make([]float64, l.machine.Size())
	for _, s := range l.machine.RecentStates(now) {
		paces[s.Rank] = s.Pace
	}
	return paces
}

// note logs how a round ended.
func (l *lead) note() {
	o := l.machine.Outcome()
	if o == nil {
		return
	}
	now := l.options.Clock()
	l.planner.ended(now, *o)
	if o.Reason == btround.NoRecord {
		l.unrecorded = now.Add(leadFor)
	}
	l.options.Meter.Counter("rounds." + string(o.Reason)).Inc(1)
	l.options.Meter.Duration("round_held_us", o.HeldFor)
	l.log.Info("map round ended", "version", o.Version, "switched", o.Switched, "adopted", o.TakenOver, "reason", o.Reason, "took_ms", o.Duration.Milliseconds(), "held_ms", o.HeldFor.Milliseconds())
}
