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
	// rosterEvery is how often an entry is asked for the targets. A target that
	// is replaced is a whole group formed anew, which takes longer.
	rosterEvery = time.Second
	// rosterTime bounds an entry's answer.
	rosterTime = 400 * time.Millisecond
)

// directory knows the engines of the agent's service and their agents.
type directory struct {
	options Options
	calls   *btcall.Client

	mu     sync.Mutex
	roster btinventory.Roster
	// entries may be asked; listed are those that an entry knows to be there.
	entries []netip.AddrPort
	listed  []netip.AddrPort
	// seeds are those of the settings in force.
	seeds []netip.AddrPort
	// turn is the entry that is asked next. It begins by chance, so that agents that
	// start together don't all ask the same one.
	turn int
	lost bool
}

func newDirectory(o Options, calls *btcall.Client) *directory {
	return &directory{options: o, calls: calls, entries: o.Settings.Seeds, seeds: o.Settings.Seeds, turn: rand.Int()}
}

// run keeps the roster up to date until the context ends.
func (d *directory) run(ctx context.Context) {
	for ctx.Err() == nil {
		wait := rosterEvery
		if !d.ask(ctx) {
			wait = rosterEvery / 4
		}
		pause(ctx, wait)
	}
}

// ask asks one entry, and the next one after a failure.
func (d *directory) ask(ctx context.Context) bool {
	d.mu.Lock()
	if len(d.entries) == 0 {
		d.mu.Unlock()
		return false
	}
	entry := d.entries[d.turn%len(d.entries)]
	known := d.roster.Digest
	d.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, rosterTime)
	defer cancel()
	question := btdirect.RosterRequest{Service: d.options.Settings.Service, Known: known}
	roster, err := btcall.Call[btinventory.Roster](ctx, d.calls, entry, btdirect.PathRoster, question)
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		d.turn++
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
	d.take(roster)
	return true
}

// take puts a roster in force. One without targets only says that nothing has
// changed.
func (d *directory) take(r btinventory.Roster) {
	d.entries = slices.Clone(d.seeds)
	for _, e := range r.Entries {
		if !slices.Contains(d.entries, e) {
			d.entries = append(d.entries, e)
		}
	}
	d.listed = r.Entries
	if len(r.Targets) > 0 {
		d.roster = r
	}
}

// engines lists the addresses of a group's engines, in order. A service may have
// several groups.
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

// reseed puts other seeds in force.
func (d *directory) reseed(seeds []netip.AddrPort) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seeds = seeds
	for _, s := range seeds {
		if !slices.Contains(d.entries, s) {
			d.entries = append(d.entries, s)
		}
	}
}

// shape returns the shape of the service's expert maps.
func (d *directory) shape() (*btcatalog.Group, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.roster.Group, d.roster.Group != nil
}

// listeners lists the entries that hear of the group's load.
func (d *directory) listeners() []netip.AddrPort {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listed
}

// agents lists the addresses of the agents of a group's engines, in order.
func (d *directory) agents(group string) []netip.AddrPort {
	engines := d.engines(group)
	agents := make([]netip.AddrPort, 0, len(engines))
	for _, e := range engines {
		agents = append(agents, agentOf(e, d.options.Address.Port()))
	}
	return agents
}

// agentOf returns the address of an engine's agent: it is on the same host.
func agentOf(engine netip.AddrPort, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(engine.Addr(), port)
}
