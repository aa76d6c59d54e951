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

// turnEvery is how often a process looks whether it is its turn to read.
const turnEvery = 500 * time.Millisecond

// read watches the service while it is this process's turn.
func (b *Bundles) read(ctx context.Context) {
	for ctx.Err() == nil {
		if b.turn() {
			b.watch(ctx)
		}
		wait(ctx, turnEvery)
	}
}

// watch follows the service until it is another's turn.
func (b *Bundles) watch(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var watching errgroup.Group
	watching.Go(func() error { return b.watcher.Run(ctx) })
	for ctx.Err() == nil && b.turn() {
		select {
		case <-b.Changed():
		case <-ctx.Done():
		case <-time.After(turnEvery):
		}
	}
	cancel()
	_ = watching.Wait()
}

func (b *Bundles) turn() bool {
	own := b.watcher.State().Contact
	entries := b.readers()
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.turns.ShouldRead(b.options.Clock(), entries, own)
}

// readers returns the entries of this data centre, nil while nothing is in
// force.
func (b *Bundles) readers() []btbundle.Peer {
	current := b.Current()
	if current == nil {
		return nil
	}
	return readersOf(current, b.options.DataCentre)
}

func readersOf(a *btbundle.Approved, place btid.DataCentre) []btbundle.Peer {
	readers := []btbundle.Peer{}
	for _, e := range a.Bundle.Entries {
		if e.DataCentre == place {
			readers = append(readers, btbundle.Peer(EntryIdentity(e.Name).String()))
		}
	}
	return readers
}

// offer hands the register the service's value; the first one also tells whom
// to ask before it is believed.
func (b *Bundles) offer(ctx context.Context, value btplatform.Value) {
	if b.Current() == nil {
		b.ask(ctx, value.Data)
	}
	b.loop.Post(btbundle.Received{Raw: value.Data})
}

// ask asks entries of the service's value, which may be stale, what is in
// force.
func (b *Bundles) ask(ctx context.Context, raw []byte) {
	signed, err := btbundle.ParseSigned(raw)
	if err != nil {
		return
	}
	boot, err := b.options.Approvers.Verify(signed)
	if err != nil {
		return
	}
	b.mu.Lock()
	b.boot = boot
	b.mu.Unlock()
	endpoints := Neighbours(boot, b.self, b.options.DataCentre)
	b.loop.Post(btbundle.Started{Peers: peersOf(endpoints)})
	for _, e := range endpoints {
		go b.exchange(ctx, e)
	}
}

// latest returns the reads that announcements tell of. An agent's own are of no
// use to entries that take turns.
func (b *Bundles) latest() []btannounce.Read {
	var own time.Time
	if b.self.Role == btkeys.Entry {
		own = b.watcher.State().Contact
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.turns.RecentReads(b.options.Clock(), own)
}

// Readers tells operators who reads the configuration service.
type Readers struct {
	// Reads tells whether this process reads it now.
	Reads bool `json:"reads"`
	// Latest are the newest reads known in this data centre.
	Latest []btannounce.Read `json:"latest"`
	// Calls counts this process's calls of the platform.
	Calls int64 `json:"calls"`
	// Error is the last failure of the last row; empty while calls go well.
	Error string `json:"error,omitempty"`
}

// Readers returns who reads the service, as this process knows it.
func (b *Bundles) Readers() Readers {
	return Readers{
		Reads:  b.turn(),
		Latest: b.latest(),
		Calls:  b.options.Meter.Counter(btplatform.MetricCalls).Count(),
		Error:  b.watcher.State().Error,
	}
}
