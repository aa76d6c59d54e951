package btbundle

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// peerState is what a register knows of one peer.
type peerState struct {
	announced Revision
	heard     time.Time
	// failures counts in a row; until is when the peer is asked again.
	failures int
	until    time.Time
	// asked is the order of the fetch in flight; zero for none.
	asked    Revision
	deadline time.Time
}

func (p *peerState) inFlight() bool { return p.asked != Revision{} }

func (r *Register) heard(e Announced) {
	delete(r.startup.silent, e.From)
	if e.Version > 0 {
		r.startup.heard = true
	}
	p := r.peers[e.From]
	if p == nil {
		p = &peerState{}
		r.peers[e.From] = p
	}
	p.announced = e.Revision()
	p.heard = r.now
}

// answered ends the peer's fetch of that order; false where none is in flight.
func (r *Register) answered(from Peer, asked Revision) bool {
	p := r.peers[from]
	if p == nil || !p.inFlight() || p.asked != asked {
		return false
	}
	p.asked = Revision{}
	return true
}

func (r *Register) fetchFailed(e FetchFailed) {
	if !r.answered(e.From, e.Requested) {
		return
	}
	r.refuse(ReasonFetchFailed, e.Err, Source{Peer: e.From})
	r.setAside(e.From)
}

// setAside leaves a peer alone for a time that doubles with each failure in a
// row, and forgets what it announced.
func (r *Register) setAside(name Peer) {
	p := r.peers[name]
	if p == nil {
		return
	}
	pause := r.config.Backoff << min(p.failures, 16)
	pause = min(pause, r.config.BackoffMax)
	jitter := time.Duration(r.random.Int64N(int64(pause) + 1))
	p.failures++
	p.until = r.now.Add(pause/2 + jitter)
	p.announced = Revision{}
}

// expire gives up on fetches without an answer and forgets silent peers.
func (r *Register) expire() {
	for _, name := range slices.Sorted(maps.Keys(r.peers)) {
		p := r.peers[name]
		if p.inFlight() && !r.now.Before(p.deadline) {
			p.asked = Revision{}
			r.refuse(ReasonFetchTimeout, nil, Source{Peer: name})
			r.setAside(name)
		}
		if !p.inFlight() && r.now.Sub(p.heard) > r.config.AnnouncementTTL {
			delete(r.peers, name)
		}
	}
}

// highest returns the highest order that a peer in good standing announces.
func (r *Register) highest() Revision {
	var best Revision
	for _, p := range r.peers {
		if !r.now.Before(p.until) && p.announced.Compare(best) > 0 {
			best = p.announced
		}
	}
	return best
}

// fetch asks for what is higher than the bundle in force: the highest first,
// each order from one peer at a time, which chance picks among those that
// announce it.
func (r *Register) fetch() {
	running := map[Revision]bool{}
	for _, p := range r.peers {
		if p.inFlight() {
			running[p.asked] = true
		}
	}
	flights := len(running)
	for _, name := range r.candidates() {
		if flights >= r.config.FetchLimit {
			return
		}
		p := r.peers[name]
		if running[p.announced] {
			continue
		}
		running[p.announced] = true
		flights++
		p.asked = p.announced
		p.deadline = r.now.Add(r.config.FetchTimeout)
		r.emit(Fetch{From: name, Version: p.asked.Version, Digest: p.asked.Digest})
	}
}

// candidates lists the peers worth asking, best first.
func (r *Register) candidates() []Peer {
	var names []Peer
	for _, name := range slices.Sorted(maps.Keys(r.peers)) {
		p := r.peers[name]
		if !p.inFlight() && !r.now.Before(p.until) && p.announced.Compare(r.order) > 0 {
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
