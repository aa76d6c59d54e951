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

// Options are an agent's settings and dependencies.
type Options struct {
	Settings btdirect.Settings
	// Engine is the engine on this host. Remote returns a client for an engine on another
	// host.
	Engine  Engine
	Remote  func(netip.AddrPort) Engine
	Meter   *btmetric.Meter
	Log     *slog.Logger
	Clock   btloop.Clock
	Assert  *btassert.Asserter
	Address netip.AddrPort
	// Listen opens a listener at an address of this host.
	Listen func(netip.AddrPort) (net.Listener, error)
}

const (
	// switchReadInterval is the interval between reads of the state after the rank was
	// armed, and switchReadDuration is how long it applies: a few steps.
	switchReadInterval = 30 * time.Millisecond
	switchReadDuration = 300 * time.Millisecond
	// closedReadInterval is the interval between reads of the state while the group
	// isn't open. It is short because callers wait for the group, and reads cost nothing
	// on the engine's own host.
	closedReadInterval = 40 * time.Millisecond
	// answerTimeout bounds the wait for the answer to a report, bundle or load notice. A
	// relay or lead that takes longer counts as not having answered.
	answerTimeout = 300 * time.Millisecond
)

// Agent is the process beside an engine. It is safe for concurrent use.
type Agent struct {
	options   Options
	log       *slog.Logger
	calls     *btcall.Client
	directory *directory
	lead      *lead
	relay     *relay
	// reader identifies this process in the states that it reads from the engine, and
	// readCount numbers these reads.
	reader    uint64
	readCount atomic.Uint64
	// stopRequested is closed by Stop.
	stopRequested chan struct{}
	stopOnce      sync.Once
	// readNow has the state read at once.
	readNow chan struct{}

	mu    sync.Mutex
	state btround.State
	// readAt is when the state was last read; zero while the engine doesn't answer.
	readAt time.Time
	// acceptor is the agent's part in the agreement on which lead is obeyed.
	acceptor btround.Acceptor
	counts   counter
	// awaited is the version that the rank was last armed for. Until awaitedUntil the
	// state is read every switchReadInterval.
	awaited      btround.Version
	awaitedUntil time.Time
	// reportedAt is when the state was last reported, reportedOpen whether the group was
	// open then.
	reportedAt   time.Time
	reportedOpen bool
	// countsSentAt is when the counts were last reported.
	countsSentAt time.Time
	// maps caches the maps that instructions may refer to.
	maps *btround.MapCache
	// wantHeld is set while the lead asks for the experts that the rank holds.
	wantHeld bool
	// tree chooses the relay and the lead.
	tree *btrelay.Tree
	// chosenLead is the lead that the tree chose last.
	chosenLead netip.AddrPort
	// followedRelay is the relay or lead that answered the last report, followedLead
	// the lead that answered the last bundle.
	followedRelay, followedLead netip.AddrPort
}

// New returns an agent; Run starts it.
func New(o Options) *Agent {
	calls := btcall.NewClient()
	refusals, remote := newRefusalLogger(o), o.Remote
	o.Engine = loggedEngine{Engine: newNoticedEngine(o.Engine, o), refusals: refusals}
	o.Remote = func(at netip.AddrPort) Engine {
		return loggedEngine{Engine: newNoticedEngine(remote(at), o), refusals: refusals}
	}
	a := &Agent{
		options: o,
		log:     o.Log,
		calls:   calls,
		reader:  rand.Uint64(),
		readNow: make(chan struct{}, 1),

		stopRequested: make(chan struct{}),
		maps:          btround.NewMapCache(),
		tree:          btrelay.New(o.Address),
	}
	a.directory = newDirectory(o, calls, func() string { return a.ownState().Group })
	a.lead = newLead(o, a, calls)
	a.relay = newRelay(a)
	return a
}

// Reload applies changed settings. Only the seeds can change while the agent runs.
func (a *Agent) Reload(s btdirect.Settings) { a.directory.setSeeds(s.Seeds) }

// Run serves and reports until a planned stop is complete or the context ends. It returns
// an error if the agent can't listen or serve.
func (a *Agent) Run(ctx context.Context) error {
	listener, err := btcall.AwaitListen(ctx, a.options.Listen, a.options.Address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle("POST "+pathReport, btcall.Handle(a.relay.handleReport))
	mux.Handle("POST "+pathBundle, btcall.Handle(a.lead.handleBundle))
	mux.Handle("POST "+pathCommand, btcall.Handle(a.handleInstruction))
	mux.Handle("POST "+pathBatch, btcall.Handle(a.relay.handleBatch))
	mux.Handle("POST "+pathLoadNotice, btcall.Handle(a.relay.handleLoadNotice))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { a.awaitStop(ctx); cancel(); return nil })
	group.Go(func() error { return btcall.Serve(ctx, listener, mux) })
	group.Go(func() error { a.directory.run(ctx); return nil })
	group.Go(func() error { a.runReports(ctx); return nil })
	group.Go(func() error { a.relay.run(ctx); return nil })
	group.Go(func() error { a.lead.run(ctx); return nil })
	return group.Wait()
}

// runReports reads and reports the engine's state until the context ends. Agents start
// after a random delay, so that the lead's work is spread over time.
func (a *Agent) runReports(ctx context.Context) {
	sleep(ctx, time.Duration(rand.Int64N(int64(btrelay.ReportInterval(1)))))
	for ctx.Err() == nil {
		began := a.options.Clock()
		if a.updateState(ctx) && a.reportDue() {
			a.sendReport(ctx)
		}
		a.wait(ctx, a.readInterval()-a.options.Clock().Sub(began))
	}
}

// awaitSwitch shortens the read interval until the version is active, so that the lead
// learns of the switch at once.
func (a *Agent) awaitSwitch(v btround.Version) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.awaited = v
	a.awaitedUntil = a.options.Clock().Add(switchReadDuration)
	select {
	case a.readNow <- struct{}{}:
	default:
	}
}

// awaitingSwitch reports whether the rank is armed for a version that isn't active yet.
// The lock must be held.
func (a *Agent) awaitingSwitch(now time.Time) bool {
	return a.awaited != 0 && a.state.Map != a.awaited && now.Before(a.awaitedUntil)
}

// readInterval returns the time until the state is read again.
func (a *Agent) readInterval() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.awaitingSwitch(a.options.Clock()) {
		return switchReadInterval
	}
	if !a.state.Open {
		return closedReadInterval
	}
	return btrelay.ReportInterval(a.tree.BlockSize())
}

// reportDue reports whether to report the state now, and records that it is. While a
// switch is awaited nothing is reported until the version is active. While the group
// isn't open, reports keep their usual interval, though reads are more frequent; a change
// of open is reported at once.
func (a *Agent) reportDue() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.options.Clock()
	if a.awaitingSwitch(now) {
		return false
	}
	if a.state.Open == a.reportedOpen && now.Sub(a.reportedAt) < btrelay.ReportInterval(a.tree.BlockSize())-closedReadInterval {
		return false
	}
	a.reportedAt = now
	a.reportedOpen = a.state.Open
	return true
}

// wait waits for the duration, or until a read is requested or the context ends.
func (a *Agent) wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-a.readNow:
	case <-t.C:
	}
}

// countsDue reports whether to report the counts. The lock must be held.
func (a *Agent) countsDue(now time.Time) bool {
	return now.Sub(a.countsSentAt) >= btrelay.CountsInterval(a.tree.BlockSize(), len(a.counts.latest))
}

// updateState reads the own engine's state, and reports whether the engine answered.
func (a *Agent) updateState(ctx context.Context) bool {
	reading := a.readCount.Add(1)
	s, err := readState(ctx, a.options.Engine)
	s.Reader = a.reader
	s.ReadCount = reading
	if err != nil {
		a.engineLost(err)
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

// readCounts reads the own engine's counts, and returns those to report; nil if none are
// due.
func (a *Agent) readCounts(ctx context.Context) *ScaledCounts {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	counts, err := a.options.Engine.Counts(ctx)
	if err != nil {
		a.log.Info("counts not read", "engine", a.options.Settings.Engine, "error", err)
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.counts.update(counts)
	now := a.options.Clock()
	if !a.countsDue(now) {
		return nil
	}
	a.countsSentAt = now
	return a.counts.difference()
}

// engineLost records that the engine doesn't answer.
func (a *Agent) engineLost(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.readAt.IsZero() {
		a.readAt = time.Time{}
		a.log.Warn("dependency lost", "dependency", "engine", "error", err)
	}
}

// sendReport sends a report to the relay.
func (a *Agent) sendReport(ctx context.Context) {
	rt := a.route()
	if !rt.known {
		return
	}
	counts := a.readCounts(ctx)
	r, wanted := a.newReport()
	r.Counts = counts
	if wanted {
		r.Held = a.readHeld(ctx)
	}
	var reply ReportReply
	var err error
	if rt.relay == a.options.Address {
		reply, err = a.relay.handleReport(ctx, r)
	} else {
		bounded, cancel := context.WithTimeout(ctx, answerTimeout)
		defer cancel()
		reply, err = btcall.Call[ReportReply](bounded, a.calls, rt.relay, pathReport, r)
	}
	a.handleReply(rt, reply, err)
}

// newReport returns a report without counts, and whether it should list the held experts.
func (a *Agent) newReport() (Report, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := Report{
		Engine: a.options.Settings.Engine,
		State:  a.state,
		Ballot: a.acceptor.Promised(),
	}
	return r, a.wantHeld
}

// readHeld reads the experts that the rank holds; nil after an error.
func (a *Agent) readHeld(ctx context.Context) *Held {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	h, err := a.options.Engine.Held(ctx)
	if err != nil {
		a.log.Info("held experts not read", "error", err)
		return nil
	}
	return &h
}

// route is how the agent reaches the lead of its group.
type route struct {
	relay, lead netip.AddrPort
	// members is the number of the group's agents, blocks that of its blocks.
	members, blocks int
	// known is set once an entry has listed the group's members.
	known bool
}

// route returns the current route to the lead.
func (a *Agent) route() route {
	agents := a.directory.agents(a.ownState().Group)
	now := a.options.Clock()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tree.SetMembers(agents)
	var rt route
	rt.lead, rt.known = a.tree.Lead(now)
	a.chosenLead = rt.lead
	rt.relay, _ = a.tree.Relay(now)
	rt.members = len(agents)
	rt.blocks = a.tree.Blocks()
	return rt
}

// handleReply processes the relay's reply to a report, or the lack of one.
func (a *Agent) handleReply(rt route, reply ReportReply, err error) {
	if err != nil {
		a.noteMiss(rt, rt.relay, err)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.wantHeld = reply.WantHeld
	a.tree.NoteAnswer(rt.relay)
	if a.followedRelay == rt.relay {
		return
	}
	if rt.relay == rt.lead {
		a.log.Info("lead followed", "to", rt.relay, "before", a.followedRelay)
	} else {
		a.log.Info("relay followed", "to", rt.relay, "before", a.followedRelay)
	}
	a.followedRelay = rt.relay
}

// noteMiss records that the relay or the lead hasn't answered.
func (a *Agent) noteMiss(rt route, to netip.AddrPort, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.tree.NoteMiss(a.options.Clock(), to) {
		return
	}
	dependency := "relay"
	if to == rt.lead {
		dependency = "lead"
	}
	a.log.Warn("dependency lost", "dependency", dependency, "to", to, "error", err)
}
