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

// view is what both the machine and its naive variants do.
type view interface {
	Step(now time.Time, event btmember.Event) []btmember.Effect
	Admit(now time.Time, target btid.Target) (btid.Executor, bool)
}

// life is the truth about one incarnation of an agent.
type life struct {
	incarnation btid.Incarnation
	state       btmember.State
	sequence    uint64
	dead        bool
	// left is when it died or began to drain.
	left time.Time
}

type agent struct {
	place  btmember.TargetLocation
	offset time.Duration
	lives  []*life
}

func (a *agent) current() *life { return a.lives[len(a.lives)-1] }

type node struct {
	place  btmember.EntryLocation
	view   view
	relay  *btmember.Relay
	paused time.Time
	// inbox is what arrived and is not read yet.
	inbox []func()
	// told is what the platform told: hosts leaving and targets removed.
	told map[btid.Target]bool
}

type letter struct {
	at      time.Time
	deliver func()
}

// fleet is a small stand-in for processes and the network between them.
type fleet struct {
	random   *rand.Rand
	now      time.Time
	settings btmember.Settings
	faults   bool
	// restamp is the naive relay: each hop calls what it knows fresh.
	restamp bool
	plan    *btmember.Topology
	agents  []*agent
	nodes   []*node
	network []letter
	version btid.BundleVersion
	// wrong lists admissions that the truth forbids, admitted counts all.
	wrong    []string
	admitted int
	// revived counts admissions to a life that had left.
	revived int
}

func newFleet(seed uint64, fanOut btmember.FanOut, centres, entries, targets int, naive func(btmember.Settings) view) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 2)), now: start, settings: btmember.DefaultSettings(), faults: true}
	if fanOut.Watchers < centres*entries {
		f.settings.Lease = 6 * time.Second
	}
	var places []btmember.EntryLocation
	var targetPlaces []btmember.TargetLocation
	for c := range centres {
		centre := btid.DataCentre(fmt.Sprintf("dc%d", c))
		for e := range entries {
			places = append(places, btmember.EntryLocation{Entry: btid.Entry(fmt.Sprintf("entry-%d-%d", c, e)), DataCentre: centre})
		}
		for i := range targets {
			name := fmt.Sprintf("target-%d-%d", c, i)
			p := btmember.TargetLocation{Target: btid.Target(name), Host: btid.Host("host-" + name), DataCentre: centre}
			targetPlaces = append(targetPlaces, p)
			offset := time.Duration(f.random.Int64N(int64(f.settings.ClockError))) - f.settings.ClockError/2
			f.agents = append(f.agents, &agent{place: p, offset: offset})
		}
	}
	for _, a := range f.agents {
		f.boot(a)
	}
	f.plan = btmember.NewTopology(fanOut, places, targetPlaces)
	for _, p := range places {
		n := &node{place: p, told: map[btid.Target]bool{}}
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

// boot starts the next life of an agent.
func (f *fleet) boot(a *agent) {
	a.lives = append(a.lives, &life{incarnation: btid.Incarnation(f.now.UnixNano()) + btid.Incarnation(len(a.lives)), state: btmember.Serving})
}

// publish puts a bundle in force everywhere that lists all targets but one.
func (f *fleet) publish(without *agent) {
	f.version++
	b := btmember.Bundle{Version: f.version, Digest: btbundle.Digest{1}}
	for _, a := range f.agents {
		if a != without {
			b.Targets = append(b.Targets, a.place)
		}
	}
	for _, n := range f.nodes {
		n.inbox = append(n.inbox, func() {
			f.apply(n, b)
			for _, a := range f.agents {
				n.told[a.place.Target] = a == without
			}
		})
	}
}

// post sends something with loss, delay, repetition and reordering.
func (f *fleet) post(n *node, deliver func()) {
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
		f.network = append(f.network, letter{at: f.now.Add(delay), deliver: func() { n.inbox = append(n.inbox, deliver) }})
	}
}

// run passes time in steps of a tenth of a second.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(100 * time.Millisecond)
		if f.faults {
			f.fail()
		}
		if f.now.Sub(start)%time.Second == 0 {
			for _, a := range f.agents {
				f.heartbeat(a)
			}
		}
		f.carry()
		for _, n := range f.nodes {
			f.work(n)
		}
	}
}

func (f *fleet) carry() {
	var later []letter
	for _, l := range f.network {
		if l.at.After(f.now) {
			later = append(later, l)
			continue
		}
		l.deliver()
	}
	f.network = later
}

func (f *fleet) heartbeat(a *agent) {
	l := a.current()
	if l.dead {
		return
	}
	l.sequence++
	h := btmember.Heartbeat{
		Target: a.place.Target, Incarnation: l.incarnation, Sequence: l.sequence,
		SentAt: f.now.Add(a.offset), State: l.state, BundleVersion: f.version, BundleDigest: btbundle.Digest{1},
	}
	watchers := f.plan.Watchers(a.place)
	for _, n := range f.nodes {
		if slices.Contains(watchers, n.place.Entry) {
			f.post(n, func() { f.apply(n, btmember.HeartbeatReceived{Heartbeat: h}) })
		}
	}
}

func (f *fleet) apply(n *node, event btmember.Event) {
	for _, effect := range n.view.Step(f.now, event) {
		if e, ok := effect.(btmember.RequestReset); ok {
			ask := btmember.SummaryAsk{From: n.place.Entry, Origin: e.Origin}
			peer := f.node(e.To)
			f.post(peer, func() { peer.relay.Step(f.now, btmember.ResetRequested{Request: ask}) })
		}
	}
}

func (f *fleet) node(name btid.Entry) *node {
	at := slices.IndexFunc(f.nodes, func(n *node) bool { return n.place.Entry == name })
	return f.nodes[at]
}

// work lets an entry read, decide and relay, unless it is paused.
func (f *fleet) work(n *node) {
	if n.paused.After(f.now) {
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
			f.post(peer, func() { f.apply(peer, btmember.SummaryReceived{Summary: s.Summary}) })
		}
	}
	for _, a := range f.agents {
		f.admit(n, a)
	}
}

// admit sends work where the entry may, and compares with the truth.
func (f *fleet) admit(n *node, a *agent) {
	e, ok := n.view.Admit(f.now, a.place.Target)
	if !ok {
		return
	}
	f.admitted++
	bound := f.settings.Lease + 2*f.settings.ClockError
	for _, l := range a.lives {
		if l.incarnation == e.Incarnation && !l.left.IsZero() && f.now.Sub(l.left) > bound {
			f.revived++
			f.wrong = append(f.wrong, fmt.Sprintf("%s at %s, %s after it left", e, n.place.Entry, f.now.Sub(l.left)))
		}
	}
	if n.told[a.place.Target] {
		f.wrong = append(f.wrong, fmt.Sprintf("%s at %s after the platform's word", e, n.place.Entry))
	}
}

// fail brings about a fault now and then.
func (f *fleet) fail() {
	if f.random.IntN(10) != 0 {
		return
	}
	a := f.agents[f.random.IntN(len(f.agents))]
	l := a.current()
	switch f.random.IntN(8) {
	case 0, 1:
		if l.left.IsZero() {
			l.left = f.now
		}
		l.dead = true
	case 2, 3:
		if l.left.IsZero() {
			l.left = f.now
			l.state = btmember.Draining
		}
	case 4:
		if !l.left.IsZero() {
			l.dead = true
			f.boot(a)
		}
	case 5:
		n := f.nodes[f.random.IntN(len(f.nodes))]
		n.paused = f.now.Add(time.Duration(f.random.IntN(20)) * time.Second)
	case 6:
		f.publish(f.agents[f.random.IntN(len(f.agents))])
	case 7:
		f.hostWord(a, f.random.IntN(2) == 0)
	}
}

func (f *fleet) hostWord(a *agent, leaving bool) {
	word := btmember.HostList{Hosts: []btmember.HostStatus{{Host: a.place.Host, Leaving: leaving}}}
	for _, n := range f.nodes {
		n.inbox = append(n.inbox, func() { f.apply(n, word) })
	}
}
