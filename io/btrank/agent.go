package btrank

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"bilberrytide/core/btassert"
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
}

const (
	// reportEvery is the pace at which the own engine's state is read and
	// reported: a sudden change of the experts in demand shows within two.
	reportEvery = 150 * time.Millisecond
	// leadTime bounds the lead's answer to a report; a lead that takes longer is
	// taken for gone.
	leadTime = 300 * time.Millisecond
	// leadMisses is how many reports in a row a lead may leave unanswered.
	leadMisses = 2
	// leadAway is how long a lead that was taken for gone is passed over.
	leadAway = 3 * time.Second
)

// Agent is the process beside an engine.
type Agent struct {
	options   Options
	log       *slog.Logger
	calls     *btcall.Client
	directory *directory
	lead      *lead

	mu    sync.Mutex
	state btround.State
	// readAt is when the state was read; zero while the engine is away.
	readAt time.Time
	heard  btround.Ballot
	counts counter
	// wantHeld is the lead's wish for the experts that the rank holds.
	wantHeld bool
	// misses counts unanswered reports by lead; away tells until when one is
	// passed over.
	misses map[netip.AddrPort]int
	away   map[netip.AddrPort]time.Time
	// follows is the lead of the last report.
	follows netip.AddrPort
}

// counter turns an engine's running counts into differences.
type counter struct {
	epoch uint64
	// told is what the lead has answered for, latest what was read last.
	told, latest []int64
}

// take takes running counts in.
func (c *counter) take(counts Counts) {
	if counts.Epoch != c.epoch || len(counts.Values) != len(c.latest) {
		c.epoch = counts.Epoch
		c.told = counts.Values
	}
	c.latest = counts.Values
}

// difference returns what the lead hasn't been told.
func (c *counter) difference() []int64 {
	if len(c.latest) == 0 || len(c.told) != len(c.latest) {
		return nil
	}
	d := make([]int64, len(c.latest))
	changed := false
	for i := range d {
		d[i] = max(c.latest[i]-c.told[i], 0)
		changed = changed || d[i] > 0
	}
	if !changed {
		return nil
	}
	return d
}

// New returns an agent.
func New(o Options) *Agent {
	calls := btcall.NewClient()
	a := &Agent{
		options: o,
		log:     o.Log,
		calls:   calls,
		misses:  make(map[netip.AddrPort]int),
		away:    make(map[netip.AddrPort]time.Time),
	}
	a.directory = newDirectory(o, calls)
	a.lead = newLead(o, a, calls)
	return a
}

// Run works until the context ends.
func (a *Agent) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", a.options.Address.String())
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle("POST "+pathReport, btcall.Handle(a.lead.hear))
	mux.Handle("POST "+pathCommand, btcall.Handle(a.command))
	mux.Handle("GET /metrics", a.options.Meter)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return btcall.Serve(ctx, listener, mux) })
	group.Go(func() error { a.directory.run(ctx); return nil })
	group.Go(func() error { a.reports(ctx); return nil })
	group.Go(func() error { a.lead.run(ctx); return nil })
	return group.Wait()
}

// reports reads and reports the engine's state until the context ends. Agents
// begin at different moments, so that the lead's work is spread.
func (a *Agent) reports(ctx context.Context) {
	pause(ctx, time.Duration(rand.Int64N(int64(reportEvery))))
	ticker := time.NewTicker(reportEvery)
	defer ticker.Stop()
	for ctx.Err() == nil {
		if a.read(ctx) {
			a.report(ctx)
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// read reads the own engine's state and counts.
func (a *Agent) read(ctx context.Context) bool {
	s, err := report(ctx, a.options.Engine)
	if err != nil {
		a.lost(err)
		return false
	}
	bounded, cancel := context.WithTimeout(ctx, reportTime)
	defer cancel()
	counts, err := a.options.Engine.Counts(bounded)
	if err != nil {
		a.log.Info("counts not read", "engine", a.options.Settings.Engine, "error", err)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.readAt.IsZero() {
		a.log.Info("dependency regained", "dependency", "engine", "rank", s.Rank, "group", s.Group, "epoch", s.Epoch, "open", s.Open)
	} else if s.Open != a.state.Open || s.Epoch != a.state.Epoch {
		a.log.Info("group changed", "group", s.Group, "rank", s.Rank, "epoch", s.Epoch, "open", s.Open, "step", s.Step)
	}
	a.state = s
	a.readAt = a.options.Clock()
	if err == nil {
		a.counts.take(counts)
	}
	return true
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

// report tells the lead.
func (a *Agent) report(ctx context.Context) {
	to := a.candidate()
	r, wanted := a.message()
	if wanted {
		r.Held = a.held(ctx)
	}
	var reply Reply
	var err error
	if to == a.options.Address {
		reply, err = a.lead.hear(ctx, r)
	} else {
		bounded, cancel := context.WithTimeout(ctx, leadTime)
		defer cancel()
		reply, err = btcall.Call[Reply](bounded, a.calls, to, pathReport, r)
	}
	a.answered(to, reply, err)
}

// message returns the report and whether the held experts belong into it.
func (a *Agent) message() (Report, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := Report{
		Engine: a.options.Settings.Engine,
		State:  a.state,
		Ballot: a.heard,
		Counts: a.counts.difference(),
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

// answered notes whether the lead has answered.
func (a *Agent) answered(to netip.AddrPort, reply Reply, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err == nil {
		a.wantHeld = reply.WantHeld
		a.counts.told = a.counts.latest
		delete(a.misses, to)
		if a.follows != to {
			a.log.Info("lead followed", "lead", to, "before", a.follows)
			a.follows = to
		}
		return
	}
	a.misses[to]++
	if a.misses[to] >= leadMisses {
		delete(a.misses, to)
		a.away[to] = a.options.Clock().Add(leadAway)
		a.log.Warn("dependency lost", "dependency", "lead", "lead", to, "error", err)
	}
}

// candidate returns the agent to report to: the first in order of addresses
// that isn't away. An agent that knows no other leads itself.
func (a *Agent) candidate() netip.AddrPort {
	agents := a.directory.agents()
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.options.Clock()
	for _, address := range agents {
		if now.After(a.away[address]) {
			return address
		}
	}
	return a.options.Address
}

// command carries a lead's command out at the own engine.
func (a *Agent) command(ctx context.Context, c btround.Command) (btround.Result, error) {
	a.mu.Lock()
	if c.Ballot < a.heard {
		result := btround.Result{Round: c.Round, Kind: c.Kind, Verdict: btround.Outranked, Ballot: a.heard, State: a.state}
		a.mu.Unlock()
		return result, nil
	}
	a.heard = c.Ballot
	a.mu.Unlock()
	result := carryOut(ctx, a.options.Engine, c)
	a.mu.Lock()
	a.heard = max(a.heard, result.Ballot)
	a.mu.Unlock()
	if result.Verdict != btround.Reached {
		a.log.Info("command not carried out", "kind", c.Kind, "verdict", result.Verdict, "version", c.Version, "step", c.Step, "ballot", c.Ballot, "orders", result.State.Orders)
	}
	return result, nil
}
