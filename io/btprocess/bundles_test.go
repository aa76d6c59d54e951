package btprocess_test

import (
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"bilberrytide/core/btassert"
	"bilberrytide/core/btbundle"
	"bilberrytide/core/btid"
	"bilberrytide/core/btmember"
	"bilberrytide/io/btkeys"
	"bilberrytide/io/btpeer"
	"bilberrytide/io/btprocess"
	"bilberrytide/io/btstandin"
	"bilberrytide/io/btstandin/btinprocess"
)

// fleet runs processes that only keep the bundle up to date, and a platform.
type fleet struct {
	*btinprocess.Fleet
}

// process is one process of a fleet.
type process struct {
	*btprocess.Bundles
	*btinprocess.Process
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{Fleet: btinprocess.New(t)}
	f.Bundle = testBundle()
	return f
}

// testBundle returns a bundle with one target, whose agent doesn't run.
func testBundle() btbundle.Bundle {
	b := btinprocess.Draft()
	b.Timeouts.Heartbeat.Duration = time.Second
	b.Ejection.SlowFactor = 5
	b.Accounts[0].Rate, b.Accounts[0].Burst, b.Accounts[0].Concurrency = 1, 1, 1
	b.Services = []btbundle.Service{{Name: "pages", Kind: btbundle.Plain, MaxBody: 1 << 20, Epochs: []btbundle.HomeEpoch{{Number: 1, Since: b.Created, Homes: []btid.Target{"t1"}}}}}
	b.Targets = []btbundle.Target{{
		Name: "t1", Service: "pages", Host: "h1", DataCentre: btinprocess.DataCentre, Slots: 1,
		Address:  netip.MustParseAddrPort("127.0.0.1:7101"),
		Endpoint: netip.MustParseAddrPort("127.0.0.1:7201"),
	}}
	return b
}

// newProcess returns a process that isn't running yet. It adds entries to the bundle.
func (f *fleet) newProcess(id btpeer.Identity, seeds ...btpeer.Endpoint) *process {
	made := f.Process(f.Node(id), seeds...)
	if id.Role == btkeys.Entry {
		f.AddEntry(btid.Entry(id.Name), made.Node.Address())
	}
	return &process{Bundles: made.Bundles, Process: made}
}

func (f *fleet) run(p *process) {
	f.Run(p.Node, func(ctx context.Context) error {
		var group errgroup.Group
		group.Go(func() error { return p.Bundles.Run(ctx) })
		group.Go(func() error { return p.Node.Serve(ctx) })
		return group.Wait()
	})
}

func (p *process) endpoint() btpeer.Endpoint {
	return btpeer.Endpoint{Identity: p.Node.Identity(), Address: p.Node.Address()}
}

func awaitVersion(t *testing.T, p *process, version btid.BundleVersion) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if p.Current().Revision().Version == version {
			return poll.Success()
		}
		return poll.Continue("%s: %v", p.Node.Identity(), p.Current().Revision())
	}, poll.WithTimeout(time.Minute), poll.WithDelay(5*time.Millisecond))
}

// TestSeedsReplaceConfigurationService guards against processes that depend on the
// configuration service when they start: those that start while it is down must get the
// bundle and its next version from a seed, without one call to the service.
func TestSeedsReplaceConfigurationService(t *testing.T) {
	f := newFleet(t)
	seed := f.newProcess(btprocess.EntryIdentity("e1"))
	f.Publish(1)
	f.run(seed)
	awaitVersion(t, seed, 1)
	assert.NilError(t, f.Platform.SetFault(btstandin.PlatformFault{Mode: btstandin.PlatformDown}))
	var late []*process
	for i := range 6 {
		late = append(late, f.newProcess(btprocess.AgentIdentity(btid.Target(fmt.Sprintf("late-%d", i))), seed.endpoint()))
	}
	for _, p := range late {
		f.run(p)
	}
	for _, p := range late {
		awaitVersion(t, p, 1)
	}
	assert.NilError(t, f.Platform.SetFault(btstandin.PlatformFault{Mode: btstandin.PlatformHealthy}))
	f.Publish(2)
	for _, p := range late {
		awaitVersion(t, p, 2)
		assert.Equal(t, p.Readers().Calls, int64(0))
		assert.Equal(t, p.Listing(), btprocess.Unlisted)
		assert.Equal(t, p.Decisions.List()[1].Act, "process_unlisted")
	}
	assert.Assert(t, seed.Readers().Calls > 0)
	assert.Assert(t, seed.Readers().Reads)
}

// TestTwoEntriesReadService guards against load on the configuration service that grows
// with the fleet: with all eight entries up, two read it, and the others get the bundle
// from peers.
func TestTwoEntriesReadService(t *testing.T) {
	f := newFleet(t)
	var entries []*process
	for i := range 8 {
		entries = append(entries, f.newProcess(btprocess.EntryIdentity(btid.Entry(fmt.Sprintf("e%d", i)))))
	}
	f.Publish(1)
	for _, p := range entries {
		f.run(p)
	}
	for _, p := range entries {
		awaitVersion(t, p, 1)
	}
	f.Publish(2)
	reading := 0
	for _, p := range entries {
		awaitVersion(t, p, 2)
		assert.Equal(t, p.Listing(), btprocess.Listed)
		if p.Readers().Reads {
			reading++
		}
	}
	assert.Equal(t, reading, 2)
}

// largeFleet returns a bundle with this number of entries in seven data centres.
func largeFleet(t *testing.T, entries int) *btbundle.Approved {
	f := newFleet(t)
	for i := range 7 {
		f.Bundle.DataCentres = append(f.Bundle.DataCentres, btbundle.DataCentre{Name: btid.DataCentre(fmt.Sprintf("dc-%d", i)), Region: fmt.Sprint(i % 2)})
	}
	for i := range entries {
		f.Bundle.Entries = append(f.Bundle.Entries, btbundle.Entry{
			Name: btid.Entry(fmt.Sprintf("e%d", i)), Host: btid.Host(fmt.Sprintf("edge-%d", i)), DataCentre: btid.DataCentre(fmt.Sprintf("dc-%d", i%7)),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(i%250 + 1)}), 7001),
		})
	}
	approved, err := f.Approvers.Verify(f.Sign())
	assert.NilError(t, err)
	return approved
}

// TestAnnouncementsReachAllEntries guards against a graph of neighbours that is
// partitioned or has long paths: when entries announce a bundle to their neighbours at
// once, all 380 get it within 8 hops, also when any one data centre or either region is
// lost.
func TestAnnouncementsReachAllEntries(t *testing.T) {
	approved := largeFleet(t, 380)
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
		worst = max(worst, maxHops(t, approved, links, func(id btpeer.Identity) bool { return strings.Contains(lost, centres[id]) }))
	}
	t.Logf("at most %d hops", worst)
	assert.Assert(t, worst <= 8)
}

// maxHops returns the number of hops after which an announcement has reached all entries
// that aren't lost. Links carry it both ways, since each side also asks in its rounds.
func maxHops(t *testing.T, approved *btbundle.Approved, links map[btpeer.Identity][]btpeer.Identity, lost func(btpeer.Identity) bool) int {
	both := map[btpeer.Identity][]btpeer.Identity{}
	alive := 0
	var first btpeer.Identity
	for _, e := range approved.Bundle.Entries {
		from := btprocess.EntryIdentity(e.Name)
		if lost(from) {
			continue
		}
		alive++
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
	assert.Equal(t, len(has), alive, "the announcement doesn't reach all entries")
	return count - 1
}

// TestMisplacedAgentGetsBundle checks that an agent whose settings name another host
// than the bundle gets the bundle and reports itself as misplaced. It also guards against
// an agent that gives up on a seed that has no bundle yet.
func TestMisplacedAgentGetsBundle(t *testing.T) {
	f := newFleet(t)
	seed := f.newProcess(btprocess.EntryIdentity("e1"))
	f.run(seed)
	late := f.newProcess(btprocess.AgentIdentity("t1"), seed.endpoint())
	f.run(late)
	f.Publish(1)
	awaitVersion(t, seed, 1)
	awaitVersion(t, late, 1)
	assert.Equal(t, late.Listing(), btprocess.Misplaced)
}

// TestTopologyBoundsWatchers guards against heartbeat traffic that grows with the number
// of entries: up to eight entries form a full mesh, and in larger fleets three entries
// receive a target's heartbeats.
func TestTopologyBoundsWatchers(t *testing.T) {
	for _, c := range []struct{ entries, watchers int }{{8, 8}, {9, 3}, {380, 3}} {
		approved := largeFleet(t, c.entries)
		topology := btprocess.TopologyOf(approved)
		assert.Equal(t, len(topology.Watchers(btprocess.LocationsOf(approved)[0])), c.watchers)
		assert.Equal(t, topology.FullMesh(), c.watchers == c.entries)
	}
}

// TestStopRunsStepsInOrder guards against a stop that hangs when no request is in
// flight: it must run all its steps in order without a further event.
func TestStopRunsStepsInOrder(t *testing.T) {
	log := slog.New(slog.DiscardHandler)
	stop := btprocess.NewStop(btmember.DrainSettings{ReadinessLag: 100 * time.Millisecond}, time.Now, btassert.New(btassert.Panic()), log)
	var steps []string
	record := func(step string) func() { return func() { steps = append(steps, step) } }
	stop.Terminate()
	stop.Terminate()
	stop.Run(t.Context(), btprocess.StopSteps{
		Unready: record("unready"), CloseListener: record("close"), Goodbye: record("goodbye"), Exit: record("exit"),
	})
	assert.DeepEqual(t, steps, []string{"unready", "close", "goodbye", "exit"})
}

// TestRefusedBundleRecordsDecision guards against a refused bundle that operators can't
// explain: a decision must name the reason and the version that stays in force.
func TestRefusedBundleRecordsDecision(t *testing.T) {
	f := newFleet(t)
	p := f.newProcess(btprocess.EntryIdentity("e1"))
	f.Publish(1)
	f.run(p)
	awaitVersion(t, p, 1)
	f.Bundle.Version = 2
	unsigned := btbundle.Signed{Document: f.Sign().Document}
	f.PublishRaw(unsigned.Bytes())
	f.Await("a line for the refused bundle", func() bool {
		for _, d := range p.Decisions.List() {
			if d.Act == "bundle_refused" {
				return strings.Contains(d.Cause, "the file has no signature") && strings.Contains(d.Evidence, "version 1")
			}
		}
		return false
	})
	assert.Equal(t, p.Current().Bundle.Version, btid.BundleVersion(1))
}
