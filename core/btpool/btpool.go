// Package btpool decides which connections of callers keep their memory and their places
// when a process is short of them, and which are evicted. It decides only; its caller closes
// what is evicted.
package btpool

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// leastRate, in bytes a second, is the rate at which a request has to arrive; what it
	// takes longer is lateness.
	leastRate = 1 << 20
	// smallBytes is the most that a connection may hold to use the last reserveShare of the
	// pool, which larger ones leave to it.
	smallBytes   = 64 << 10
	reserveShare = 0.25
	// spareShare is the share of the connections that may be open beyond the limit while
	// evicted ones are being closed, unless Config.Closing says more.
	spareShare = 1.0 / 16
)

// Config limits a pool. Zero values set no limit.
type Config struct {
	// Bytes is the memory that all connections may hold together.
	Bytes int64
	// Connections is how many may be open.
	Connections int
	// Grace is how late a connection must be before it loses its place to a new one.
	Grace time.Duration
	// Closing is how many evicted connections may be there beyond Connections until their
	// owners have closed them.
	Closing int
	// EvictServed lets a connection lose its place while its request is being answered.
	EvictServed bool
}

// state is what a connection waits for.
type state int

const (
	// waiting: for the first byte of a request.
	waiting state = iota
	// receiving: for the rest of a request.
	receiving
	// serving: for the answer.
	serving
)

// Member is a connection in a pool, with what its owner needs to close it.
type Member[O any] struct {
	Owner O

	state state
	// since is when the state began.
	since time.Time
	// bytes is what the connection holds. kept is the part of it that it holds until it is
	// closed.
	bytes, kept int64
	// received is how much of the present request has arrived, in bytes.
	received int64
	evicted  bool
}

// Receiving reports whether a part of a request has arrived and the rest hasn't.
func (m *Member[O]) Receiving() bool { return m.state == receiving }

// Pool holds the open connections of a process. It isn't safe for concurrent use.
type Pool[O any] struct {
	config  Config
	members map[*Member[O]]struct{}
	// bytes is what all members hold, evictedBytes and evicted the part of those that are
	// being closed.
	bytes, evictedBytes int64
	evicted             int
}

// New returns an empty pool.
func New[O any](c Config) *Pool[O] {
	return &Pool[O]{config: c, members: make(map[*Member[O]]struct{})}
}

// Connections returns the number of open connections, Bytes what they hold.
func (p *Pool[O]) Connections() int { return len(p.members) - p.evicted }

// Bytes returns the memory that the open connections hold.
func (p *Pool[O]) Bytes() int64 { return p.bytes }

// Open adds a connection. If there is no place for it, it gets that of the one that has sent
// nothing, or too little, for longest, which must be closed. It returns nil if no connection
// may lose its place.
func (p *Pool[O]) Open(now time.Time, owner O) (opened, evicted *Member[O]) {
	if limit := p.config.Connections; limit > 0 && p.Connections() >= limit {
		if p.evicted >= max(p.config.Closing, int(spareShare*float64(limit)), 1) {
			return nil, nil
		}
		evicted = p.latest(now)
		if evicted == nil {
			return nil, nil
		}
		p.evict(evicted)
	}
	opened = &Member[O]{Owner: owner, since: now}
	p.members[opened] = struct{}{}
	return opened, evicted
}

// latest returns the member that may lose its place and has been late for longest.
func (p *Pool[O]) latest(now time.Time) *Member[O] {
	var found *Member[O]
	longest := p.config.Grace
	for m := range p.members {
		if late := p.lateness(m, now); late >= longest {
			found, longest = m, late
		}
	}
	return found
}

// lateness returns how long a member has kept the process waiting, or a negative time for
// one that can't be evicted.
func (p *Pool[O]) lateness(m *Member[O], now time.Time) time.Duration {
	if m.evicted || m.state == serving && !p.config.EvictServed {
		return -1
	}
	if p.config.EvictServed {
		// What arrives doesn't matter: no body is expected.
		return now.Sub(m.since)
	}
	needed := time.Duration(float64(m.received) / leastRate * float64(time.Second))
	return now.Sub(m.since) - needed
}

// Close removes a connection. Removing it twice has no effect.
func (p *Pool[O]) Close(m *Member[O]) {
	if _, found := p.members[m]; !found {
		return
	}
	p.add(m, -m.bytes)
	if m.evicted {
		p.evicted--
	}
	delete(p.members, m)
}

// Receive records that bytes of a request have arrived.
func (p *Pool[O]) Receive(now time.Time, m *Member[O], n int) {
	if m.state == waiting {
		m.state, m.since, m.received = receiving, now, 0
	}
	m.received += int64(n)
}

// Serve records that a request has arrived as a whole and is being served. It returns false
// if its connection was evicted before.
func (p *Pool[O]) Serve(now time.Time, m *Member[O]) bool {
	if m.evicted {
		return false
	}
	m.state, m.since, m.received = serving, now, 0
	return true
}

// Finish records that a request has been answered, and releases what it held.
func (p *Pool[O]) Finish(now time.Time, m *Member[O]) {
	m.state, m.since, m.received = waiting, now, 0
	p.add(m, m.kept-m.bytes)
}

// Reserve adds to what a connection holds for its request. If that is more than is left, the
// connections whose requests have taken most memory for longest lose theirs and must be
// closed. It returns false, and evicts none, if that isn't enough.
func (p *Pool[O]) Reserve(now time.Time, m *Member[O], n int64) (evicted []*Member[O], reserved bool) {
	if m.evicted {
		return nil, false
	}
	if p.config.Bytes <= 0 {
		p.add(m, n)
		return nil, true
	}
	limit := p.config.Bytes
	if m.bytes+n > smallBytes {
		limit -= int64(reserveShare * float64(limit))
	}
	short := p.bytes - p.evictedBytes + n - limit
	if short > 0 {
		evicted = p.heaviest(now, m, short)
		if evicted == nil {
			return nil, false
		}
	}
	for _, e := range evicted {
		p.evict(e)
	}
	p.add(m, n)
	return evicted, true
}

// Keep reserves memory until the connection is closed. It evicts none.
func (p *Pool[O]) Keep(m *Member[O], n int64) bool {
	if limit := p.config.Bytes; m.evicted || limit > 0 && p.bytes+n > limit-int64(reserveShare*float64(limit)) {
		return false
	}
	m.kept += n
	p.add(m, n)
	return true
}

// heaviest returns the members that together hold at least so many bytes and weigh most, all
// of them more than the one that needs the bytes; nil if there aren't enough.
func (p *Pool[O]) heaviest(now time.Time, needs *Member[O], bytes int64) []*Member[O] {
	type candidate struct {
		member *Member[O]
		weight float64
	}
	least := math.Max(p.weight(needs, now), 0)
	var candidates []candidate
	for m := range p.members {
		if w := p.weight(m, now); m != needs && w > least {
			candidates = append(candidates, candidate{m, w})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.weight, a.weight) })
	var found []*Member[O]
	for _, c := range candidates {
		if bytes <= 0 {
			break
		}
		found = append(found, c.member)
		bytes -= c.member.bytes
	}
	if bytes > 0 {
		return nil
	}
	return found
}

// weight is the memory that a member holds for the time that it is late, in byte seconds. It
// is negative for one that can't be evicted.
func (p *Pool[O]) weight(m *Member[O], now time.Time) float64 {
	late := p.lateness(m, now)
	if late < 0 {
		return -1
	}
	return float64(m.bytes) * late.Seconds()
}

func (p *Pool[O]) evict(m *Member[O]) {
	m.evicted = true
	p.evicted++
	p.evictedBytes += m.bytes
}

func (p *Pool[O]) add(m *Member[O], n int64) {
	m.bytes += n
	p.bytes += n
	if m.evicted {
		p.evictedBytes += n
	}
}
