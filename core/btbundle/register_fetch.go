package btbundle

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// peerState is what a register knows about one peer.
type peerState struct {
	announced   Revision
	announcedAt time.Time
	// failures counts failures in a row; the peer is not queried before retryAt.
	failures int
	retryAt  time.Time
	// requested is the revision of the fetch in flight; zero for none.
	requested     Revision
	fetchDeadline time.Time
}

func (p *peerState) fetching() bool { return p.requested != Revision{} }

func (r *Register) onAnnounced(e Announced) {
	delete(r.startup.unanswered, e.From)
	if e.Version > 0 {
		r.startup.peerHasBundle = true
	}
	p := r.peers[e.From]
	if p == nil {
		p = &peerState{}
		r.peers[e.From] = p
	}
	p.announced = e.Revision()
	p.announcedAt = r.now
}

// completeFetch ends the peer's fetch of that revision. It returns false if no
// such fetch is in flight.
func (r *Register) completeFetch(from Peer, requested Revision) bool {
	p := r.peers[from]
	if p == nil || !p.fetching() || p.requested != requested {
		return false
	}
	p.requested = Revision{}
	return true
}

func (r *Register) onFetchFailed(e FetchFailed) {
	if !r.completeFetch(e.From, e.Requested) {
		return
	}
	r.refuse(ReasonFetchFailed, e.Err, Source{Peer: e.From})
	r.backOff(e.From)
}

// backOff stops fetches from the peer for a time that doubles with each failure
// in a row, and discards its announcement.
func (r *Register) backOff(name Peer) {
	p := r.peers[name]
	if p == nil {
		return
	}
	pause := r.config.Backoff << min(p.failures, 16)
	pause = min(pause, r.config.BackoffMax)
	jitter := time.Duration(r.random.Int64N(int64(pause) + 1))
	p.failures++
	p.retryAt = r.now.Add(pause/2 + jitter)
	p.announced = Revision{}
}

// expirePeers times out fetches and deletes peers that have announced nothing
// for longer than AnnouncementTTL.
func (r *Register) expirePeers() {
	for _, name := range slices.Sorted(maps.Keys(r.peers)) {
		p := r.peers[name]
		if p.fetching() && !r.now.Before(p.fetchDeadline) {
			p.requested = Revision{}
			r.refuse(ReasonFetchTimeout, nil, Source{Peer: name})
			r.backOff(name)
		}
		if !p.fetching() && r.now.Sub(p.announcedAt) > r.config.AnnouncementTTL {
			delete(r.peers, name)
		}
	}
}

// highestAnnounced returns the highest revision announced by a peer that may be
// queried now.
func (r *Register) highestAnnounced() Revision {
	var best Revision
	for _, p := range r.peers {
		if !r.now.Before(p.retryAt) && p.announced.Compare(best) > 0 {
			best = p.announced
		}
	}
	return best
}

// startFetches fetches revisions higher than the one in force, the highest
// first and each from one peer at a time. Among the peers that announce a
// revision, it picks one with the fewest failures at random.
func (r *Register) startFetches() {
	requested := map[Revision]bool{}
	for _, p := range r.peers {
		if p.fetching() {
			requested[p.requested] = true
		}
	}
	inFlight := len(requested)
	for _, name := range r.candidates() {
		if inFlight >= r.config.FetchLimit {
			return
		}
		p := r.peers[name]
		if requested[p.announced] {
			continue
		}
		requested[p.announced] = true
		inFlight++
		p.requested = p.announced
		p.fetchDeadline = r.now.Add(r.config.FetchTimeout)
		r.emit(Fetch{From: name, Version: p.requested.Version, Digest: p.requested.Digest})
	}
}

// candidates returns the peers that may be queried: those with the highest
// revision first, then those with the fewest failures, then in random order.
func (r *Register) candidates() []Peer {
	var names []Peer
	for _, name := range slices.Sorted(maps.Keys(r.peers)) {
		p := r.peers[name]
		if !p.fetching() && !r.now.Before(p.retryAt) && p.announced.Compare(r.revision) > 0 {
			names = append(names, name)
		}
	}
	r.random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	slices.SortStableFunc(names, func(a, b Peer) int {
		left := r.peers[a]
		right := r.peers[b]
		return cmp.Or(right.announced.Compare(left.announced), cmp.Compare(left.failures, right.failures))
	})
	return names
}
