package btrank

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"bilberrytide/core/btcatalog"
	"bilberrytide/core/btinventory"
	"bilberrytide/io/btcall"
	"bilberrytide/io/btdirect"
)

const (
	// rosterInterval is the interval at which an entry is asked for the targets. When a
	// target is replaced its whole group forms again, which takes longer than this.
	rosterInterval = time.Second
	// rosterTimeout bounds the wait for an entry's answer.
	rosterTimeout = 400 * time.Millisecond
)

// directory lists the engines of the agent's service and their agents, as the entries
// report them. It is safe for concurrent use.
type directory struct {
	options Options
	calls   *btcall.Client

	mu     sync.Mutex
	roster btinventory.Roster
	// entries are those that may be asked: the seeds and rosterEntries, which the last
	// roster listed.
	entries       []netip.AddrPort
	rosterEntries []netip.AddrPort
	// cells are the digests of the cells of the roster's targets.
	cells btinventory.CellDigests
	// group returns the name of the agent's group; empty until the engine has reported it.
	group func() string
	// seeds are the entries of the current settings.
	seeds []netip.AddrPort
	// nextEntry is the index, modulo the number of entries, of the one to ask. It starts
	// at random, so that agents that start together don't all ask the same entry.
	nextEntry int
	// lost is set while the entries asked don't answer.
	lost bool
}

func newDirectory(o Options, calls *btcall.Client, group func() string) *directory {
	return &directory{options: o, calls: calls, group: group, entries: o.Settings.Seeds, seeds: o.Settings.Seeds, nextEntry: rand.Int()}
}

// run refreshes the roster until the context ends, sooner after a failure. It begins when
// the engine has reported its group, as the roster of all groups is several times as large.
func (d *directory) run(ctx context.Context) {
	for ctx.Err() == nil {
		wait := rosterInterval
		group := d.group()
		switch {
		case group == "":
			wait = closedReadInterval
		case !d.refresh(ctx, group):
			wait = rosterInterval / 4
		}
		sleep(ctx, wait)
	}
}

// refresh asks one entry for the group's roster, and reports whether it answered. After a
// failure the next entry is asked.
func (d *directory) refresh(ctx context.Context, group string) bool {
	d.mu.Lock()
	if len(d.entries) == 0 {
		d.mu.Unlock()
		return false
	}
	entry := d.entries[d.nextEntry%len(d.entries)]
	question := btdirect.RosterRequest{
		Service: d.options.Settings.Service, Group: group,
		Known: d.roster.Digest, Cells: d.cells, KnownEntries: d.roster.EntriesDigest,
	}
	d.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, rosterTimeout)
	defer cancel()
	roster, err := btcall.Call[btinventory.Roster](ctx, d.calls, entry, btdirect.PathRoster, question)
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		d.nextEntry++
		if !d.lost {
			d.lost = true
			d.options.Log.Warn("dependency lost", "dependency", "entry", "entry", entry, "error", err)
		}
		return false
	}
	if d.lost {
		d.lost = false
		d.options.Log.Info("dependency regained", "dependency", "entry", "entry", entry)
	}
	d.apply(roster)
	return true
}

// apply applies a roster. One without targets and cells means that the targets haven't
// changed. The lock must be held.
func (d *directory) apply(r btinventory.Roster) {
	if r.EntriesDigest == 0 || r.EntriesDigest != d.roster.EntriesDigest {
		d.rosterEntries = r.Entries
		d.entries = union(d.seeds, r.Entries)
	}
	d.roster.EntriesDigest = r.EntriesDigest
	if len(r.Targets) == 0 && r.Cells == 0 {
		return
	}
	merged, complete := d.roster.Merge(r)
	d.roster = merged
	d.cells = btinventory.NewCellDigests(merged.Targets)
	if !complete {
		// The next request asks for the whole roster.
		d.options.Meter.Counter("rosters_incomplete").Inc(1)
		d.roster.Digest = 0
		d.cells = nil
	}
}

// union returns the addresses of both lists, in order.
func union(a, b []netip.AddrPort) []netip.AddrPort {
	all := slices.Concat(a, b)
	slices.SortFunc(all, netip.AddrPort.Compare)
	return slices.Compact(all)
}

// engines returns the sorted addresses of a group's engines. A service may have several
// groups.
func (d *directory) engines(group string) []netip.AddrPort {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []netip.AddrPort
	for _, t := range d.roster.Targets {
		if t.Member != nil && t.Member.Group == group {
			list = append(list, t.Address)
		}
	}
	slices.SortFunc(list, netip.AddrPort.Compare)
	return slices.Compact(list)
}

// setSeeds replaces the seeds. Earlier seeds may be asked until a roster has other entries.
func (d *directory) setSeeds(seeds []netip.AddrPort) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seeds = seeds
	d.entries = union(seeds, d.entries)
}

// shape returns the description of the service's groups; false if it isn't known yet.
func (d *directory) shape() (*btcatalog.Group, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.roster.Group, d.roster.Group != nil
}

// loadReceivers returns the entries that the group's load is sent to.
func (d *directory) loadReceivers() []netip.AddrPort {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rosterEntries
}

// agents returns the sorted addresses of the agents of a group's engines.
func (d *directory) agents(group string) []netip.AddrPort {
	engines := d.engines(group)
	agents := make([]netip.AddrPort, 0, len(engines))
	for _, e := range engines {
		agents = append(agents, agentOf(e, d.options.Address.Port()))
	}
	return agents
}

// agentOf returns the address of an engine's agent, which runs on the same host.
func agentOf(engine netip.AddrPort, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(engine.Addr(), port)
}
