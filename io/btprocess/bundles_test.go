package btprocess_test

import (
	"context"
	"crypto/ed25519"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"bilberrytide/core/btassert"
	"bilberrytide/core/btbundle"
	"bilberrytide/core/btid"
	"bilberrytide/core/btmember"
	"bilberrytide/io/btkeys"
	"bilberrytide/io/btmetric"
	"bilberrytide/io/btpeer"
	"bilberrytide/io/btplatform"
	"bilberrytide/io/btprocess"
	"bilberrytide/io/btstandin"
)

const configKey = "bundle"

// fleet is processes that do nothing but keep the bundle, and a platform.
type fleet struct {
	t         *testing.T
	authority *btkeys.Authority
	approver  ed25519.PrivateKey
	approvers btbundle.Approvers
	store     *btstandin.Platform
	platform  netip.AddrPort
	bundle    btbundle.Bundle
}

// process is one of them.
type process struct {
	*btprocess.Bundles
	node      *btpeer.Node
	meter     *btmetric.Meter
	decisions *btmetric.Decisions
}

func newFleet(t *testing.T) *fleet {
	authority, err := btkeys.NewAuthority("fleet", time.Now(), time.Hour)
	assert.NilError(t, err)
	public, private, err := ed25519.GenerateKey(nil)
	assert.NilError(t, err)
	store, err := btstandin.NewPlatform(btstandin.PlatformOptions{Clock: btstandin.SystemClock{}})
	assert.NilError(t, err)
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	return &fleet{
		t:         t,
		authority: authority,
		approver:  private,
		approvers: btbundle.Approvers{Keys: []btbundle.Approver{{Name: "ann", Key: btbundle.PublicKey(public)}}},
		store:     store,
		platform:  netip.MustParseAddrPort(server.Listener.Addr().String()),
		bundle:    draft(),
	}
}

func draft() btbundle.Bundle {
	span := func(d time.Duration) btbundle.Span { return btbundle.Span{Duration: d} }
	now := time.Now().UTC().Truncate(time.Second)
	target := btbundle.Target{
		Name: "t1", Service: "pages", Host: "h1", DataCentre: "north", Slots: 1,
		Address:  netip.MustParseAddrPort("127.0.0.1:7101"),
		Endpoint: netip.MustParseAddrPort("127.0.0.1:7201"),
	}
	return btbundle.Bundle{
		Version:     1,
		Created:     now,
		Timeouts:    btbundle.Timeouts{Request: span(20 * time.Second), RequestMax: span(30 * time.Second), Heartbeat: span(time.Second), TargetLease: span(5 * time.Second), Drain: span(30 * time.Second)},
		Idempotency: btbundle.Idempotency{Retention: span(10 * time.Minute), ClockError: span(500 * time.Millisecond), Lease: span(3 * time.Second)},
		Retry:       btbundle.Retry{BudgetShare: 0.2, MaxAttempts: 3, Backoff: span(time.Millisecond)},
		Ejection:    btbundle.Ejection{MaxShare: 0.3, Failures: 5, SlowFactor: 5, Duration: span(5 * time.Second)},
		Placement:   btbundle.Placement{SkewWeight: 1, MoveWeight: 1, Interval: span(10 * time.Second), Horizon: span(5 * time.Minute)},
		DataCentres: []btbundle.DataCentre{{Name: "north", Region: "home"}},
		Services:    []btbundle.Service{{Name: "pages", Kind: btbundle.Plain, MaxBody: 1 << 20, Epochs: []btbundle.HomeEpoch{{Number: 1, Since: now, Homes: []btid.Target{"t1"}}}}},
		Targets:     []btbundle.Target{target},
		Accounts:    []btbundle.Account{{Name: "families", KeyHashes: []btbundle.Digest{btbundle.HashKey("key")}, Rate: 1, Burst: 1, Concurrency: 1, Weight: 1}},
	}
}

// process makes a process that has not started; entries come into the bundle.
func (f *fleet) process(id btpeer.Identity, seeds ...btpeer.Endpoint) *process {
	issued, err := f.authority.Issue(id, time.Now(), time.Hour)
	assert.NilError(f.t, err)
	files, err := issued.Write(f.t.TempDir())
	assert.NilError(f.t, err)
	keys, err := btkeys.New(btkeys.Options{Files: files})
	assert.NilError(f.t, err)
	node, err := btpeer.New(btpeer.Options{Listen: netip.MustParseAddrPort("127.0.0.1:0"), Keys: keys})
	assert.NilError(f.t, err)
	log := slog.New(slog.DiscardHandler)
	p := &process{node: node, meter: btmetric.New(nil), decisions: btmetric.NewDecisions(8, log)}
	p.Bundles = btprocess.NewBundles(btprocess.BundlesOptions{
		DataCentre: "north", Host: btid.Host("host-" + id.Name), Node: node, Key: configKey, Approvers: f.approvers, Seeds: seeds,
		Platform: btplatform.New(btplatform.Options{Address: f.platform, Registry: p.meter.Registry()}),
		Meter:    p.meter, Decisions: p.decisions, Log: log, Clock: time.Now,
		Assert: btassert.New(btassert.Panic()), Random: rand.New(rand.NewPCG(1, uint64(len(id.Name)))),
	})
	if id.Role == btkeys.Entry {
		f.bundle.Entries = append(f.bundle.Entries, btbundle.Entry{Name: btid.Entry(id.Name), Host: btid.Host("host-" + id.Name), DataCentre: "north", Address: node.Address()})
	}
	return p
}

func (f *fleet) run(p *process) {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { _ = p.Run(ctx) })
	group.Go(func() { _ = p.node.Serve(ctx) })
	f.t.Cleanup(func() {
		cancel()
		_ = p.node.Close(ctx)
		group.Wait()
	})
}

// publish approves and publishes the bundle as the given version.
func (f *fleet) publish(version btid.BundleVersion) {
	f.bundle.Version = version
	if version > 1 {
		f.bundle.Parent = btbundle.DigestOf([]byte("parent"))
	}
	document, err := toml.Marshal(f.bundle)
	assert.NilError(f.t, err)
	document = btbundle.TerminateDocument(document)
	signed := btbundle.Signed{Document: document, Signatures: []btbundle.Signature{btbundle.Sign(document, f.approver)}}
	_, err = f.store.PutConfig(configKey, signed.Bytes())
	assert.NilError(f.t, err)
}

func (p *process) endpoint() btpeer.Endpoint {
	return btpeer.Endpoint{Identity: p.node.Identity(), Address: p.node.Address()}
}

func await(t *testing.T, p *process, version btid.BundleVersion) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if p.Current().Order().Version == version {
			return poll.Success()
		}
		return poll.Continue("%s: %v", p.node.Identity(), p.Current().Order())
	}, poll.WithTimeout(time.Minute), poll.WithDelay(5*time.Millisecond))
}

// TestSeedsTakeThePlaceOfTheService: processes that start while the service is
// down get the bundle from a seed, without a call, and the next version too.
func TestSeedsTakeThePlaceOfTheService(t *testing.T) {
	f := newFleet(t)
	seed := f.process(btprocess.EntryIdentity("e1"))
	f.publish(1)
	f.run(seed)
	await(t, seed, 1)
	assert.NilError(t, f.store.SetFault(btstandin.PlatformFault{Mode: btstandin.PlatformDown}))
	var late []*process
	for i := range 6 {
		late = append(late, f.process(btprocess.AgentIdentity(btid.Target(fmt.Sprintf("late-%d", i))), seed.endpoint()))
	}
	for _, p := range late {
		f.run(p)
	}
	for _, p := range late {
		await(t, p, 1)
	}
	assert.NilError(t, f.store.SetFault(btstandin.PlatformFault{Mode: btstandin.PlatformSound}))
	f.publish(2)
	for _, p := range late {
		await(t, p, 2)
		assert.Equal(t, p.Readers().Calls, int64(0))
		assert.Equal(t, p.Listing(), btprocess.Unlisted)
		assert.Equal(t, p.decisions.List()[1].Act, "process_unlisted")
	}
	assert.Assert(t, seed.Readers().Calls > 0)
	assert.Assert(t, seed.Readers().Reads)
}

// TestServiceIsReadByFew: with all entries up, two call the service and the
// others hear from them.
func TestServiceIsReadByFew(t *testing.T) {
	f := newFleet(t)
	var entries []*process
	for i := range 8 {
		entries = append(entries, f.process(btprocess.EntryIdentity(btid.Entry(fmt.Sprintf("e%d", i)))))
	}
	f.publish(1)
	for _, p := range entries {
		f.run(p)
	}
	for _, p := range entries {
		await(t, p, 1)
	}
	f.publish(2)
	reading := 0
	for _, p := range entries {
		await(t, p, 2)
		assert.Equal(t, p.Listing(), btprocess.Listed)
		if p.Readers().Reads {
			reading++
		}
	}
	assert.Equal(t, reading, 2)
}

// large returns a bundle of so many entries in seven data centres.
func large(t *testing.T, entries int) *btbundle.Approved {
	f := newFleet(t)
	for i := range 7 {
		f.bundle.DataCentres = append(f.bundle.DataCentres, btbundle.DataCentre{Name: btid.DataCentre(fmt.Sprintf("dc-%d", i)), Region: fmt.Sprint(i % 2)})
	}
	for i := range entries {
		f.bundle.Entries = append(f.bundle.Entries, btbundle.Entry{
			Name: btid.Entry(fmt.Sprintf("e%d", i)), Host: btid.Host(fmt.Sprintf("edge-%d", i)), DataCentre: btid.DataCentre(fmt.Sprintf("dc-%d", i%7)),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(i%250 + 1)}), 7001),
		})
	}
	document, err := toml.Marshal(f.bundle)
	assert.NilError(t, err)
	document = btbundle.TerminateDocument(document)
	approved, err := f.approvers.Verify(btbundle.Signed{Document: document, Signatures: []btbundle.Signature{btbundle.Sign(document, f.approver)}})
	assert.NilError(t, err)
	return approved
}

// TestNewsReachesAll: when entries tell their neighbours at once, all 380 have
// a bundle in few hops, also with any one data centre or either region lost.
func TestNewsReachesAll(t *testing.T) {
	approved := large(t, 380)
	links := map[btpeer.Identity][]btpeer.Identity{}
	for _, e := range approved.Bundle.Entries {
		self := btprocess.EntryIdentity(e.Name)
		chosen := btprocess.Neighbours(approved, self, e.DataCentre)
		assert.Equal(t, len(chosen), 3)
		for _, to := range chosen {
			links[self] = append(links[self], to.Identity)
		}
	}
	centres := map[btpeer.Identity]string{}
	for _, e := range approved.Bundle.Entries {
		centres[btprocess.EntryIdentity(e.Name)] = string(e.DataCentre)
	}
	worst := 0
	for _, lost := range []string{"", "dc-0", "dc-1", "dc-2", "dc-3", "dc-4", "dc-5", "dc-6", "dc-0 dc-2 dc-4 dc-6", "dc-1 dc-3 dc-5"} {
		worst = max(worst, hops(t, approved, links, func(id btpeer.Identity) bool { return strings.Contains(lost, centres[id]) }))
	}
	t.Logf("at most %d hops", worst)
	assert.Assert(t, worst <= 8)
}

// hops returns how many times news is handed on, over links that carry it from
// the one that made them or, as each side asks at times, back.
func hops(t *testing.T, approved *btbundle.Approved, links map[btpeer.Identity][]btpeer.Identity, lost func(btpeer.Identity) bool) int {
	both := map[btpeer.Identity][]btpeer.Identity{}
	live := 0
	var first btpeer.Identity
	for _, e := range approved.Bundle.Entries {
		from := btprocess.EntryIdentity(e.Name)
		if lost(from) {
			continue
		}
		live++
		first = from
		for _, to := range links[from] {
			if !lost(to) {
				both[from] = append(both[from], to)
				both[to] = append(both[to], from)
			}
		}
	}
	has := map[btpeer.Identity]bool{first: true}
	round := []btpeer.Identity{first}
	count := 0
	for ; len(round) > 0; count++ {
		var next []btpeer.Identity
		for _, from := range round {
			for _, to := range both[from] {
				if !has[to] {
					has[to] = true
					next = append(next, to)
				}
			}
		}
		round = next
	}
	assert.Equal(t, len(has), live, "news stops short")
	return count - 1
}

// TestMisplacedSaysSo: an agent whose settings name another host than the bundle
// works, and says so; a seed that has nothing yet is asked again.
func TestMisplacedSaysSo(t *testing.T) {
	f := newFleet(t)
	seed := f.process(btprocess.EntryIdentity("e1"))
	f.run(seed)
	late := f.process(btprocess.AgentIdentity("t1"), seed.endpoint())
	f.run(late)
	f.publish(1)
	await(t, seed, 1)
	await(t, late, 1)
	assert.Equal(t, late.Listing(), btprocess.Misplaced)
}

// TestPlanBoundsWatchers: a small fleet is a mesh; in a large one few entries
// hear an agent, and an entry hears few agents.
func TestPlanBoundsWatchers(t *testing.T) {
	for _, c := range []struct{ entries, watchers int }{{8, 8}, {9, 3}, {380, 3}} {
		approved := large(t, c.entries)
		plan := btprocess.PlanOf(approved)
		assert.Equal(t, len(plan.Watchers(btprocess.PlacesOf(approved)[0])), c.watchers)
		assert.Equal(t, plan.Mesh(), c.watchers == c.entries)
	}
}

// TestStopTakesItsSteps: a stop with nothing in flight takes its steps without a
// further event.
func TestStopTakesItsSteps(t *testing.T) {
	log := slog.New(slog.DiscardHandler)
	stop := btprocess.NewStop(btmember.DrainSettings{Lag: 100 * time.Millisecond}, time.Now, btassert.New(btassert.Panic()), log)
	var steps []string
	note := func(step string) func() { return func() { steps = append(steps, step) } }
	stop.Terminate()
	stop.Terminate()
	stop.Run(t.Context(), btprocess.StopSteps{
		Unready: note("unready"), CloseListener: note("close"), Goodbye: note("goodbye"), Exit: note("exit"),
	})
	assert.DeepEqual(t, steps, []string{"unready", "close", "goodbye", "exit"})
}
