package btrate_test

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"bilberrytide/core/btrate"
	"bilberrytide/core/btrendezvous"
)

// byShares is the way that is used.
type byShares struct {
	r         *replay
	registers map[*replayEntry]*btrate.Register
	shares    map[*replayEntry]*btrate.Shares
}

func newByShares(r *replay) way {
	w := &byShares{r: r, registers: make(map[*replayEntry]*btrate.Register), shares: make(map[*replayEntry]*btrate.Shares)}
	for _, e := range r.entries {
		// All but those that are added later have run for long.
		w.restart(-time.Minute, e)
	}
	return w
}

func (w *byShares) restart(now time.Duration, e *replayEntry) {
	w.shares[e] = btrate.NewShares(e.address, start.Add(now))
	w.registers[e] = btrate.New(w.shares[e], rand.New(rand.NewPCG(w.r.random.Uint64(), 3)))
	w.registers[e].Heard(start.Add(now), start.Add(now), limited, named(w.r.rate))
}

func (w *byShares) look(now time.Duration, e *replayEntry, others []netip.AddrPort) {
	if now == 0 {
		// Of old they have looked all the time.
		w.shares[e].Observe(start.Add(now-time.Second), others)
		for at := -time.Minute; at < 0; at += time.Second {
			w.shares[e].Observe(start.Add(at), others)
		}
	}
	w.shares[e].Observe(start.Add(now), others)
}

func (w *byShares) send(now time.Duration, e *replayEntry) bool {
	if w.registers[e].Wait(start.Add(now), limited) > 0 {
		return false
	}
	w.registers[e].Take(limited)
	return true
}

func (w *byShares) messages() int { return 0 }

// simpleBucket is a token bucket as others have it.
type simpleBucket struct {
	tokens, depth float64
	at            time.Duration
}

func (b *simpleBucket) take(now time.Duration, perSecond float64) bool {
	b.tokens = min(b.tokens+perSecond*(now-b.at).Seconds(), b.depth)
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// byOwnBucket has each entry keep to the rate, or to an even part of it, by itself.
type byOwnBucket struct {
	r       *replay
	even    bool
	empty   bool
	buckets map[*replayEntry]*simpleBucket
	count   map[*replayEntry]int
}

func (w *byOwnBucket) restart(now time.Duration, e *replayEntry) {
	b := &simpleBucket{tokens: 1, depth: 1, at: now}
	if w.empty {
		b.tokens = w.r.random.Float64()
	}
	w.buckets[e] = b
	w.count[e] = 1
}

func (w *byOwnBucket) look(_ time.Duration, e *replayEntry, others []netip.AddrPort) {
	w.count[e] = len(others) + 1
}

func (w *byOwnBucket) send(now time.Duration, e *replayEntry) bool {
	rate := w.r.rate
	if w.even {
		rate /= float64(w.count[e])
	}
	return w.buckets[e].take(now, rate)
}

func (w *byOwnBucket) messages() int { return 0 }

func newByOwnBucket(even, empty bool) func(r *replay) way {
	return func(r *replay) way {
		w := &byOwnBucket{r: r, even: even, empty: empty, buckets: make(map[*replayEntry]*simpleBucket), count: make(map[*replayEntry]int)}
		for _, e := range r.entries {
			w.restart(0, e)
		}
		return w
	}
}

const (
	// askLost is how long an entry waits that got no answer from the one that grants, and
	// grantAfter how long one waits that has come to be it.
	askLost    = time.Second
	grantAfter = 6 * time.Second
	// asksPerGrant is how often entries ask for each request that the rate allows.
	asksPerGrant = 10
)

// byGranter has one entry, the first by rendezvous hashing, grant each request.
type byGranter struct {
	r       *replay
	buckets map[string]*simpleBucket
	// since is from when an entry takes itself for the one that grants.
	since  map[string]time.Duration
	by     map[*replayEntry]string
	asks   map[*replayEntry]time.Duration
	known  map[*replayEntry]int
	asked  int
	byName map[string]*replayEntry
}

func newByGranter(r *replay) way {
	w := &byGranter{
		r: r, buckets: make(map[string]*simpleBucket), since: make(map[string]time.Duration), by: make(map[*replayEntry]string),
		asks: make(map[*replayEntry]time.Duration), known: make(map[*replayEntry]int), byName: make(map[string]*replayEntry),
	}
	for _, e := range r.entries {
		w.byName[e.address.String()] = e
	}
	return w
}

func (w *byGranter) restart(now time.Duration, e *replayEntry) {
	delete(w.buckets, e.address.String())
	delete(w.since, e.address.String())
	w.known[e] = 1
	w.asks[e] = now + replayRound
}

func (w *byGranter) look(now time.Duration, e *replayEntry, others []netip.AddrPort) {
	names := []string{e.address.String()}
	for _, o := range others {
		names = append(names, o.String())
	}
	w.by[e], _ = btrendezvous.First("limited", names)
	w.known[e] = len(names)
	own := names[0]
	switch {
	case w.by[e] != own:
		delete(w.since, own)
		delete(w.buckets, own)
	case w.buckets[own] == nil:
		w.since[own] = now
		if now == 0 {
			w.since[own] = -grantAfter
		}
		w.buckets[own] = &simpleBucket{depth: 1.2, at: now}
	}
}

func (w *byGranter) send(now time.Duration, e *replayEntry) bool {
	if now < w.asks[e] {
		return false
	}
	w.asked += 2
	by := w.byName[w.by[e]]
	if by == nil || by.still || by != e && (by.cut || e.cut) {
		w.asks[e] = now + askLost
		return false
	}
	b := w.buckets[w.by[e]]
	// One that knows less than half of the entries doesn't grant.
	if b == nil || now < w.since[w.by[e]]+grantAfter || 2*w.known[by] < w.r.size.entries {
		w.asks[e] = now + askLost
		return false
	}
	if b.take(now, w.r.rate) {
		return true
	}
	mean := float64(w.known[e]) / (asksPerGrant * w.r.rate)
	w.asks[e] = now + time.Duration(2*w.r.random.Float64()*mean*float64(time.Second))
	return false
}

func (w *byGranter) messages() int { return w.asked }
