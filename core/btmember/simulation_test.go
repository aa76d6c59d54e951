package btmember_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"bilberrytide/core/btassert"
	"bilberrytide/core/btbundle"
	"bilberrytide/core/btid"
	"bilberrytide/core/btmember"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// view is implemented by Membership and its naive variants.
type view interface {
	Step(now time.Time, event btmember.Event) []btmember.Effect
	Admit(now time.Time, target btid.Target) (btid.Executor, bool)
}

// agentIncarnation is the actual state of one incarnation of an agent.
type agentIncarnation struct {
	incarnation btid.Incarnation
	state       btmember.State
	sequence    uint64
	dead        bool
	// leftAt is when it died or began to drain.
	leftAt time.Time
}

type agent struct {
	location     btmember.TargetLocation
	offset       time.Duration
	incarnations []*agentIncarnation
}

func (a *agent) current() *agentIncarnation { return a.incarnations[len(a.incarnations)-1] }

type node struct {
	location    btmember.EntryLocation
	view        view
	relay       *btmember.Relay
	pausedUntil time.Time
	// inbox holds received messages that aren't processed yet.
	inbox []func()
	// revoked is the targets that the platform withdrew: hosts leaving and targets
	// removed from the bundle.
	revoked map[btid.Target]bool
}

type packet struct {
	at      time.Time
	deliver func()
}

// simulation simulates agents, entries and the network between them.
type simulation struct {
	random   *rand.Rand
	now      time.Time
	settings btmember.Settings
	faults   bool
	// restamp selects the naive relay, which gives each summary the present time at
	// each hop.
	restamp bool
	plan    *btmember.Topology
	agents  []*agent
	nodes   []*node
	network []packet
	version btid.BundleVersion
	// violations lists wrong admissions; admitted counts all admissions.
	violations []string
	admitted   int
	// staleAdmissions counts admissions to an incarnation that had left.
	staleAdmissions int
}

func newSimulation(seed uint64, fanOut btmember.FanOut, centres, entries, targets int, naive func(btmember.Settings) view) *simulation {
	f := &simulation{random: rand.New(rand.NewPCG(seed, 2)), now: start, settings: btmember.DefaultSettings(), faults: true}
	if fanOut.Watchers < centres*entries {
		f.settings.Lease = 6 * time.Second
	}
	var entryLocations []btmember.EntryLocation
	var targetLocations []btmember.TargetLocation
	for c := range centres {
		centre := btid.DataCentre(fmt.Sprintf("dc%d", c))
		for e := range entries {
			entryLocations = append(entryLocations, btmember.EntryLocation{Entry: btid.Entry(fmt.Sprintf("entry-%d-%d", c, e)), DataCentre: centre})
		}
		for i := range targets {
			name := fmt.Sprintf("target-%d-%d", c, i)
			p := btmember.TargetLocation{Target: btid.Target(name), Host: btid.Host("host-" + name), DataCentre: centre}
			targetLocations = append(targetLocations, p)
			offset := time.Duration(f.random.Int64N(int64(f.settings.ClockError))) - f.settings.ClockError/2
			f.agents = append(f.agents, &agent{location: p, offset: offset})
		}
	}
	for _, a := range f.agents {
		f.startAgent(a)
	}
	f.plan = btmember.NewTopology(fanOut, entryLocations, targetLocations)
	for _, p := range entryLocations {
		n := &node{location: p, revoked: map[btid.Target]bool{}}
		f.nodes = append(f.nodes, n)
		if naive != nil {
			n.view = naive(f.settings)
			continue
		}
		m := btmember.New(f.settings, btassert.New(btassert.Panic()))
		n.view = m
		n.relay = btmember.NewRelay(btmember.DefaultRelaySettings(), p.Entry, 1, m)
		n.relay.Step(f.now, btmember.LinksUpdated{Links: f.plan.Links(p)})
	}
	f.publish(nil)
	return f
}

// startAgent starts the next incarnation of an agent.
func (f *simulation) startAgent(a *agent) {
	a.incarnations = append(a.incarnations, &agentIncarnation{incarnation: btid.Incarnation(f.now.UnixNano()) + btid.Incarnation(len(a.incarnations)), state: btmember.Serving})
}

// publish sends every entry a bundle that lists all targets but one.
func (f *simulation) publish(without *agent) {
	f.version++
	b := btmember.Bundle{Version: f.version, Digest: btbundle.Digest{1}}
	for _, a := range f.agents {
		if a != without {
			b.Targets = append(b.Targets, a.location)
		}
	}
	for _, n := range f.nodes {
		n.inbox = append(n.inbox, func() {
			f.apply(n, b)
			for _, a := range f.agents {
				n.revoked[a.location.Target] = a == without
			}
		})
	}
}

// send delivers a message to a node with loss, delay, repetition and reordering.
func (f *simulation) send(n *node, deliver func()) {
	copies := 1
	if f.faults {
		switch f.random.IntN(10) {
		case 0, 1:
			copies = 0
		case 2:
			copies = 2
		}
	}
	for range copies {
		delay := time.Duration(f.random.IntN(150)) * time.Millisecond
		if f.faults && f.random.IntN(15) == 0 {
			delay = time.Duration(f.random.IntN(60)) * time.Second
		}
		f.network = append(f.network, packet{at: f.now.Add(delay), deliver: func() { n.inbox = append(n.inbox, deliver) }})
	}
}

// run advances the simulation in steps of 100 ms.
func (f *simulation) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(100 * time.Millisecond)
		if f.faults {
			f.injectFault()
		}
		if f.now.Sub(start)%time.Second == 0 {
			for _, a := range f.agents {
				f.heartbeat(a)
			}
		}
		f.deliverDue()
		for _, n := range f.nodes {
			f.runEntry(n)
		}
	}
}

func (f *simulation) deliverDue() {
	var pending []packet
	for _, l := range f.network {
		if l.at.After(f.now) {
			pending = append(pending, l)
			continue
		}
		l.deliver()
	}
	f.network = pending
}

func (f *simulation) heartbeat(a *agent) {
	l := a.current()
	if l.dead {
		return
	}
	l.sequence++
	h := btmember.Heartbeat{
		Target: a.location.Target, Incarnation: l.incarnation, Sequence: l.sequence,
		SentAt: f.now.Add(a.offset), State: l.state, BundleVersion: f.version, BundleDigest: btbundle.Digest{1},
	}
	watchers := f.plan.Watchers(a.location)
	for _, n := range f.nodes {
		if slices.Contains(watchers, n.location.Entry) {
			f.send(n, func() { f.apply(n, btmember.HeartbeatReceived{Heartbeat: h}) })
		}
	}
}

func (f *simulation) apply(n *node, event btmember.Event) {
	for _, effect := range n.view.Step(f.now, event) {
		if e, ok := effect.(btmember.RequestReset); ok {
			ask := btmember.SummaryAsk{From: n.location.Entry, Origin: e.Origin}
			peer := f.node(e.To)
			f.send(peer, func() { peer.relay.Step(f.now, btmember.ResetRequested{Request: ask}) })
		}
	}
}

func (f *simulation) node(name btid.Entry) *node {
	at := slices.IndexFunc(f.nodes, func(n *node) bool { return n.location.Entry == name })
	return f.nodes[at]
}

// runEntry lets an entry process its inbox, relay and admit work, unless it is
// paused.
func (f *simulation) runEntry(n *node) {
	if n.pausedUntil.After(f.now) {
		return
	}
	for _, read := range n.inbox {
		read()
	}
	n.inbox = nil
	if f.now.Sub(start)%(500*time.Millisecond) == 0 {
		f.apply(n, btmember.Tick{})
	}
	if n.relay != nil {
		for _, effect := range n.relay.Step(f.now, btmember.RelayTick{}) {
			s := effect.(btmember.SendSummary)
			if f.restamp {
				s.Summary.AsOf = f.now
			}
			peer := f.node(s.To)
			f.send(peer, func() { f.apply(peer, btmember.SummaryReceived{Summary: s.Summary}) })
		}
	}
	for _, a := range f.agents {
		f.admit(n, a)
	}
}

// admit asks the entry whether the target may be given work and checks the answer
// against the actual state.
func (f *simulation) admit(n *node, a *agent) {
	e, ok := n.view.Admit(f.now, a.location.Target)
	if !ok {
		return
	}
	f.admitted++
	bound := f.settings.Lease + 2*f.settings.ClockError
	for _, l := range a.incarnations {
		if l.incarnation == e.Incarnation && !l.leftAt.IsZero() && f.now.Sub(l.leftAt) > bound {
			f.staleAdmissions++
			f.violations = append(f.violations, fmt.Sprintf("%s at %s, %s after it left", e, n.location.Entry, f.now.Sub(l.leftAt)))
		}
	}
	if n.revoked[a.location.Target] {
		f.violations = append(f.violations, fmt.Sprintf("%s at %s after the platform revoked it", e, n.location.Entry))
	}
}

// injectFault injects a random fault in one of ten steps.
func (f *simulation) injectFault() {
	if f.random.IntN(10) != 0 {
		return
	}
	a := f.agents[f.random.IntN(len(f.agents))]
	l := a.current()
	switch f.random.IntN(8) {
	case 0, 1:
		if l.leftAt.IsZero() {
			l.leftAt = f.now
		}
		l.dead = true
	case 2, 3:
		if l.leftAt.IsZero() {
			l.leftAt = f.now
			l.state = btmember.Draining
		}
	case 4:
		if !l.leftAt.IsZero() {
			l.dead = true
			f.startAgent(a)
		}
	case 5:
		n := f.nodes[f.random.IntN(len(f.nodes))]
		n.pausedUntil = f.now.Add(time.Duration(f.random.IntN(20)) * time.Second)
	case 6:
		f.publish(f.agents[f.random.IntN(len(f.agents))])
	case 7:
		f.publishHostStatus(a, f.random.IntN(2) == 0)
	}
}

func (f *simulation) publishHostStatus(a *agent, leaving bool) {
	update := btmember.HostList{Hosts: []btmember.HostStatus{{Host: a.location.Host, Leaving: leaving}}}
	for _, n := range f.nodes {
		n.inbox = append(n.inbox, func() { f.apply(n, update) })
	}
}
