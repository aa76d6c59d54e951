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
	// idleInterval and roundInterval are the intervals at which the lead polls its state
	// machine, outside and within a round.
	idleInterval  = 100 * time.Millisecond
	roundInterval = 20 * time.Millisecond
	// commandTimeout bounds the wait for a command's answer, including the time that an
	// agent works on it.
	commandTimeout = workTimeout + 200*time.Millisecond
	// silenceTimeout is the time without reports after which an agent counts as silent,
	// and a lead that receives none stops leading. Agents report a few times a second.
	silenceTimeout = time.Second
	// recentReportAge is the maximum age of an agent's last report for the agent to be
	// asked to store a record or to send the load. Agents report a few times a second.
	recentReportAge = 500 * time.Millisecond
)

// lead drives the group's rounds if the other agents report to this one. It is safe for
// concurrent use.
type lead struct {
	options Options
	agent   *Agent
	calls   *btcall.Client
	log     *slog.Logger
	pollNow chan struct{}

	mu      sync.Mutex
	machine *btround.Lead
	planner *planner
	// engines holds each rank's engine address, reportedAt when its agent last reported,
	// and lastReportAt when any did.
	engines      map[btexpert.Rank]netip.AddrPort
	reportedAt   map[btexpert.Rank]time.Time
	lastReportAt time.Time
	directReader *btrelay.DirectReader
	// relays holds the sender of each rank's last report: its relay, or this agent if the
	// rank reported to it directly.
	relays map[btexpert.Rank]netip.AddrPort
	// wholeNeeded holds the ranks that lack the map that changes refer to, cachedVersions
	// the map of the last Prepare that each rank answered.
	wholeNeeded    map[btexpert.Rank]bool
	cachedVersions map[btexpert.Rank]btround.Version
	// sending holds the version whose Prepare is being sent to a rank.
	sending       map[btexpert.Rank]btround.Version
	remoteEngines map[netip.AddrPort]Engine
	leading       bool
	// stopping is set by a planned stop: no further round begins.
	stopping bool
	// open is whether all ranks were open at the last step. The load is sent to the
	// entries at once when it changes.
	open         bool
	planLoggedAt time.Time
	loadSentAt   time.Time
	// skippedUntil is the time until which a rank's agent isn't asked to send the load.
	skippedUntil map[btexpert.Rank]time.Time
	// latencyRatios holds the last latency ratio reported by each entry, or by each agent for the
	// entries that it sends the load to.
	latencyRatios map[netip.AddrPort]receivedLatencyRatio
	// holdSelfUntil is the time until which the group is held at the own rank, because
	// another rank's agent didn't store the record.
	holdSelfUntil time.Time
	// pauseWatch tracks pauses of the group; pauseLogged is set while a logged one lasts.
	pauseWatch  btround.PauseWatch
	pauseLogged bool
	// waitLoggedAt is when a long round was last logged.
	waitLoggedAt time.Time
}

func newLead(o Options, a *Agent, calls *btcall.Client) *lead {
	return &lead{
		options:        o,
		agent:          a,
		calls:          calls,
		log:            o.Log,
		pollNow:        make(chan struct{}, 1),
		planner:        newPlanner(),
		engines:        make(map[btexpert.Rank]netip.AddrPort),
		reportedAt:     make(map[btexpert.Rank]time.Time),
		relays:         make(map[btexpert.Rank]netip.AddrPort),
		wholeNeeded:    make(map[btexpert.Rank]bool),
		cachedVersions: make(map[btexpert.Rank]btround.Version),
		sending:        make(map[btexpert.Rank]btround.Version),
		skippedUntil:   make(map[btexpert.Rank]time.Time),
		directReader:   btrelay.NewDirectReader(),
		remoteEngines:  make(map[netip.AddrPort]Engine),
		latencyRatios:  make(map[netip.AddrPort]receivedLatencyRatio),
	}
}

// errOwnStateUnknown means that the agent hasn't read its own engine's state yet.
var errOwnStateUnknown = errors.New("own engine isn't known yet")

// handleBundle processes a relay's bundle. It returns errOwnStateUnknown until the own
// engine's state has been read.
func (l *lead) handleBundle(_ context.Context, b Bundle) (BundleReply, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.options.Clock()
	own := l.agent.ownState()
	if own.Size == 0 {
		return BundleReply{}, errOwnStateUnknown
	}
	if l.machine == nil || l.machine.Self() != own.Rank || l.machine.Group() != own.Group {
		l.machine = btround.NewLead(btround.Defaults(), own.Group, own.Rank, btround.Instance(rand.Uint32()), l.options.Assert)
	}
	var reply BundleReply
	for _, r := range b.Reports {
		if l.handleReport(now, r, b.From) {
			reply.WantHeld = append(reply.WantHeld, r.Report.State.Rank)
		}
	}
	l.planner.addCounts(now, b.Counts)
	if l.machine.AllRanksOpen(now) != l.open {
		l.wake()
	}
	return reply, nil
}

// handleReport processes one report, and reports whether the rank's held experts are
// needed. Reports of other groups are ignored. The lock must be held.
func (l *lead) handleReport(now time.Time, aged AgedReport, from netip.AddrPort) bool {
	r := aged.Report
	if r.State.Group != l.machine.Group() {
		return false
	}
	at := now.Add(-aged.Age)
	epoch := l.machine.Epoch()
	l.machine.HandleReport(at, r.State, r.Ballot)
	if l.machine.Epoch() != epoch {
		l.planner.reset(now, l.machine.Size())
		l.log.Info("group formed", "group", r.State.Group, "epoch", r.State.Epoch, "size", r.State.Size)
	}
	l.engines[r.State.Rank] = r.Engine
	l.reportedAt[r.State.Rank] = at
	l.relays[r.State.Rank] = from
	if now.Sub(l.lastReportAt) > silenceTimeout {
		l.directReader.ReportsResumed(now)
	}
	l.lastReportAt = now
	if r.State.Epoch != l.machine.Epoch() {
		return false
	}
	if r.Held != nil && r.Held.Epoch == l.machine.Epoch() {
		l.planner.setHeld(r.State.Rank, *r.Held)
	}
	return l.planner.needsHeld(r.State.Rank, r.State.Map)
}

// ownState returns the state of the agent's own engine.
func (a *Agent) ownState() btround.State {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state
}

// reportsToOther reports whether the agent has chosen another agent as the group's lead.
func (a *Agent) reportsToOther() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.chosenLead.IsValid() && a.chosenLead != a.options.Address
}

// run drives rounds until the context ends.
func (l *lead) run(ctx context.Context) {
	for ctx.Err() == nil {
		interval := l.step(ctx)
		timer := time.NewTimer(interval)
		select {
		case <-ctx.Done():
		case <-l.pollNow:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// step does what is due and returns the time until the next step.
func (l *lead) step(ctx context.Context) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.options.Clock()
	if l.machine == nil || now.Sub(l.lastReportAt) > silenceTimeout {
		l.leading = false
		return idleInterval
	}
	if !l.leading {
		l.leading = true
		l.log.Info("leads", "group", l.agent.ownState().Group, "epoch", l.machine.Epoch(), "ballot", l.machine.Ballot())
	}
	l.machine.SetDeferred(l.agent.reportsToOther())
	l.readSilentEngines(ctx, now)
	if open := l.machine.AllRanksOpen(now); open != l.open {
		l.open = open
		l.loadSentAt = time.Time{}
	}
	l.sendLoad(ctx, now)
	if l.machine.Phase() == btround.Idle && !l.stopping {
		l.plan(now)
	}
	l.dispatch(ctx, l.machine.Poll(now))
	l.handleOutcome()
	l.logDelays(now)
	if l.machine.Phase() == btround.Idle {
		return idleInterval
	}
	return roundInterval
}

// endRounds prevents further rounds, and reports whether none is in progress.
func (l *lead) endRounds() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopping = true
	return !l.leading || l.machine.Phase() == btround.Idle
}

// plan begins a round if a better map is worth its price.
func (l *lead) plan(now time.Time) {
	group, found := l.agent.directory.shape()
	version, consistent := l.machine.ActiveVersion()
	if !found || !consistent || !l.machine.AllRanksOpen(now) {
		return
	}
	plan, reason := l.planner.plan(now, group, l.paces(now), version, l.latencyRatio(now))
	if reason != "" {
		if now.Sub(l.planLoggedAt) > time.Second {
			l.planLoggedAt = now
			l.log.Info("map kept", "reason", reason, "version", version, "peak", plan.PeakBefore, "planned_peak", plan.PeakAfter, "loads", plan.Transfers, "strain", l.planner.latencyRatio)
		}
		return
	}
	holder := l.chooseHolder(now)
	next, begun := l.machine.Begin(now, btround.Proposal{Layers: plan.Map.Layers, Holder: holder, Nonce: rand.Uint32()})
	if !begun {
		return
	}
	l.planLoggedAt = now
	l.planner.roundBegun(version, next, plan)
	l.log.Info("map round begun", "version", next, "before", version, "epoch", l.machine.Epoch(), "peak", plan.PeakBefore, "planned_peak", plan.PeakAfter, "loads", plan.Transfers, "strain", l.planner.latencyRatio, "holder", holder, "ballot", l.machine.Ballot())
}

// chooseHolder returns the rank that is to hold the group: the first one after the own
// rank whose agent has recently reported and so can store a record, or else the own rank.
func (l *lead) chooseHolder(now time.Time) btexpert.Rank {
	own := l.machine.Self()
	size := l.machine.Size()
	if now.Before(l.holdSelfUntil) {
		return own
	}
	for i := 1; i < size; i++ {
		r := btexpert.Rank((int(own) + i) % size)
		if now.Sub(l.reportedAt[r]) <= recentReportAge {
			return r
		}
	}
	return own
}

// paces returns each rank's slowness, by rank.
func (l *lead) paces(now time.Time) []float64 {
	paces := make([]float64, l.machine.Size())
	for _, s := range l.machine.RecentStates(now) {
		paces[s.Rank] = s.Pace
	}
	return paces
}

// handleOutcome processes and logs the outcome of a round that has ended.
func (l *lead) handleOutcome() {
	o := l.machine.Outcome()
	if o == nil {
		return
	}
	now := l.options.Clock()
	l.planner.roundEnded(now, *o)
	if o.Reason == btround.NoRecord {
		l.holdSelfUntil = now.Add(silenceTimeout)
	}
	l.options.Meter.Counter("rounds." + string(o.Reason)).Inc(1)
	l.options.Meter.Duration("round_held_us", o.HeldFor)
	l.log.Info("map round ended", "version", o.Version, "switched", o.Switched, "adopted", o.TakenOver, "reason", o.Reason, "took_ms", o.Duration.Milliseconds(), "held_ms", o.HeldFor.Milliseconds())
}
