package btswitch_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"bilberrytide/core/btassert"
	"bilberrytide/core/btbundle"
	"bilberrytide/core/btid"
	"bilberrytide/core/btswitch"
)

const stepTime = 5 * time.Millisecond

// simOptions sets one run.
type simOptions struct {
	seed   uint64
	ranks  int
	spares int
	kind   engineKind
	// lateMost bounds how late a message or an order in flight may arrive.
	lateMost time.Duration
	// rates of faults, as shares of messages and calls.
	loss, repeat, late, lateCall float64
	settle                       time.Duration
	// stateInAnswer has engines tell their state when an order is done.
	stateInAnswer bool
	// stageTimeout is a second where it is zero.
	stageTimeout time.Duration
	// loadTime is the longest that an engine loads a map.
	loadTime time.Duration
	// drift is the longest time between two proposals.
	drift time.Duration
	// pace is the longest time between two faults.
	pace time.Duration
	// killAtOrder is the share of orders that outlive their agent: it is killed
	// with the order in flight, which arrives late.
	killAtOrder float64
	// orphanDelay is added to orders whose agent died before they arrived.
	orphanDelay time.Duration
	// killAtSend is the share of messages at which their sender is killed.
	killAtSend float64
	// wrongView is the share of views that take another agent for the lead.
	wrongView float64
	// stepsOnly looks at the steps taken alone, not at the program's assertions.
	stepsOnly bool
	// onlyKills leaves out all other faults than the death of agents.
	onlyKills bool
	// noTwins: a replaced agent is never left running beside its successor.
	noTwins bool
	variant func(*btswitch.Lead, *btswitch.Member)
	// onSend sees each message before it is sent.
	onSend func(s *sim, from *agent, to btid.Target, m btswitch.Message)
}

// timed is one thing to happen.
type timed struct {
	at  time.Time
	run func()
}

// sim is a group with its agents and engines on a network with faults.
type sim struct {
	o      simOptions
	random *rand.Rand
	now    time.Time
	start  time.Time
	// events is ordered by time, the next one last.
	events  []timed
	targets []btid.Target
	hosts   map[btid.Target]*host
	members btswitch.Members
	cut     map[btid.Target]bool
	faulty  bool

	violation string
	steps     int
	lastStep  time.Time
	longest   time.Duration
	decided   []btswitch.RoundResult
	needed    int
	maps      int
	lives     uint64
}

// host is one target's slot: its engine, and the agent beside it.
type host struct {
	target btid.Target
	engine *engine
	agent  *agent
	twins  []*agent
}

// agent is one life of the process beside an engine.
type agent struct {
	s      *sim
	host   *host
	self   btid.Executor
	member *btswitch.Member
	lead   *btswitch.Lead
	dead   bool
	paused bool
	inbox  []func()
}

func newSim(o simOptions) *sim {
	s := &sim{
		o:      o,
		random: rand.New(rand.NewPCG(o.seed, 7)),
		now:    time.Unix(1_000_000, 0),
		hosts:  make(map[btid.Target]*host),
		cut:    make(map[btid.Target]bool),
	}
	s.start = s.now
	for i := range o.ranks + o.spares {
		t := btid.Target(fmt.Sprintf("t%02d", i))
		s.targets = append(s.targets, t)
		s.hosts[t] = &host{target: t, engine: newEngine(o.kind)}
	}
	s.members = s.membership(1, s.targets[:o.ranks])
	for _, t := range s.targets {
		s.launch(s.hosts[t])
	}
	s.after(0, s.everyTick)
	s.after(0, s.everyView)
	return s
}

func (s *sim) membership(version btid.BundleVersion, ranks []btid.Target) btswitch.Members {
	m, err := btswitch.NewMembers(version, btbundle.Group{Name: "g", Ranks: ranks, Barrier: s.o.kind.barrier})
	if err != nil {
		panic(err)
	}
	return m
}

func (s *sim) after(d time.Duration, run func()) {
	at := s.now.Add(d)
	i, _ := slices.BinarySearchFunc(s.events, at, func(e timed, at time.Time) int {
		return cmp.Or(at.Compare(e.at), 1)
	})
	s.events = slices.Insert(s.events, i, timed{at: at, run: run})
}

// run lets the time pass, or ends early at a violation.
func (s *sim) run(d time.Duration) {
	end := s.now.Add(d)
	for s.violation == "" && len(s.events) > 0 {
		next := s.events[len(s.events)-1]
		if next.at.After(end) {
			break
		}
		s.events = s.events[:len(s.events)-1]
		s.now = next.at
		next.run()
	}
	s.now = end
}

func (s *sim) settings() btswitch.Settings {
	set := btswitch.Defaults()
	set.TickInterval = 100 * time.Millisecond
	set.StageTimeout = cmp.Or(s.o.stageTimeout, time.Second)
	set.PrepareTimeout = time.Second
	set.HoldTimeout = 700 * time.Millisecond
	set.FinishTimeout = time.Second
	set.OrderTimeout = 400 * time.Millisecond
	set.MeanBackoff = 200 * time.Millisecond
	set.RetryInterval = 100 * time.Millisecond
	set.IdleTimeout = 500 * time.Millisecond
	set.SettleDelay = s.o.settle
	return set
}

// launch starts a new life of a host's agent.
func (s *sim) launch(h *host) {
	s.lives++
	self := btid.Executor{Target: h.target, Incarnation: btid.Incarnation(s.now.UnixNano()) + btid.Incarnation(s.lives)}
	asserter := btassert.New(btassert.SinkFunc(func(v btassert.Violation) {
		if !s.o.stepsOnly {
			s.violated(v.Error())
		}
	}))
	a := &agent{s: s, host: h, self: self}
	a.member = btswitch.NewMember(self, s.members, s.settings(), nil, asserter)
	a.lead = btswitch.NewLead(self, s.members, s.settings(), nil, rand.New(rand.NewPCG(s.o.seed, uint64(self.Incarnation))), asserter)
	if s.o.variant != nil {
		s.o.variant(a.lead, a.member)
	}
	h.agent = a
}

func (s *sim) violated(what string) {
	if s.violation == "" {
		s.violation = fmt.Sprintf("after %v: %s", s.now.Sub(s.start), what)
	}
}

func (s *sim) everyTick() {
	for _, t := range s.targets {
		h := s.hosts[t]
		for _, a := range append(h.twins[:len(h.twins):len(h.twins)], h.agent) {
			if a != nil && !a.paused {
				a.do(func() { a.memberStep(btswitch.Tick{}); a.leadStep(btswitch.Tick{}) })
			}
		}
	}
	s.step()
	s.after(100*time.Millisecond, s.everyTick)
}

// everyView gives each agent its view of the bundle and of the elected lead,
// which may be wrong while there are faults.
func (s *sim) everyView() {
	for _, t := range s.targets {
		a := s.hosts[t].agent
		if a == nil || s.faulty && s.random.Float64() < 0.5 {
			continue
		}
		elected := s.lowestLive()
		if s.faulty && s.random.Float64() < s.o.wrongView {
			elected = t
		}
		members := s.members
		a.do(func() {
			a.memberStep(btswitch.Configured{Members: members})
			a.leadStep(btswitch.Configured{Members: members})
			a.memberStep(btswitch.Elected{Lead: elected})
			a.leadStep(btswitch.Elected{Lead: elected})
		})
	}
	s.after(500*time.Millisecond, s.everyView)
}

func (s *sim) lowestLive() btid.Target {
	for _, t := range s.members.Ranks {
		if a := s.hosts[t].agent; a != nil && !a.paused {
			return t
		}
	}
	return ""
}

// do runs the function in the agent's process: never after its death, and only
// once it wakes while it is paused.
func (a *agent) do(run func()) {
	switch {
	case a.dead:
	case a.paused:
		a.inbox = append(a.inbox, run)
	default:
		run()
	}
}

func (a *agent) wake() {
	a.paused = false
	inbox := a.inbox
	a.inbox = nil
	for _, run := range inbox {
		a.do(run)
	}
}

func (a *agent) memberStep(event btswitch.MemberEvent) {
	for _, effect := range a.member.Step(a.s.now, event) {
		switch e := effect.(type) {
		case btswitch.Send:
			a.s.send(a, e)
		case btswitch.Order:
			a.s.order(a, e)
		case btswitch.Read:
			a.s.read(a, e)
		}
	}
}

func (a *agent) leadStep(event btswitch.LeadEvent) {
	for _, effect := range a.lead.Step(a.s.now, event) {
		switch e := effect.(type) {
		case btswitch.Send:
			a.s.send(a, e)
		case btswitch.RoundResult:
			a.s.decided = append(a.s.decided, e)
		case btswitch.MapNeeded:
			a.s.needed++
		}
	}
}

// step lets the group step as often as engines change: each set of ranks that
// is ready to step together does, and must have one map.
func (s *sim) step() {
	for _, t := range s.targets {
		ranks := s.hosts[t].engine.ready()
		if len(ranks) > 0 && ranks[0] == t && s.ready(ranks) {
			s.takeStep(ranks)
		}
	}
}

func (s *sim) ready(ranks []btid.Target) bool {
	members := s.hosts[ranks[0]].engine.state.InForce.Members
	for _, t := range ranks {
		e := s.hosts[t].engine
		if len(e.ready()) == 0 || e.state.InForce.Members != members {
			return false
		}
	}
	return true
}

func (s *sim) takeStep(ranks []btid.Target) {
	first := s.hosts[ranks[0]].engine.state.InForce
	for _, t := range ranks {
		e := s.hosts[t].engine
		e.state.Step++
		if e.state.InForce.Map != first.Map {
			s.violated(fmt.Sprintf("step_single_map: %s steps on %.8s, %s on %.8s", ranks[0], first.Map, t, e.state.InForce.Map))
		}
	}
	s.steps++
	if s.steps > 1 {
		s.longest = max(s.longest, s.now.Sub(s.lastStep))
	}
	s.lastStep = s.now
}

// propose hands a new map to the agent that the run regards as lead.
func (s *sim) propose(to btid.Target) btbundle.Digest {
	s.maps++
	encoded := fmt.Appendf(nil, "map %d", s.maps)
	if a := s.hosts[to].agent; a != nil {
		a.do(func() { a.leadStep(btswitch.Propose{Map: encoded, Cause: "drift"}) })
	}
	return btbundle.DigestOf(encoded)
}
