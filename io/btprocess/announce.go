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
	// randomEntryRounds is the number of rounds between two exchanges with a random entry
	// instead of a neighbour. They reconnect a graph of neighbours that has become
	// partitioned.
	randomEntryRounds = 30
)

// Announcement returns this process's announcement: the bundle in force and the latest
// reads of the configuration service.
func (b *Bundles) Announcement() btannounce.Announcement {
	return btannounce.Announcement{
		Revision: b.Current().Revision(),
		Reads:    b.latestReads(),
	}
}

// ReceiveAnnouncement records the reads that a peer announced, and passes the announced
// bundle to the register, which fetches it if it is newer.
func (b *Bundles) ReceiveAnnouncement(from btpeer.Identity, a btannounce.Announcement) {
	b.observeReads(a)
	b.loop.Post(btbundle.Announced{Version: a.Revision.Version, Digest: a.Revision.Digest, From: btbundle.Peer(from.String())})
}

func (b *Bundles) observeReads(a btannounce.Announcement) {
	entries := b.localEntries()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.turns.Observe(b.options.Clock(), a)
	if entries != nil {
		b.turns.Retain(entries)
	}
}

// runAnnouncements exchanges announcements with one neighbour in each round, and with
// all of them when a bundle comes into force. A bundle thereby reaches the fleet in a
// number of hops that grows with the logarithm of the fleet's size.
func (b *Bundles) runAnnouncements(ctx context.Context) {
	for ctx.Err() == nil {
		changed := b.Changed()
		if to, found := b.nextPeer(); found {
			go b.exchange(ctx, to)
		}
		if b.awaitRound(ctx, changed) {
			for _, e := range b.neighbours() {
				go b.exchange(ctx, e)
			}
		}
	}
}

// awaitRound waits until the next round is due or a bundle comes into force, and reports
// whether the latter happened.
func (b *Bundles) awaitRound(ctx context.Context, changed <-chan struct{}) bool {
	ctx, cancel := context.WithTimeout(ctx, announceInterval)
	defer cancel()
	select {
	case <-changed:
		return true
	case <-ctx.Done():
		return false
	}
}

// nextPeer returns the peer to exchange announcements with in this round. An agent that
// the bundle lists needs none: its heartbeats announce its bundle in force, and the
// answers to them announce that of the entries.
func (b *Bundles) nextPeer() (btpeer.Endpoint, bool) {
	current := b.Current()
	if current != nil && b.self.Role == btkeys.Agent && b.Listing() != Unlisted {
		return btpeer.Endpoint{}, false
	}
	b.mu.Lock()
	b.round++
	round := b.round
	b.mu.Unlock()
	if current != nil && round%randomEntryRounds == 0 {
		return b.randomEntry(current)
	}
	list := b.neighbours()
	if len(list) == 0 {
		return btpeer.Endpoint{}, false
	}
	return list[round%len(list)], true
}

// randomEntry returns a random entry of the bundle, and false if that is this process.
func (b *Bundles) randomEntry(a *btbundle.Approved) (btpeer.Endpoint, bool) {
	b.mu.Lock()
	e := a.Bundle.Entries[b.random.IntN(len(a.Bundle.Entries))]
	b.mu.Unlock()
	identity := EntryIdentity(e.Name)
	return btpeer.Endpoint{Identity: identity, Address: e.Address}, identity != b.self
}

// neighbours returns the peers that this process exchanges announcements with. While no
// bundle is in force, these are the seeds, and the neighbours in the bundle that the
// configuration service returned.
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
	if bootstrap := b.bootstrapBundle(); bootstrap != nil {
		list = append(list, Neighbours(bootstrap, b.self, b.options.DataCentre)...)
	}
	return list
}

func (b *Bundles) bootstrapBundle() *btbundle.Approved {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bootstrap
}

func (b *Bundles) exchange(ctx context.Context, to btpeer.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	a, err := btpeer.Call[btannounce.Announcement, btannounce.Announcement](ctx, b.options.Node, to, KindAnnounce, b.Announcement())
	if err != nil {
		b.options.Meter.Refused(reasonAnnounceFailed)
		return
	}
	b.ReceiveAnnouncement(to.Identity, a)
}

func (b *Bundles) handleAnnounce(_ context.Context, from btpeer.Identity, a btannounce.Announcement) (btannounce.Announcement, error) {
	b.ReceiveAnnouncement(from, a)
	return b.Announcement(), nil
}

// fetch requests the signed file that a peer announced and posts the result.
func (b *Bundles) fetch(f btbundle.Fetch) {
	raw, err := b.requestFile(f)
	if err != nil {
		b.loop.Post(btbundle.FetchFailed{From: f.From, Requested: f.Revision(), Err: err})
		return
	}
	b.loop.Post(btbundle.Received{Raw: raw, Source: btbundle.Source{Peer: f.From}, Requested: f.Revision()})
}

func (b *Bundles) requestFile(f btbundle.Fetch) ([]byte, error) {
	to, found := b.endpoint(f.From)
	if !found {
		return nil, fmt.Errorf("no address for %s", f.From)
	}
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	file, err := btpeer.Call[btannounce.Ask, btannounce.File](ctx, b.options.Node, to, KindBundle, btannounce.Ask{Revision: f.Revision()})
	if err != nil {
		return nil, err
	}
	b.options.Meter.Counter("bundle.fetched_bytes").Inc(int64(len(file.Gzip)))
	return file.Unpack()
}

func (b *Bundles) handleFetch(context.Context, btpeer.Identity, btannounce.Ask) (btannounce.File, error) {
	installed := b.current.Load()
	if installed == nil {
		return btannounce.File{}, nil
	}
	file := installed.file()
	b.options.Meter.Counter("bundle.served_bytes").Inc(int64(len(file.Gzip)))
	return file, nil
}

// endpoint returns the endpoint of a peer. It looks in the bundle in force, then in the
// bundle that the configuration service returned, then among the seeds.
func (b *Bundles) endpoint(peer btbundle.Peer) (btpeer.Endpoint, bool) {
	for _, known := range []*btbundle.Approved{b.Current(), b.bootstrapBundle()} {
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
