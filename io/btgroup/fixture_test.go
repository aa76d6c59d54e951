package btgroup_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btassert"
	"bilberrytide/core/btbundle"
	"bilberrytide/core/btid"
	"bilberrytide/core/btswitch"
	"bilberrytide/io/btgroup"
	"bilberrytide/io/btkeys"
	"bilberrytide/io/btmetric"
	"bilberrytide/io/btpeer"
	"bilberrytide/io/btprocess"
	"bilberrytide/io/btstandin"
)

// awaitTimeout limits the wait for a condition. It is generous, so that no test fails
// because the host is slow.
const awaitTimeout = 90 * time.Second

const (
	layers  = 2
	experts = 8
	slots   = 4
)

// fleet is a group of engines and their agents, which communicate over loopback.
type fleet struct {
	t         *testing.T
	authority *btkeys.Authority
	engines   *btstandin.Group
	servers   []*httptest.Server
	addresses []netip.AddrPort
	agents    []*agent
	store     btgroup.Store
	// slots is the number of experts per rank in the bundle. It may be lower than the
	// engine's.
	slots int

	mutex sync.Mutex
	// interceptor is called with every order before the engine gets it. The order is
	// lost if it returns false.
	interceptor func(rank int, o btstandin.Order) bool
}

// agent is one incarnation of a rank's agent.
type agent struct {
	*btgroup.Group
	node      *btpeer.Node
	meter     *btmetric.Meter
	decisions *btmetric.Decisions
	kill      func()
}

func newFleet(t *testing.T, o btstandin.GroupOptions, ranks int) *fleet {
	t.Helper()
	authority, err := btkeys.NewAuthority("fleet", time.Now(), time.Hour)
	assert.NilError(t, err)
	o.Name = "g"
	o.Shape = btstandin.GroupShape{Ranks: ranks, Layers: layers, Experts: experts, SlotsPerRank: slots}
	o.Engine.Clock = btstandin.SystemClock{}
	o.Step = 2 * time.Millisecond
	engines, err := btstandin.NewGroup(o)
	assert.NilError(t, err)
	f := &fleet{t: t, authority: authority, engines: engines, slots: slots}
	for r := range ranks {
		server := httptest.NewServer(f.intercept(r))
		t.Cleanup(server.Close)
		f.servers = append(f.servers, server)
		f.addresses = append(f.addresses, netip.MustParseAddrPort("127.0.0.1:0"))
	}
	ctx, cancel := context.WithCancel(context.Background())
	var stepping sync.WaitGroup
	stepping.Go(func() { _ = engines.Run(ctx) })
	t.Cleanup(stepping.Wait)
	t.Cleanup(cancel)
	f.agents = make([]*agent, ranks)
	return f
}

// intercept returns the handler of a rank's engine behind the interceptor.
func (f *fleet) intercept(rank int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.mutex.Lock()
		interceptor := f.interceptor
		f.mutex.Unlock()
		if interceptor != nil && r.Method == http.MethodPost && r.URL.Path == "/orders" {
			body, _ := io.ReadAll(r.Body)
			var o btstandin.Order
			_ = json.Unmarshal(body, &o)
			if !interceptor(rank, o) {
				panic(http.ErrAbortHandler)
			}
			r.Body = io.NopCloser(strings.NewReader(string(body)))
		}
		f.engines.Rank(rank).ServeHTTP(w, r)
	})
}

func (f *fleet) setInterceptor(interceptor func(rank int, o btstandin.Order) bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.interceptor = interceptor
}

func name(rank int) btid.Target { return btid.Target(fmt.Sprintf("rank-%02d", rank)) }

// startAll starts every rank's agent and configures them with the bundle.
func (f *fleet) startAll() {
	for r := range f.agents {
		f.startAgent(r)
	}
	for _, a := range f.agents {
		a.Configure(f.bundle())
	}
}

// restart starts the next incarnation of a killed agent.
func (f *fleet) restart(rank int) {
	f.startAgent(rank)
	f.agents[rank].Configure(f.bundle())
}

// startAgent starts a rank's agent, which then waits for a bundle.
func (f *fleet) startAgent(rank int) {
	id := btprocess.AgentIdentity(name(rank))
	issued, err := f.authority.Issue(id, time.Now(), time.Hour)
	assert.NilError(f.t, err)
	files, err := issued.Write(f.t.TempDir())
	assert.NilError(f.t, err)
	keys, err := btkeys.New(btkeys.Options{Files: files})
	assert.NilError(f.t, err)
	node, err := btpeer.New(btpeer.Options{Listen: f.addresses[rank], Keys: keys})
	assert.NilError(f.t, err)
	f.addresses[rank] = node.Address()
	log := slog.New(slog.DiscardHandler)
	a := &agent{node: node, meter: btmetric.New(nil), decisions: btmetric.NewDecisions(btmetric.DefaultDecisions, log)}
	a.Group = btgroup.New(btgroup.Options{
		Self:      btid.Executor{Target: name(rank), Incarnation: btid.Incarnation(time.Now().UnixNano())},
		Node:      node,
		Meter:     a.meter,
		Decisions: a.decisions,
		Log:       log,
		Clock:     time.Now,
		Assert:    btassert.New(btassert.SinkFunc(func(v btassert.Violation) { f.t.Error(v) })),
		Random:    rand.New(rand.NewPCG(1, uint64(rank))),
		Store:     f.store,
		Switch:    fastSettings(),
	})
	f.runAgent(a)
	f.agents[rank] = a
}

// runAgent runs the agent until it is killed, which closes its socket at once.
func (f *fleet) runAgent(a *agent) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = a.node.Serve(ctx) })
	running.Go(func() { _ = a.Run(ctx) })
	a.kill = sync.OnceFunc(func() {
		cancel()
		_ = a.node.Close(ctx)
		running.Wait()
	})
	f.t.Cleanup(a.kill)
}

// fastSettings returns settings with short intervals, so that tests don't take long.
func fastSettings() btswitch.Settings {
	s := btswitch.Defaults()
	s.TickInterval = 10 * time.Millisecond
	s.PauseThreshold = 5 * time.Second
	s.RetryInterval = 50 * time.Millisecond
	s.MeanBackoff = 100 * time.Millisecond
	s.IdleTimeout = 200 * time.Millisecond
	s.PollInterval = 50 * time.Millisecond
	return s
}

func (f *fleet) bundle() *btbundle.Approved {
	span := func(d time.Duration) btbundle.Duration { return btbundle.Duration{Duration: d} }
	b := &btbundle.Bundle{
		Version:   1,
		Timeouts:  btbundle.Timeouts{Heartbeat: span(50 * time.Millisecond), TargetLease: span(time.Second)},
		Placement: btbundle.Placement{SkewWeight: 4, MoveWeight: 1, Interval: span(time.Second), Horizon: span(time.Minute)},
	}
	group := btbundle.Group{
		Name: "g", Service: "s", Layers: layers, Experts: experts, SlotsPerRank: f.slots, ExpertBytes: 1000, Barrier: true,
	}
	for r, server := range f.servers {
		group.Ranks = append(group.Ranks, name(r))
		b.Targets = append(b.Targets, btbundle.Target{
			Name:     name(r),
			Service:  "s",
			Address:  f.addresses[r],
			Endpoint: netip.MustParseAddrPort(server.Listener.Addr().String()),
		})
	}
	b.Groups = []btbundle.Group{group}
	return &btbundle.Approved{Bundle: b, Index: btbundle.NewIndex(b)}
}

// await waits until the condition holds.
func (f *fleet) await(what string, holds func() bool) {
	f.t.Helper()
	for end := time.Now().Add(awaitTimeout); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			f.logDecisions()
			f.t.Fatalf("%s did not come about", what)
		}
	}
}

// logDecisions logs the agents' decisions.
func (f *fleet) logDecisions() {
	for r, a := range f.agents {
		status, _ := a.Status()
		f.t.Logf("rank %d: %+v", r, status)
		for _, d := range a.decisions.List() {
			f.t.Logf("  %s: %s; %s; %s", d.Act, d.Cause, d.Evidence, d.Expected)
		}
	}
}

// awaitSteps waits until the group has made this many further steps.
func (f *fleet) awaitSteps(count uint64) {
	f.t.Helper()
	before := f.engines.Totals().Steps
	f.await(fmt.Sprintf("%d steps", count), func() bool { return f.engines.Totals().Steps >= before+count })
}

// awaitMapChange waits until the group steps on a different map.
func (f *fleet) awaitMapChange() {
	f.t.Helper()
	f.awaitSteps(1)
	before := f.mapInForce()
	f.await("a change of map", func() bool { return f.mapInForce() != before })
}

// mapInForce returns the digest of the last step's map, empty if there was no step.
func (f *fleet) mapInForce() string {
	records := f.engines.Records().Records
	if len(records) == 0 {
		return ""
	}
	return records[len(records)-1].Digests[0]
}

// hasDecision reports whether the agent recorded a decision with the act and cause. An
// empty cause matches any.
func (a *agent) hasDecision(act, cause string) bool {
	return slices.ContainsFunc(a.decisions.List(), func(d btmetric.Decision) bool {
		return d.Act == act && (cause == "" || d.Cause == cause)
	})
}

// checkNoMixedSteps checks that all ranks used the same map in every step.
func (f *fleet) checkNoMixedSteps() {
	f.t.Helper()
	totals := f.engines.Totals()
	assert.Equal(f.t, totals.MixedSteps, uint64(0), "of %d steps", totals.Steps)
}
