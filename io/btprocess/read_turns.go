package btprocess

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"bilberrytide/core/btannounce"
	"bilberrytide/core/btbundle"
	"bilberrytide/core/btid"
	"bilberrytide/io/btkeys"
	"bilberrytide/io/btplatform"
)

// turnInterval is the interval at which a process checks whether it is its turn to read.
const turnInterval = 500 * time.Millisecond

// runReads watches the configuration service whenever it is this process's turn, until
// the context ends.
func (b *Bundles) runReads(ctx context.Context) {
	for ctx.Err() == nil {
		if b.isReadTurn() {
			b.watchService(ctx)
		}
		sleep(ctx, turnInterval)
	}
}

// watchService watches the configuration service until it is another process's turn.
func (b *Bundles) watchService(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var watching errgroup.Group
	watching.Go(func() error { return b.watcher.Run(ctx) })
	for ctx.Err() == nil && b.isReadTurn() {
		select {
		case <-b.Changed():
		case <-ctx.Done():
		case <-time.After(turnInterval):
		}
	}
	cancel()
	_ = watching.Wait()
}

func (b *Bundles) isReadTurn() bool {
	own := b.watcher.State().Contact
	entries := b.localEntries()
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.turns.ShouldRead(b.options.Clock(), entries, own)
}

// localEntries returns the entries of this data centre; nil while no bundle is in force.
func (b *Bundles) localEntries() []btbundle.Peer {
	current := b.Current()
	if current == nil {
		return nil
	}
	return entriesIn(current, b.options.DataCentre)
}

func entriesIn(a *btbundle.Approved, centre btid.DataCentre) []btbundle.Peer {
	entries := []btbundle.Peer{}
	for _, e := range a.Bundle.Entries {
		if e.DataCentre == centre {
			entries = append(entries, btbundle.Peer(EntryIdentity(e.Name).String()))
		}
	}
	return entries
}

// deliver passes the configuration service's value to the register. While no bundle is
// in force, it first asks the entries that the value lists.
func (b *Bundles) deliver(ctx context.Context, value btplatform.Value) {
	if b.Current() == nil {
		b.askEntries(ctx, value.Data)
	}
	b.loop.Post(btbundle.Received{Raw: value.Data})
}

// askEntries asks entries that the configuration service's value lists for the bundle in
// force, since the value may be stale. An invalid value is ignored here; the register
// refuses it.
func (b *Bundles) askEntries(ctx context.Context, raw []byte) {
	signed, err := btbundle.ParseSigned(raw)
	if err != nil {
		return
	}
	bootstrap, err := b.options.Approvers.Verify(signed)
	if err != nil {
		return
	}
	b.mu.Lock()
	b.bootstrap = bootstrap
	b.mu.Unlock()
	endpoints := Neighbours(bootstrap, b.self, b.options.DataCentre)
	b.loop.Post(btbundle.Started{Peers: peersFrom(endpoints)})
	for _, e := range endpoints {
		go b.exchange(ctx, e)
	}
}

// latestReads returns the reads to put into announcements. An agent's own reads are left
// out: only entries take turns.
func (b *Bundles) latestReads() []btannounce.Read {
	var own time.Time
	if b.self.Role == btkeys.Entry {
		own = b.watcher.State().Contact
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.turns.RecentReads(b.options.Clock(), own)
}

// Readers shows operators which processes read the configuration service.
type Readers struct {
	// Reads reports whether this process reads the service now.
	Reads bool `json:"reads"`
	// Latest are the newest reads known in this data centre.
	Latest []btannounce.Read `json:"latest"`
	// Calls counts this process's calls to the platform.
	Calls int64 `json:"calls"`
	// Error is the latest error of the calls that keep failing; empty while calls succeed.
	Error string `json:"error,omitempty"`
}

// Readers returns which processes read the configuration service, as far as this process
// knows.
func (b *Bundles) Readers() Readers {
	return Readers{
		Reads:  b.isReadTurn(),
		Latest: b.latestReads(),
		Calls:  b.options.Meter.Counter(btplatform.MetricCalls).Count(),
		Error:  b.watcher.State().Error,
	}
}
