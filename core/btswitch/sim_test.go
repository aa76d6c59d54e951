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

// simOptions configures one run.
type simOptions struct {
	seed   uint64
	ranks  int
	spares int
	kind   engineKind
	// maxDelay bounds the delay of a message or an order in flight.
	maxDelay time.Duration
	// Shares of messages and calls that are hit by a fault.
	lossRate, duplicateRate, delayRate, callDelayRate float64
	settleDelay                                       time.Duration
	// stateInAnswer makes engines return their state when an order is done.
	stateInAnswer bool
	// stageTimeout is one second if zero.
	stageTimeout time.Duration
	// maxLoadTime is the longest time that an engine takes to load a map.
	maxLoadTime time.Duration
	// maxProposalGap is the longest time between two proposals.
	maxProposalGap time.Duration
	// maxFaultGap is the longest time between two faults.
	maxFaultGap time.Duration
	// orderKillRate is the share of orders that outlive their agent: it is killed
	// with the order in flight, which arrives late.
	orderKillRate float64
	// orphanDelay is added to orders whose agent died before they arrived.
	orphanDelay time.Duration
	// sendKillRate is the share of messages whose sender is killed on sending.
	sendKillRate float64
	// wrongLeadRate is the share of agents' views that name a wrong lead.
	wrongLeadRate float64
	// ignoreAssertions checks only the steps taken, not the assertions of the code.
	ignoreAssertions bool
	// agentKillsOnly limits the faults of injectFault to kills of agents.
	agentKillsOnly bool
	// noOverlap: a replaced agent never continues beside its successor.
	noOverlap bool
	variant   func(*btswitch.Lead, *btswitch.Member)
	// onSend is called with each message before it is sent.
	onSend func(s *sim, from *agent, to btid.Target, m btswitch.Message)
}

// simEvent is a function to run at a simulated time.
type simEvent struct {
	at  time.Time
	run func()
}

// sim simulates a group's agents and engines on a network with faults.
type sim struct {
	o      simOptions
	random *rand.Rand
	now    time.Time
	start  time.Time
	// events is sorted by descending time.
	events      []simEvent
	targets     []btid.Target
	hosts       map[btid.Target]*host
	members     btswitch.Members
	partitioned map[btid.Target]bool
	faulty      bool

	violation    string
	steps        int
	lastStepAt   time.Time
	longestStall time.Duration
	results      []btswitch.RoundResult
	mapRequests  int
	proposals    int
	incarnations uint64
}

// host runs a target's engine and the agent beside it.
type host struct {
	target   btid.Target
	engine   *engine
	agent    *agent
	replaced []*agent
}

// agent is one incarnation of the agent process beside an engine.
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
		o:           o,
		random:      rand.New(rand.NewPCG(o.seed, 7)),
		now:         time.Unix(1_000_000, 0),
		hosts:       make(map[btid.Target]*host),
		partitioned: make(map[btid.Target]bool),
	}
	s.start = s.now
	for i := range o.ranks + o.spares {
		t := btid.Target(fmt.Sprintf("t%02d", i))
		s.targets = append(s.targets, t)
		s.hosts[t] = &host{target: t, engine: newEngine(o.kind)}
	}
	s.members = s.membership(1, s.targets[:o.ranks])
	for _, t := range s.targets {
		s.startAgent(s.hosts[t])
	}
	s.schedule(0, s.tickAgents)
	s.schedule(0, s.updateViews)
	return s
}

func (s *sim) membership(version btid.BundleVersion, ranks []btid.Target) btswitch.Members {
	m, err := btswitch.NewMembers(version, btbundle.Group{Name: "g", Ranks: ranks, Barrier: s.o.kind.barrier})
	if err != nil {
		panic(err)
	}
	return m
}

func (s *sim) schedule(d time.Duration, run func()) {
	at := s.now.Add(d)
	i, _ := slices.BinarySearchFunc(s.events, at, func(e simEvent, at time.Time) int {
		return cmp.Or(at.Compare(e.at), 1)
	})
	s.events = slices.Insert(s.events, i, simEvent{at: at, run: run})
}

// run simulates the given time, or less if an invariant is violated.
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
	set.SettleDelay = s.o.settleDelay
	return set
}

// startAgent starts a new incarnation of a host's agent.
func (s *sim) startAgent(h *host) {
	s.incarnations++
	self := btid.Executor{Target: h.target, Incarnation: btid.Incarnation(s.now.UnixNano()) + btid.Incarnation(s.incarnations)}
	asserter := btassert.New(btassert.SinkFunc(func(v btassert.Violation) {
		if !s.o.ignoreAssertions {
			s.recordViolation(v.Error())
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

func (s *sim) recordViolation(what string) {
	if s.violation == "" {
		s.violation = fmt.Sprintf("after %v: %s", s.now.Sub(s.start), what)
	}
}

func (s *sim) tickAgents() {
	for _, t := range s.targets {
		h := s.hosts[t]
		for _, a := range append(h.replaced[:len(h.replaced):len(h.replaced)], h.agent) {
			if a != nil && !a.paused {
				a.do(func() { a.memberStep(btswitch.Tick{}); a.leadStep(btswitch.Tick{}) })
			}
		}
	}
	s.step()
	s.schedule(100*time.Millisecond, s.tickAgents)
}

// updateViews gives each agent its view of the bundle and of the elected lead. During
// faults, half of the updates are skipped and the lead may be wrong.
func (s *sim) updateViews() {
	for _, t := range s.targets {
		a := s.hosts[t].agent
		if a == nil || s.faulty && s.random.Float64() < 0.5 {
			continue
		}
		elected := s.lowestLive()
		if s.faulty && s.random.Float64() < s.o.wrongLeadRate {
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
	s.schedule(500*time.Millisecond, s.updateViews)
}

func (s *sim) lowestLive() btid.Target {
	for _, t := range s.members.Ranks {
		if a := s.hosts[t].agent; a != nil && !a.paused {
			return t
		}
	}
	return ""
}

// do runs the function in the agent's process: never after its death and, while it is
// paused, only once it resumes.
func (a *agent) do(run func()) {
	switch {
	case a.dead:
	case a.paused:
		a.inbox = append(a.inbox, run)
	default:
		run()
	}
}

func (a *agent) resume() {
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
			a.s.sendOrder(a, e)
		case btswitch.Read:
			a.s.readEngine(a, e)
		}
	}
}

func (a *agent) leadStep(event btswitch.LeadEvent) {
	for _, effect := range a.lead.Step(a.s.now, event) {
		switch e := effect.(type) {
		case btswitch.Send:
			a.s.send(a, e)
		case btswitch.RoundResult:
			a.s.results = append(a.s.results, e)
		case btswitch.MapNeeded:
			a.s.mapRequests++
		}
	}
}

// step steps each set of ranks that is ready to step together. It is called whenever
// an engine's state may have changed.
func (s *sim) step() {
	for _, t := range s.targets {
		ranks := s.hosts[t].engine.ready()
		if len(ranks) > 0 && ranks[0] == t && s.allReady(ranks) {
			s.takeStep(ranks)
		}
	}
}

func (s *sim) allReady(ranks []btid.Target) bool {
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
			s.recordViolation(fmt.Sprintf("step_single_map: %s steps on %.8s, %s on %.8s", ranks[0], first.Map, t, e.state.InForce.Map))
		}
	}
	s.steps++
	if s.steps > 1 {
		s.longestStall = max(s.longestStall, s.now.Sub(s.lastStepAt))
	}
	s.lastStepAt = s.now
}

// propose passes a new map to the lead of the target's agent and returns its digest.
func (s *sim) propose(to btid.Target) btbundle.Digest {
	s.proposals++
	encoded := fmt.Appendf(nil, "map %d", s.proposals)
	if a := s.hosts[to].agent; a != nil {
		a.do(func() { a.leadStep(btswitch.Propose{Map: encoded, Cause: "drift"}) })
	}
	return btbundle.DigestOf(encoded)
}
