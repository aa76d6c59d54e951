package btgroup

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"bilberrytide/core/btassert"
	"bilberrytide/core/btbundle"
	"bilberrytide/core/btexpert"
	"bilberrytide/core/btid"
	"bilberrytide/core/btnotice"
	"bilberrytide/core/btswitch"
	"bilberrytide/io/btloop"
	"bilberrytide/io/btmetric"
	"bilberrytide/io/btpeer"
	"bilberrytide/io/btprocess"
	"bilberrytide/io/bttarget"
)

// Options are a Group's dependencies.
type Options struct {
	Self      btid.Executor
	Node      *btpeer.Node
	Meter     *btmetric.Meter
	Decisions *btmetric.Decisions
	Log       *slog.Logger
	Clock     btloop.Clock
	Assert    *btassert.Asserter
	// OnNotice is called for each answer of the engine that announces something; it may be
	// nil.
	OnNotice func(status int, n btnotice.Notice)
	// Random is used by the Group alone.
	Random *rand.Rand
	// Store probes the weight store; if it is nil, the store counts as available.
	Store Store
	// Switch and Expert are the settings of the state machines; a zero value means the
	// defaults.
	Switch btswitch.Settings
	Expert btexpert.Settings
}

// Group is one agent's side of the agreement on its group's expert map. It is safe for
// concurrent use.
type Group struct {
	options    Options
	shapes     shapes
	sampler    sampler
	rebalancer *rebalancer
	started    chan struct{}
	// ctx ends with Run. All calls use it.
	ctx    context.Context
	cancel context.CancelFunc

	mutex      sync.Mutex
	config     *rankConfig
	liveness   *liveness
	leadAnswer ReportAnswer
	answeredAt time.Time
	// pending holds the ranks that have not answered a report yet.
	pending map[btid.Target]bool

	// The loops are set before started is closed and don't change afterwards.
	member     *btloop.Loop[btswitch.MemberEvent, btswitch.MemberEffect]
	memberCore *btswitch.Member
	lead       *btloop.Loop[btswitch.LeadEvent, btswitch.LeadEffect]
}

// rankConfig describes the target's rank and its group in the bundle in force.
type rankConfig struct {
	approved  *btbundle.Approved
	members   btswitch.Members
	group     btbundle.Group
	shape     btexpert.Shape
	placement btbundle.Placement
	rank      int
	endpoint  string
	engine    Engine
}

// New returns a Group whose target is in no group yet, and sets the node's handlers.
func New(o Options) *Group {
	if o.Switch == (btswitch.Settings{}) {
		o.Switch = btswitch.Defaults()
	}
	if o.Expert == (btexpert.Settings{}) {
		o.Expert = btexpert.DefaultSettings()
	}
	g := &Group{options: o, started: make(chan struct{}), pending: make(map[btid.Target]bool)}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	g.rebalancer = &rebalancer{group: g}
	o.Node.Handle(btprocess.KindSwitch, g.handleSwitch)
	o.Node.Handle(btprocess.KindRank, btpeer.Answer(g.handleReport))
	return g
}

// Configure applies a bundle. If the target's group in it is invalid, the previous
// configuration stays in force and the error is logged.
func (g *Group) Configure(approved *btbundle.Approved) {
	next, err := rankConfigOf(approved, g.options)
	if err != nil {
		g.options.Log.Error("the bundle's group is invalid; the previous configuration stays in force", "error", err)
		return
	}
	if next == nil {
		g.leave()
		return
	}
	g.shapes.add(next.members.Digest, next.shape)
	g.mutex.Lock()
	g.setConfig(next)
	first := g.member == nil
	if first {
		g.buildCores(next)
	}
	g.mutex.Unlock()
	if first {
		close(g.started)
		return
	}
	g.member.Post(btswitch.Configured{Members: next.members})
	g.lead.Post(btswitch.Configured{Members: next.members})
}

// rankConfigOf returns the rank of the target in a bundle, nil if it is in no group.
func rankConfigOf(approved *btbundle.Approved, o Options) (*rankConfig, error) {
	target, found := approved.Index.Target(o.Self.Target)
	if !found {
		return nil, nil
	}
	rank, found := approved.Index.RankOf(o.Self.Target)
	if !found {
		return nil, nil
	}
	members, err := btswitch.NewMembers(approved.Bundle.Version, *rank.Group)
	if err != nil {
		return nil, err
	}
	shape, err := btexpert.ShapeOf(*rank.Group)
	if err != nil {
		return nil, err
	}
	return &rankConfig{
		approved:  approved,
		members:   members,
		group:     *rank.Group,
		shape:     shape,
		placement: approved.Bundle.Placement,
		rank:      rank.Number,
		endpoint:  target.Endpoint.String(),
		engine:    bttarget.New(bttarget.Options{Endpoint: target.Endpoint, OnNotice: o.OnNotice, Log: o.Log}),
	}, nil
}

// setConfig puts a configuration in force. The mutex must be held.
func (g *Group) setConfig(next *rankConfig) {
	previous := g.config
	g.config = next
	if previous != nil && previous.endpoint == next.endpoint {
		next.engine = previous.engine
	}
	if previous == nil || previous.members.Digest != next.members.Digest {
		g.liveness = newLiveness(g.options.Clock(), next.rank, len(next.members.Ranks), next.lease())
	}
	g.liveness.lease = next.lease()
}

// leave removes the target from its group. The engine keeps its map. Rounds of the
// former group are refused, because its members differ.
func (g *Group) leave() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.config = nil
}

// buildCores creates the state machines when the target first is in a group.
func (g *Group) buildCores(first *rankConfig) {
	o := g.options
	// The planner accepts transfers of up to the horizon, so staging may take that long.
	o.Switch.StageTimeout = max(o.Switch.StageTimeout, first.placement.Horizon.Duration)
	g.memberCore = btswitch.NewMember(o.Self, first.members, o.Switch, g.shapes.check, o.Assert)
	g.member = btloop.New(g.memberCore, o.Clock, g.applyMember)
	lead := btswitch.NewLead(o.Self, first.members, o.Switch, g.shapes.check, o.Random, o.Assert)
	g.lead = btloop.New(lead, o.Clock, g.applyLead)
}

// lease is how long a rank counts as live after its last message.
func (c *rankConfig) lease() time.Duration { return c.approved.Bundle.Timeouts.TargetLease.Duration }

func (c *rankConfig) heartbeat() time.Duration { return c.approved.Bundle.Timeouts.Heartbeat.Duration }

const (
	// windowsPerInterval is the number of windows that a rank sends in each interval at
	// which the lead considers the map.
	windowsPerInterval = 4
	// countSize is the encoded size, in bytes, of one expert's count in a window.
	countSize = 17
	// maxWindowRate limits the windows that a lead receives, in bytes per second.
	maxWindowRate = 4 << 10
)

// windowInterval is the time between two reports with a window. It is longer in a large
// group, so that the lead's traffic stays bounded.
func (c *rankConfig) windowInterval() time.Duration {
	bytes := c.shape.Ranks * c.shape.Layers * c.shape.Slots * countSize
	bounded := time.Duration(bytes) * time.Second / maxWindowRate
	return max(c.heartbeat(), c.placement.Interval.Duration/windowsPerInterval, bounded)
}

// current returns the configuration in force, nil if the target is in no group.
func (g *Group) current() *rankConfig {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.config
}

// isLead reports whether this agent considers itself the lead of its group.
func (g *Group) isLead() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.config != nil && g.liveness.lead(g.options.Clock()) == g.config.rank
}

// Run runs the agreement until the context ends. It waits for the first bundle that
// lists the target in a group.
func (g *Group) Run(ctx context.Context) error {
	defer context.AfterFunc(ctx, g.cancel)()
	defer g.cancel()
	select {
	case <-g.started:
	case <-ctx.Done():
		return nil
	}
	tick := g.options.Switch.TickInterval
	var running errgroup.Group
	running.Go(func() error {
		g.member.Every(ctx, tick, func() btswitch.MemberEvent { return btswitch.Tick{} })
		return nil
	})
	running.Go(func() error {
		g.lead.Every(ctx, tick, func() btswitch.LeadEvent { return btswitch.Tick{} })
		return nil
	})
	running.Go(func() error { g.sendReports(ctx); return nil })
	running.Go(func() error { g.rebalancer.run(ctx); return nil })
	return running.Wait()
}

// releaseCheckInterval is how often AwaitRelease checks the engine's state.
const releaseCheckInterval = 50 * time.Millisecond

// AwaitRelease waits until no round holds this rank's engine, or until the context
// ends. A process that stopped earlier would leave its group held.
func (g *Group) AwaitRelease(ctx context.Context) {
	select {
	case <-g.started:
	default:
		return
	}
	t := time.NewTicker(releaseCheckInterval)
	defer t.Stop()
	for g.current() != nil && g.engineState().Held {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// MultiRank reports whether the target is one of several ranks that compute each
// step together.
func (g *Group) MultiRank() bool {
	c := g.current()
	return c != nil && len(c.group.Ranks) > 1
}

func (g *Group) engineState() btswitch.EngineState {
	var state btswitch.EngineState
	g.member.Inspect(func(time.Time) { state, _ = g.memberCore.LastEngineState() })
	return state
}

// RankLoad returns what routing uses of this rank: its expert work relative to the
// mean rank's, and the time of a step. Both are zero if unknown; the expert load is
// zero also if it is out of date.
func (g *Group) RankLoad() (expertLoad float64, step time.Duration) {
	state, known := g.sampler.state()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.config == nil || !known {
		return 0, 0
	}
	return g.recentAnswer().ExpertLoad, stepTime(state)
}

// recentAnswer returns the lead's last answer, or the zero value if it is out of date.
// The mutex must be held.
func (g *Group) recentAnswer() ReportAnswer {
	if g.options.Clock().Sub(g.answeredAt) > maxAnswerLeases*g.config.lease() {
		return ReportAnswer{}
	}
	return g.leadAnswer
}

// maxAnswerLeases is the number of leases for which the lead's answer stays valid.
const maxAnswerLeases = 3

// Status returns the group's part of the status page, false if the target is in no
// group.
func (g *Group) Status() (btprocess.GroupStatus, bool) {
	c := g.current()
	if c == nil {
		return btprocess.GroupStatus{}, false
	}
	state := g.engineState()
	leads := g.isLead()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	s := btprocess.GroupStatus{
		Group: c.group.Name,
		Rank:  c.rank,
		Step:  state.Step,
		Held:  state.Held,
		Leads: leads,
		Skew:  g.recentAnswer().Skew,
	}
	if !state.InForce.IsZero() {
		s.Map = state.InForce.Map.String()
	}
	return s, true
}
