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
	"bilberrytide/core/btround"
	"bilberrytide/io/btcall"
	"bilberrytide/io/btdirect"
)

const (
	// idleTick and roundTick are how often the lead looks at the clock, without
	// and within a round.
	idleTick  = 100 * time.Millisecond
	roundTick = 20 * time.Millisecond
	// commandTime bounds a command's answer, beyond the time that an agent works
	// on it.
	commandTime = workTime + 200*time.Millisecond
	// lookEvery is how often the lead reads the state of an engine whose agent is
	// away; such a read costs the group a little.
	lookEvery = 500 * time.Millisecond
	// tellEvery is how often the lead tells entries of the group's load.
	tellEvery = 200 * time.Millisecond
	// leadFor is how long an agent leads after the last report of another: the
	// others report a few times a second.
	leadFor = time.Second
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
	looked  map[netip.AddrPort]time.Time
	// whole tells which ranks lack the map that changes refer to.
	whole   map[btexpert.Rank]bool
	remotes map[netip.AddrPort]Engine
	leading bool
	planned time.Time
	told    time.Time
}

func newLead(o Options, a *Agent, calls *btcall.Client) *lead {
	return &lead{
		options: o,
		agent:   a,
		calls:   calls,
		log:     o.Log,
		kick:    make(chan struct{}, 1),
		planner: newPlanner(),
		engines: make(map[btexpert.Rank]netip.AddrPort),
		at:      make(map[btexpert.Rank]time.Time),
		whole:   make(map[btexpert.Rank]bool),
		looked:  make(map[netip.AddrPort]time.Time),
		remotes: make(map[netip.AddrPort]Engine),
	}
}

// hear takes a member's report in.
func (l *lead) hear(_ context.Context, r Report) (Reply, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.options.Clock()
	if l.machine == nil {
		own := l.agent.own()
		if own.Size == 0 {
			return Reply{}, errors.New("own engine isn't known yet")
		}
		l.machine = btround.NewLead(btround.Defaults(), own.Rank, l.options.Assert)
	}
	epoch := l.machine.Epoch()
	l.machine.Report(now, r.State, r.Ballot)
	if l.machine.Epoch() != epoch {
		l.planner.restart(l.machine.Size())
		l.log.Info("group formed", "group", r.State.Group, "epoch", r.State.Epoch, "size", r.State.Size)
	}
	l.engines[r.State.Rank] = r.Engine
	l.at[r.State.Rank] = now
	l.heardAt = now
	if r.State.Epoch != l.machine.Epoch() {
		return Reply{}, nil
	}
	l.planner.count(now, r.Counts)
	if r.Held != nil && r.Held.Epoch == l.machine.Epoch() {
		l.planner.hold(r.State.Rank, *r.Held)
	}
	return Reply{WantHeld: l.planner.wants(r.State.Rank, r.State.Map)}, nil
}

// own returns the state of the agent's own engine.
func (a *Agent) own() btround.State {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state
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
	l.lookAtStale(ctx, now)
	l.tell(ctx, now)
	if l.machine.Phase() == btround.Idle {
		l.plan(now)
	}
	for _, c := range l.machine.Step(now) {
		go l.give(ctx, c, l.engines[c.Rank])
	}
	l.note()
	if l.machine.Phase() == btround.Idle {
		return idleTick
	}
	return roundTick
}

// tell tells the entries of the group's load.
func (l *lead) tell(ctx context.Context, now time.Time) {
	if now.Sub(l.told) < tellEvery {
		return
	}
	l.told = now
	load := btdirect.Load{Service: l.options.Settings.Service, Epoch: l.machine.Epoch(), Open: l.machine.Whole(now)}
	for _, s := range l.machine.States(now) {
		load.Ranks = append(load.Ranks, btdirect.TargetLoad{
			Address:  l.engines[s.Rank],
			Requests: s.Running + s.Waiting,
			Pace:     float32(s.Pace),
		})
	}
	for _, entry := range l.agent.directory.listeners() {
		go func() {
			bounded, cancel := context.WithTimeout(ctx, tellEvery)
			defer cancel()
			_, err := btcall.Call[btdirect.Done](bounded, l.calls, entry, btdirect.PathLoad, load)
			if err != nil {
				l.options.Meter.Counter("load_untold").Inc(1)
			}
		}()
	}
}

// plan begins a round where a better map is worth its price.
func (l *lead) plan(now time.Time) {
	group, found := l.agent.directory.shape()
	version, one := l.machine.InForce()
	if !found || !one || !l.machine.Whole(now) {
		return
	}
	plan, reason := l.planner.plan(now, group, l.paces(now), version)
	if reason != "" {
		if now.Sub(l.planned) > time.Second {
			l.planned = now
			l.log.Info("map kept", "reason", reason, "version", version, "peak", plan.Before, "planned_peak", plan.After, "loads", plan.Loads)
		}
		return
	}
	next, begun := l.machine.Begin(now, plan.Map.Layers, rand.Uint32())
	if !begun {
		return
	}
	l.planned = now
	l.planner.begun(version, next, plan)
	l.log.Info("map round begun", "version", next, "before", version, "epoch", l.machine.Epoch(), "peak", plan.Before, "planned_peak", plan.After, "loads", plan.Loads, "ballot", l.machine.Ballot())
}

// paces returns how slow each rank is.
func (l *lead) paces(now time.Time) []float64 {
	paces := make([]float64, l.machine.Size())
	for _, s := range l.machine.States(now) {
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
	l.planner.ended(l.options.Clock(), *o)
	l.options.Meter.Counter("rounds." + string(o.Reason)).Inc(1)
	l.options.Meter.Duration("round_held_us", o.Held)
	l.log.Info("map round ended", "version", o.Version, "switched", o.Switched, "adopted", o.Adopted, "reason", o.Reason, "took_ms", o.Took.Milliseconds(), "held_ms", o.Held.Milliseconds())
}

// give gives a command to a rank's agent, or to the engine where the agent
// can't be reached.
func (l *lead) give(ctx context.Context, c btround.Command, engine netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, commandTime)
	defer cancel()
	var result btround.Result
	var err error
	switch {
	case engine == l.options.Settings.Engine:
		result, err = l.agent.command(ctx, c)
	case !engine.IsValid():
		return
	case l.away(c.Rank):
		result = carryOut(ctx, l.remote(engine), c)
	default:
		to := agentOf(engine, l.options.Address.Port())
		result, err = btcall.Call[btround.Result](ctx, l.calls, to, pathCommand, l.instruction(c))
		l.fullNext(c, err)
		if errors.Is(err, btcall.ErrNotReached) {
			l.log.Info("engine ordered directly", "engine", engine, "kind", c.Kind, "error", err)
			result = carryOut(ctx, l.remote(engine), c)
			err = nil
		}
	}
	if err != nil {
		l.log.Info("command unanswered", "engine", engine, "kind", c.Kind, "round", c.Round, "error", err)
		return
	}
	if result.State.Validate() != nil {
		return
	}
	l.mu.Lock()
	l.machine.Result(l.options.Clock(), result)
	l.mu.Unlock()
	select {
	case l.kick <- struct{}{}:
	default:
	}
}

// instruction returns a command as it travels to its rank.
func (l *lead) instruction(c btround.Command) Instruction {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.planner.instruction(c, l.whole[c.Rank])
}

// fullNext notes whether the rank is to be sent the whole map next time.
func (l *lead) fullNext(c btround.Command, err error) {
	if c.Kind != btround.Prepare {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.whole[c.Rank] = errors.Is(err, btcall.ErrStatus)
}

// away tells whether a rank's agent hasn't reported of late.
func (l *lead) away(r btexpert.Rank) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.options.Clock().Sub(l.at[r]) > leadFor
}

// lookAtStale reads the states of engines whose agents are away. An agent that
// has only just begun to lead doesn't know their ranks, so it goes by the list.
func (l *lead) lookAtStale(ctx context.Context, now time.Time) {
	if len(l.machine.Stale(now)) == 0 {
		return
	}
	heard := make(map[netip.AddrPort]bool, len(l.engines))
	for r, engine := range l.engines {
		heard[engine] = now.Sub(l.at[r]) <= lookEvery
	}
	for _, engine := range l.agent.directory.engines() {
		if heard[engine] || now.Sub(l.looked[engine]) < lookEvery {
			continue
		}
		l.looked[engine] = now
		go l.look(ctx, engine)
	}
}

// look reads one engine's state from afar.
func (l *lead) look(ctx context.Context, engine netip.AddrPort) {
	remote := l.remote(engine)
	s, err := report(ctx, remote)
	if err != nil {
		l.options.Meter.Counter("remote_reports_failed").Inc(1)
		return
	}
	if l.takeRemote(engine, s) {
		l.holdRemote(ctx, remote, s.Rank)
	}
}

// takeRemote takes the state of an engine in whose agent is away, and tells
// whether it isn't known what the rank holds.
func (l *lead) takeRemote(engine netip.AddrPort, s btround.State) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.machine.Report(l.options.Clock(), s, 0)
	if s.Epoch != l.machine.Epoch() {
		return false
	}
	l.engines[s.Rank] = engine
	return l.planner.wants(s.Rank, s.Map)
}

// holdRemote reads what a rank holds from its engine.
func (l *lead) holdRemote(ctx context.Context, remote Engine, r btexpert.Rank) {
	ctx, cancel := context.WithTimeout(ctx, reportTime)
	defer cancel()
	h, err := remote.Held(ctx)
	if err != nil {
		l.options.Meter.Counter("remote_reports_failed").Inc(1)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if h.Epoch == l.machine.Epoch() {
		l.planner.hold(r, h)
	}
}

// remote returns a client of another host's engine.
func (l *lead) remote(engine netip.AddrPort) Engine {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, found := l.remotes[engine]
	if !found {
		e = l.options.Remote(engine)
		l.remotes[engine] = e
	}
	return e
}
