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
	// Random is used by the Group alone.
	Random *rand.Rand
	// Store tells whether the weight store answers; nil where that isn't known.
	Store Store
	// Switch and Expert bound the cores; the zero values mean their defaults.
	Switch btswitch.Settings
	Expert btexpert.Settings
}

// Group is one agent's part in its target's group. It is safe for concurrent
// use.
type Group struct {
	options    Options
	shapes     shapes
	sampler    sampler
	rebalancer *rebalancer
	started    chan struct{}
	// ctx ends with Run; it governs every call.
	ctx    context.Context
	cancel context.CancelFunc

	mutex  sync.Mutex
	place  *place
	view   *view
	answer ReportAnswer
	heard  time.Time
	// asking holds the ranks whose answer to a report is awaited.
	asking map[btid.Target]bool

	// The loops are set before started is closed, and then stay.
	member     *btloop.Loop[btswitch.MemberEvent, btswitch.MemberEffect]
	memberCore *btswitch.Member
	lead       *btloop.Loop[btswitch.LeadEvent, btswitch.LeadEffect]
}

// place is the target's place in its group, by the bundle in force.
type place struct {
	approved  *btbundle.Approved
	members   btswitch.Members
	group     btbundle.Group
	shape     btexpert.Shape
	placement btbundle.Placement
	rank      int
	endpoint  string
	engine    Engine
}

// New returns the part of an agent that is in no group yet, and sets the node's
// handlers.
func New(o Options) *Group {
	if o.Switch == (btswitch.Settings{}) {
		o.Switch = btswitch.Defaults()
	}
	if o.Expert == (btexpert.Settings{}) {
		o.Expert = btexpert.DefaultSettings()
	}
	g := &Group{options: o, started: make(chan struct{}), asking: make(map[btid.Target]bool)}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	g.rebalancer = &rebalancer{group: g}
	o.Node.Handle(btprocess.KindSwitch, g.serveSwitch)
	o.Node.Handle(btprocess.KindRank, btpeer.Answer(g.answerReport))
	return g
}

// Configure takes the target's place in its group from the bundle in force. A
// group that the bundle shapes so that it can't be served keeps its place of
// before, and the log says why.
func (g *Group) Configure(approved *btbundle.Approved) {
	next, err := placeOf(approved, g.options.Self.Target)
	if err != nil {
		g.options.Log.Error("the bundle's group can not be served; the place before stays", "error", err)
		return
	}
	if next == nil {
		g.leave()
		return
	}
	g.shapes.add(next.members.Digest, next.shape)
	g.mutex.Lock()
	g.settle(next)
	first := g.member == nil
	if first {
		g.build(next)
	}
	g.mutex.Unlock()
	if first {
		close(g.started)
		return
	}
	g.member.Post(btswitch.Configured{Members: next.members})
	g.lead.Post(btswitch.Configured{Members: next.members})
}

// placeOf returns the target's place by a bundle, nil where it is in no group.
func placeOf(approved *btbundle.Approved, self btid.Target) (*place, error) {
	target, found := approved.Index.Target(self)
	if !found {
		return nil, nil
	}
	rank, found := approved.Index.RankOf(self)
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
	return &place{
		approved:  approved,
		members:   members,
		group:     *rank.Group,
		shape:     shape,
		placement: approved.Bundle.Placement,
		rank:      rank.Number,
		endpoint:  target.Endpoint.String(),
		engine:    bttarget.New(bttarget.Options{Endpoint: target.Endpoint}),
	}, nil
}

// settle puts the place in force. The mutex must be held.
func (g *Group) settle(next *place) {
	before := g.place
	g.place = next
	if before != nil && before.endpoint == next.endpoint {
		next.engine = before.engine
	}
	if before == nil || before.members.Digest != next.members.Digest {
		g.view = newView(g.options.Clock(), next.rank, len(next.members.Ranks), next.lease())
	}
	g.view.lease = next.lease()
}

// leave takes the target out of its group. The engine keeps its map; its former
// group's rounds are refused, as its members differ.
func (g *Group) leave() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.place = nil
}

// build makes the cores of the first group.
func (g *Group) build(first *place) {
	o := g.options
	// Weights that the planner thinks worth loading must be given the time.
	o.Switch.StageTimeout = max(o.Switch.StageTimeout, first.placement.Horizon.Duration)
	g.memberCore = btswitch.NewMember(o.Self, first.members, o.Switch, g.shapes.check, o.Assert)
	g.member = btloop.New(g.memberCore, o.Clock, g.applyMember)
	lead := btswitch.NewLead(o.Self, first.members, o.Switch, g.shapes.check, o.Random, o.Assert)
	g.lead = btloop.New(lead, o.Clock, g.applyLead)
}

// lease is how long a silent rank is taken for live.
func (p *place) lease() time.Duration { return p.approved.Bundle.Timeouts.TargetLease.Duration }

func (p *place) heartbeat() time.Duration { return p.approved.Bundle.Timeouts.Heartbeat.Duration }

const (
	// windowsInInterval is how many times a rank measures in each interval at
	// which the lead considers the map.
	windowsInInterval = 4
	// countBytes is the encoded size of one expert's count in a window.
	countBytes = 17
	// windowRate bounds what a lead gets in windows, in bytes per second.
	windowRate = 4 << 10
)

// window is the time between two reports that carry measurements. In a large
// group it is longer, so that the lead's traffic stays bounded.
func (p *place) window() time.Duration {
	bytes := p.shape.Ranks * p.shape.Layers * p.shape.Slots * countBytes
	bounded := time.Duration(bytes) * time.Second / windowRate
	return max(p.heartbeat(), p.placement.Interval.Duration/windowsInInterval, bounded)
}

// current returns the place in force, nil for none.
func (g *Group) current() *place {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.place
}

// leads tells whether this agent takes itself for the lead of its group.
func (g *Group) leads() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.place != nil && g.view.lead(g.options.Clock()) == g.place.rank
}

// Run works until the context ends. It waits for the first bundle that places
// the target in a group.
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
	running.Go(func() error { g.beat(ctx); return nil })
	running.Go(func() error { g.rebalancer.run(ctx); return nil })
	return running.Wait()
}

// settleTick is how often AwaitRelease checks the engine's state.
const settleTick = 50 * time.Millisecond

// AwaitRelease waits until no round holds this rank's engine, or until the context
// ends. A process that stopped earlier would leave its group held.
func (g *Group) AwaitRelease(ctx context.Context) {
	select {
	case <-g.started:
	default:
		return
	}
	t := time.NewTicker(settleTick)
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
	p := g.current()
	return p != nil && len(p.group.Ranks) > 1
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
	if g.place == nil || !known {
		return 0, 0
	}
	return g.fresh().ExpertLoad, stepTime(state)
}

// fresh returns the lead's last answer, unless it is old. The mutex must be held.
func (g *Group) fresh() ReportAnswer {
	if g.options.Clock().Sub(g.heard) > answerLeases*g.place.lease() {
		return ReportAnswer{}
	}
	return g.answer
}

// answerLeases is for how many leases the lead's answer counts.
const answerLeases = 3

// Status returns what operators see, false where the target is in no group.
func (g *Group) Status() (btprocess.GroupStatus, bool) {
	p := g.current()
	if p == nil {
		return btprocess.GroupStatus{}, false
	}
	state := g.engineState()
	leads := g.leads()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	s := btprocess.GroupStatus{
		Group: p.group.Name,
		Rank:  p.rank,
		Step:  state.Step,
		Held:  state.Held,
		Leads: leads,
		Skew:  g.fresh().Skew,
	}
	if !state.InForce.IsZero() {
		s.Map = state.InForce.Map.String()
	}
	return s, true
}
