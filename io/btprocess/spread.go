package btprocess

import (
	"context"
	"fmt"

	"bilberrytide/core/btannounce"
	"bilberrytide/core/btbundle"
	"bilberrytide/core/btrequest"
	"bilberrytide/io/btkeys"
	"bilberrytide/io/btpeer"
)

const (
	reasonAnnounceFailed btrequest.Reason = "announce_failed"
	// strangerRounds is how many rounds pass between two exchanges with an
	// entry that is no neighbour, which joins a graph that fell apart.
	strangerRounds = 30
)

// Announcement returns what this process tells others.
func (b *Bundles) Announcement() btannounce.Announcement {
	return btannounce.Announcement{
		Revision: b.Current().Revision(),
		Reads:    b.latest(),
	}
}

// ReceiveAnnouncement processes what a peer announced.
func (b *Bundles) ReceiveAnnouncement(from btpeer.Identity, a btannounce.Announcement) {
	b.hear(a)
	b.loop.Post(btbundle.Announced{Version: a.Revision.Version, Digest: a.Revision.Digest, From: btbundle.Peer(from.String())})
}

func (b *Bundles) hear(a btannounce.Announcement) {
	entries := b.readers()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.turns.Observe(b.options.Clock(), a)
	if entries != nil {
		b.turns.Retain(entries)
	}
}

// announce exchanges announcements with the neighbours: with one a round, and
// with all at once when a bundle comes into force, which takes it through the
// fleet in a number of hops that grows with the logarithm of its size.
func (b *Bundles) announce(ctx context.Context) {
	for ctx.Err() == nil {
		changed := b.Changed()
		if to, found := b.next(); found {
			go b.exchange(ctx, to)
		}
		if b.pushed(ctx, changed) {
			for _, e := range b.neighbours() {
				go b.exchange(ctx, e)
			}
		}
	}
}

// pushed waits for the next round and tells whether a bundle came into force
// meanwhile.
func (b *Bundles) pushed(ctx context.Context, changed <-chan struct{}) bool {
	ctx, cancel := context.WithTimeout(ctx, announceEvery)
	defer cancel()
	select {
	case <-changed:
		return true
	case <-ctx.Done():
		return false
	}
}

// next returns whom to exchange announcements with in this round. An agent that
// the bundle lists needs no rounds: its heartbeats carry what it has in force,
// and the answers to them what the entries have.
func (b *Bundles) next() (btpeer.Endpoint, bool) {
	current := b.Current()
	if current != nil && b.self.Role == btkeys.Agent && b.Listing() != Unlisted {
		return btpeer.Endpoint{}, false
	}
	b.mu.Lock()
	b.rounds++
	round := b.rounds
	b.mu.Unlock()
	if current != nil && round%strangerRounds == 0 {
		return b.stranger(current)
	}
	list := b.neighbours()
	if len(list) == 0 {
		return btpeer.Endpoint{}, false
	}
	return list[round%len(list)], true
}

// stranger returns any other entry.
func (b *Bundles) stranger(a *btbundle.Approved) (btpeer.Endpoint, bool) {
	b.mu.Lock()
	e := a.Bundle.Entries[b.random.IntN(len(a.Bundle.Entries))]
	b.mu.Unlock()
	identity := EntryIdentity(e.Name)
	return btpeer.Endpoint{Identity: identity, Address: e.Address}, identity != b.self
}

// neighbours returns whom this process tells: by the bundle in force; before
// there is one, the seeds and the entries of the service's value.
func (b *Bundles) neighbours() []btpeer.Endpoint {
	if current := b.Current(); current != nil {
		if b.self.Role == btkeys.Agent && b.Listing() != Unlisted {
			return nil
		}
		return Neighbours(current, b.self, b.options.DataCentre)
	}
	var list []btpeer.Endpoint
	for _, e := range b.options.Seeds {
		if e.Identity != b.self {
			list = append(list, e)
		}
	}
	if boot := b.bootstrap(); boot != nil {
		list = append(list, Neighbours(boot, b.self, b.options.DataCentre)...)
	}
	return list
}

func (b *Bundles) bootstrap() *btbundle.Approved {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.boot
}

func (b *Bundles) exchange(ctx context.Context, to btpeer.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, announceWait)
	defer cancel()
	a, err := btpeer.Call[btannounce.Announcement, btannounce.Announcement](ctx, b.options.Node, to, KindAnnounce, b.Announcement())
	if err != nil {
		b.options.Meter.Refused(reasonAnnounceFailed)
		return
	}
	b.ReceiveAnnouncement(to.Identity, a)
}

func (b *Bundles) answerAnnounce(_ context.Context, from btpeer.Identity, a btannounce.Announcement) (btannounce.Announcement, error) {
	b.ReceiveAnnouncement(from, a)
	return b.Announcement(), nil
}

// fetch gets the signed file that a peer announced.
func (b *Bundles) fetch(f btbundle.Fetch) {
	raw, err := b.get(f)
	if err != nil {
		b.loop.Post(btbundle.FetchFailed{From: f.From, Requested: f.Revision(), Err: err})
		return
	}
	b.loop.Post(btbundle.Received{Raw: raw, Source: btbundle.Source{Peer: f.From}, Requested: f.Revision()})
}

func (b *Bundles) get(f btbundle.Fetch) ([]byte, error) {
	to, found := b.endpoint(f.From)
	if !found {
		return nil, fmt.Errorf("no address for %s", f.From)
	}
	ctx, cancel := context.WithTimeout(context.Background(), fetchWait)
	defer cancel()
	file, err := btpeer.Call[btannounce.Ask, btannounce.File](ctx, b.options.Node, to, KindBundle, btannounce.Ask{Revision: f.Revision()})
	if err != nil {
		return nil, err
	}
	b.options.Meter.Counter("bundle.fetched_bytes").Inc(int64(len(file.Gzip)))
	return file.Unpack()
}

func (b *Bundles) answerFetch(context.Context, btpeer.Identity, btannounce.Ask) (btannounce.File, error) {
	now := b.current.Load()
	if now == nil {
		return btannounce.File{}, nil
	}
	file := now.file()
	b.options.Meter.Counter("bundle.served_bytes").Inc(int64(len(file.Gzip)))
	return file, nil
}

// endpoint returns where a peer is reached, by the first of: the bundle in
// force, the service's value, the seeds.
func (b *Bundles) endpoint(peer btbundle.Peer) (btpeer.Endpoint, bool) {
	for _, known := range []*btbundle.Approved{b.Current(), b.bootstrap()} {
		if known == nil {
			continue
		}
		if to, found := EndpointOf(known.Index, peer); found {
			return to, true
		}
	}
	for _, e := range b.options.Seeds {
		if btbundle.Peer(e.Identity.String()) == peer {
			return e, true
		}
	}
	return btpeer.Endpoint{}, false
}
