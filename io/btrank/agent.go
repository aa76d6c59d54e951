package btrank

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"bilberrytide/core/btassert"
	"bilberrytide/core/btrelay"
	"bilberrytide/core/btround"
	"bilberrytide/io/btcall"
	"bilberrytide/io/btdirect"
	"bilberrytide/io/btloop"
	"bilberrytide/io/btmetric"
)

// Options are an agent's dependencies.
type Options struct {
	Settings btdirect.Settings
	// Engine is the engine on this host; Remote returns a client of another.
	Engine  Engine
	Remote  func(netip.AddrPort) Engine
	Meter   *btmetric.Meter
	Log     *slog.Logger
	Clock   btloop.Clock
	Assert  *btassert.Asserter
	Address netip.AddrPort
	// Listen listens at an address of this host.
	Listen func(netip.AddrPort) (net.Listener, error)
}

const (
	// expectEvery is the pace at which the state is read once a rank is armed, and
	// expectTime for how long: a few steps.
	expectEvery = 30 * time.Millisecond
	expectTime  = 300 * time.Millisecond
	// formingEvery is the pace at which the state is read while the group is broken.
	// It costs nothing on the engine's own host, and callers wait for the group.
	formingEvery = 40 * time.Millisecond
	// answerTime bounds the answer to a report or a bundle; a relay or lead that
	// takes longer has missed it.
	answerTime = 300 * time.Millisecond
)

// Agent is the process beside an engine.
type Agent struct {
	options   Options
	log       *slog.Logger
	calls     *btcall.Client
	directory *directory
	lead      *lead
	relay     *relay
	// reader tells this process's readings of the engine's state from those of
	// others, readings counts them.
	reader   uint64
	readings atomic.Uint64
	// kick has the state read at once.
	kick chan struct{}

	mu    sync.Mutex
	state btround.State
	// readAt is when the state was read; zero while the engine is away.
	readAt time.Time
	// acceptor is the agent's part in agreeing who leads.
	acceptor btround.Acceptor
	counts   counter
	// expected is the version that the rank was armed for.
	expected      btround.Version
	expectedUntil time.Time
	// toldAt is when the state was told, toldOpen whether the group was open then.
	toldAt   time.Time
	toldOpen bool
	// countedAt is when the counts were told.
	countedAt time.Time
	// maps are the maps that instructions may refer to, by version.
	maps *btround.MapCache
	// wantHeld is the lead's wish for the experts that the rank holds.
	wantHeld bool
	// tree chooses the relay and the lead.
	tree *btrelay.Tree
	// reportsTo is the lead that the tree named last.
	reportsTo netip.AddrPort
	// follows is who answered the last report, handsOnTo who answered the last
	// bundle.
	follows, handsOnTo netip.AddrPort
}

// New returns an agent.
func New(o Options) *Agent {
	calls := btcall.NewClient()
	observer, remote := newObserver(o), o.Remote
	o.Engine = observedEngine{Engine: o.Engine, observer: observer}
	o.Remote = func(at netip.AddrPort) Engine { return observedEngine{Engine: remote(at), observer: observer} }
	a := &Agent{
		options: o,
		log:     o.Log,
		calls:   calls,
		reader:  rand.Uint64(),
		kick:    make(chan struct{}, 1),
		maps:    btround.NewMapCache(),
		tree:    btrelay.New(o.Address),
	}
	a.directory = newDirectory(o, calls)
	a.lead = newLead(o, a, calls)
	a.relay = newRelay(a)
	return a
}

// Reload puts changed settings in force: the seeds.
func (a *Agent) Reload(s btdirect.Settings) { a.directory.reseed(s.Seeds) }

// Run works until the context ends.
func (a *Agent) Run(ctx context.Context) error {
	listener, err := a.options.Listen(a.options.Address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle("POST "+pathReport, btcall.Handle(a.relay.hear))
	mux.Handle("POST "+pathBundle, btcall.Handle(a.lead.hear))
	mux.Handle("POST "+pathCommand, btcall.Handle(a.instruct))
	mux.Handle("POST "+pathBatch, btcall.Handle(a.relay.carry))
	mux.Handle("POST "+pathTell, btcall.Handle(a.relay.tell))
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return btcall.Serve(ctx, listener, mux) })
	group.Go(func() error { a.directory.run(ctx); return nil })
	group.Go(func() error { a.reports(ctx); return nil })
	group.Go(func() error { a.relay.run(ctx); return nil })
	group.Go(func() error { a.lead.run(ctx); return nil })
	return group.Wait()
}

// reports reads and reports the engine's state until the context ends. Agents
// begin at different moments, so that the lead's work is spread.
func (a *Agent) reports(ctx context.Context) {
	pause(ctx, time.Duration(rand.Int64N(int64(btrelay.ReportInterval(1)))))
	for ctx.Err() == nil {
		began := a.options.Clock()
		if a.read(ctx) && a.worthTelling() {
			a.report(ctx)
		}
		a.wait(ctx, a.interval()-a.options.Clock().Sub(began))
	}
}

// expect has the engine's state read at a fast pace until the version is in
// force, so that the lead learns of it at once.
func (a *Agent) expect(v btround.Version) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expected = v
	a.expectedUntil = a.options.Clock().Add(expectTime)
	select {
	case a.kick <- struct{}{}:
	default:
	}
}

// expecting tells whether a version is expected to come into force. The lock is
// held.
func (a *Agent) expecting(now time.Time) bool {
	return a.expected != 0 && a.state.Map != a.expected && now.Before(a.expectedUntil)
}

// interval returns the time between two reports.
func (a *Agent) interval() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.expecting(a.options.Clock()) {
		return expectEvery
	}
	if !a.state.Open {
		return formingEvery
	}
	return btrelay.ReportInterval(a.tree.BlockSize())
}

// worthTelling tells whether the lead should hear the state now: while a version
// is expected, it hears once it is in force; while the group is broken, at the usual
// pace and once it is open.
func (a *Agent) worthTelling() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.options.Clock()
	if a.expecting(now) {
		return false
	}
	if a.state.Open == a.toldOpen && now.Sub(a.toldAt) < btrelay.ReportInterval(a.tree.BlockSize())-formingEvery {
		return false
	}
	a.toldAt = now
	a.toldOpen = a.state.Open
	return true
}

// wait waits until the next report is due.
func (a *Agent) wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-a.kick:
	case <-t.C:
	}
}

// countsDue tells whether the counts are to be told. The lock is held.
func (a *Agent) countsDue(now time.Time) bool {
	return now.Sub(a.countedAt) >= btrelay.CountsInterval(a.tree.BlockSize(), len(a.counts.latest))
}

// read reads the own engine's state and counts.
func (a *Agent) read(ctx context.Context) bool {
	reading := a.readings.Add(1)
	s, err := report(ctx, a.options.Engine)
	s.Reader = a.reader
	s.ReadCount = reading
	if err != nil {
		a.lost(err)
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.readAt.IsZero() {
		a.log.Info("dependency regained", "dependency", "engine", "rank", s.Rank, "group", s.Group, "epoch", s.Epoch, "open", s.Open)
	} else if s.Open != a.state.Open || s.Epoch != a.state.Epoch {
		a.log.Info("group changed", "group", s.Group, "rank", s.Rank, "epoch", s.Epoch, "open", s.Open, "step", s.Step)
	}
	if s.Start != a.state.Start && a.state.Start != 0 {
		a.log.Warn("engine started anew", "rank", s.Rank, "group", s.Group, "epoch", s.Epoch, "start", s.Start, "before", a.state.Start)
	}
	a.state = s
	a.readAt = a.options.Clock()
	return true
}

// count reads the own engine's counts, and returns what is to be told of them
// where that is due.
func (a *Agent) count(ctx context.Context) *Sample {
	ctx, cancel := context.WithTimeout(ctx, reportTime)
	defer cancel()
	counts, err := a.options.Engine.Counts(ctx)
	if err != nil {
		a.log.Info("counts not read", "engine", a.options.Settings.Engine, "error", err)
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.counts.take(counts)
	now := a.options.Clock()
	if !a.countsDue(now) {
		return nil
	}
	a.countedAt = now
	return a.counts.sample()
}

// lost notes that the engine doesn't answer.
func (a *Agent) lost(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.readAt.IsZero() {
		a.readAt = time.Time{}
		a.log.Warn("dependency lost", "dependency", "engine", "error", err)
	}
}

// report tells the relay.
func (a *Agent) report(ctx context.Context) {
	way := a.way()
	if !way.known {
		return
	}
	counts := a.count(ctx)
	r, wanted := a.message()
	r.Counts = counts
	if wanted {
		r.Held = a.held(ctx)
	}
	var reply Reply
	var err error
	if way.relay == a.options.Address {
		reply, err = a.relay.hear(ctx, r)
	} else {
		bounded, cancel := context.WithTimeout(ctx, answerTime)
		defer cancel()
		reply, err = btcall.Call[Reply](bounded, a.calls, way.relay, pathReport, r)
	}
	a.answered(way, reply, err)
}

// message returns the report and whether the held experts belong into it.
func (a *Agent) message() (Report, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := Report{
		Engine: a.options.Settings.Engine,
		State:  a.state,
		Ballot: a.acceptor.Promised(),
	}
	return r, a.wantHeld
}

// held reads the experts that the rank holds; nil where it can't.
func (a *Agent) held(ctx context.Context) *Held {
	ctx, cancel := context.WithTimeout(ctx, reportTime)
	defer cancel()
	h, err := a.options.Engine.Held(ctx)
	if err != nil {
		a.log.Info("held experts not read", "error", err)
		return nil
	}
	return &h
}

// way is how the agent reaches the lead of its group.
type way struct {
	relay, lead netip.AddrPort
	// members is how many agents the group has, blocks how many relays.
	members, blocks int
	// known tells that an entry has told of the group.
	known bool
}

// way returns how the agent reaches the lead now.
func (a *Agent) way() way {
	agents := a.directory.agents(a.own().Group)
	now := a.options.Clock()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tree.SetMembers(agents)
	var w way
	w.lead, w.known = a.tree.Lead(now)
	a.reportsTo = w.lead
	w.relay, _ = a.tree.Relay(now)
	w.members = len(agents)
	w.blocks = a.tree.Blocks()
	return w
}

// answered notes whether the relay has answered.
func (a *Agent) answered(w way, reply Reply, err error) {
	if err != nil {
		a.missed(w, w.relay, err)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.wantHeld = reply.WantHeld
	a.tree.NoteAnswer(w.relay)
	if a.follows == w.relay {
		return
	}
	if w.relay == w.lead {
		a.log.Info("lead followed", "to", w.relay, "before", a.follows)
	} else {
		a.log.Info("relay followed", "to", w.relay, "before", a.follows)
	}
	a.follows = w.relay
}

// missed notes that the relay or the lead has not answered.
func (a *Agent) missed(w way, to netip.AddrPort, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.tree.NoteMiss(a.options.Clock(), to) {
		return
	}
	dependency := "relay"
	if to == w.lead {
		dependency = "lead"
	}
	a.log.Warn("dependency lost", "dependency", dependency, "to", to, "error", err)
}
