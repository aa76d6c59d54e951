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

// fleet is processes that do nothing but keep the bundle, and a platform.
type fleet struct {
	*btinprocess.Fleet
}

// process is one of them.
type process struct {
	*btprocess.Bundles
	*btinprocess.Process
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{Fleet: btinprocess.New(t)}
	f.Bundle = draft()
	return f
}

// draft returns a bundle of one target, whose agent isn't there.
func draft() btbundle.Bundle {
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

// process makes a process that has not started; entries come into the bundle.
func (f *fleet) process(id btpeer.Identity, seeds ...btpeer.Endpoint) *process {
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

func await(t *testing.T, p *process, version btid.BundleVersion) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if p.Current().Revision().Version == version {
			return poll.Success()
		}
		return poll.Continue("%s: %v", p.Node.Identity(), p.Current().Revision())
	}, poll.WithTimeout(time.Minute), poll.WithDelay(5*time.Millisecond))
}

// TestSeedsTakeThePlaceOfTheService: processes that start while the service is
// down get the bundle from a seed, without a call, and the next version too.
func TestSeedsTakeThePlaceOfTheService(t *testing.T) {
	f := newFleet(t)
	seed := f.process(btprocess.EntryIdentity("e1"))
	f.Publish(1)
	f.run(seed)
	await(t, seed, 1)
	assert.NilError(t, f.Store.SetFault(btstandin.PlatformFault{Mode: btstandin.PlatformDown}))
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
	assert.NilError(t, f.Store.SetFault(btstandin.PlatformFault{Mode: btstandin.PlatformSound}))
	f.Publish(2)
	for _, p := range late {
		await(t, p, 2)
		assert.Equal(t, p.Readers().Calls, int64(0))
		assert.Equal(t, p.Listing(), btprocess.Unlisted)
		assert.Equal(t, p.Decisions.List()[1].Act, "process_unlisted")
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
	f.Publish(1)
	for _, p := range entries {
		f.run(p)
	}
	for _, p := range entries {
		await(t, p, 1)
	}
	f.Publish(2)
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
	f.Publish(1)
	await(t, seed, 1)
	await(t, late, 1)
	assert.Equal(t, late.Listing(), btprocess.Misplaced)
}

// TestPlanBoundsWatchers: a small fleet is a mesh; in a large one few entries
// hear an agent, and an entry hears few agents.
func TestPlanBoundsWatchers(t *testing.T) {
	for _, c := range []struct{ entries, watchers int }{{8, 8}, {9, 3}, {380, 3}} {
		approved := large(t, c.entries)
		plan := btprocess.TopologyOf(approved)
		assert.Equal(t, len(plan.Watchers(btprocess.LocationsOf(approved)[0])), c.watchers)
		assert.Equal(t, plan.FullMesh(), c.watchers == c.entries)
	}
}

// TestStopTakesItsSteps: a stop with nothing in flight takes its steps without a
// further event.
func TestStopTakesItsSteps(t *testing.T) {
	log := slog.New(slog.DiscardHandler)
	stop := btprocess.NewStop(btmember.DrainSettings{ReadinessLag: 100 * time.Millisecond}, time.Now, btassert.New(btassert.Panic()), log)
	var steps []string
	note := func(step string) func() { return func() { steps = append(steps, step) } }
	stop.Terminate()
	stop.Terminate()
	stop.Run(t.Context(), btprocess.StopSteps{
		Unready: note("unready"), CloseListener: note("close"), Goodbye: note("goodbye"), Exit: note("exit"),
	})
	assert.DeepEqual(t, steps, []string{"unready", "close", "goodbye", "exit"})
}

// TestRefusedBundleLeavesALine: an operator sees why what was published is not
// in force.
func TestRefusedBundleLeavesALine(t *testing.T) {
	f := newFleet(t)
	p := f.process(btprocess.EntryIdentity("e1"))
	f.Publish(1)
	f.run(p)
	await(t, p, 1)
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
