package btrate_test

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"bilberrytide/core/btrate"
	"bilberrytide/core/btrendezvous"
)

// sharesStrategy is the strategy of this package.
type sharesStrategy struct {
	r         *simulation
	registers map[*simulatedEntry]*btrate.Register
	shares    map[*simulatedEntry]*btrate.Shares
}

func newSharesStrategy(r *simulation) strategy {
	w := &sharesStrategy{r: r, registers: make(map[*simulatedEntry]*btrate.Register), shares: make(map[*simulatedEntry]*btrate.Shares)}
	for _, e := range r.entries {
		// All entries but those added later have run for a minute.
		w.restart(-time.Minute, e)
	}
	return w
}

func (w *sharesStrategy) restart(now time.Duration, e *simulatedEntry) {
	w.shares[e] = btrate.NewShares(e.address, start.Add(now))
	w.registers[e] = btrate.New(w.shares[e], rand.New(rand.NewPCG(w.r.random.Uint64(), 3)))
	w.registers[e].ObserveAnswer(start.Add(now), start.Add(now), limited, advertise(w.r.rate))
}

func (w *sharesStrategy) observe(now time.Duration, e *simulatedEntry, others []netip.AddrPort) {
	if now == 0 {
		// They have observed each other all the time.
		w.shares[e].ObserveEntries(start.Add(now-time.Second), others)
		for at := -time.Minute; at < 0; at += time.Second {
			w.shares[e].ObserveEntries(start.Add(at), others)
		}
	}
	w.shares[e].ObserveEntries(start.Add(now), others)
}

func (w *sharesStrategy) send(now time.Duration, e *simulatedEntry) bool {
	if w.registers[e].Wait(start.Add(now), limited) > 0 {
		return false
	}
	w.registers[e].Take(limited)
	return true
}

func (w *sharesStrategy) messages() int { return 0 }

// simpleBucket is a plain token bucket.
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

// localStrategy has a separate bucket in each entry for the rate, or for an equal
// fraction of it.
type localStrategy struct {
	r           *simulation
	even        bool
	randomStart bool
	buckets     map[*simulatedEntry]*simpleBucket
	entryCount  map[*simulatedEntry]int
}

func (w *localStrategy) restart(now time.Duration, e *simulatedEntry) {
	b := &simpleBucket{tokens: 1, depth: 1, at: now}
	if w.randomStart {
		b.tokens = w.r.random.Float64()
	}
	w.buckets[e] = b
	w.entryCount[e] = 1
}

func (w *localStrategy) observe(_ time.Duration, e *simulatedEntry, others []netip.AddrPort) {
	w.entryCount[e] = len(others) + 1
}

func (w *localStrategy) send(now time.Duration, e *simulatedEntry) bool {
	rate := w.r.rate
	if w.even {
		rate /= float64(w.entryCount[e])
	}
	return w.buckets[e].take(now, rate)
}

func (w *localStrategy) messages() int { return 0 }

func newLocalStrategy(even, empty bool) func(r *simulation) strategy {
	return func(r *simulation) strategy {
		w := &localStrategy{r: r, even: even, randomStart: empty, buckets: make(map[*simulatedEntry]*simpleBucket), entryCount: make(map[*simulatedEntry]int)}
		for _, e := range r.entries {
			w.restart(0, e)
		}
		return w
	}
}

const (
	// askTimeout is how long an entry waits after a request for a grant without an
	// answer, granterDelay how long a new granter waits.
	askTimeout   = time.Second
	granterDelay = 6 * time.Second
	// asksPerGrant is the number of grant requests per request that the rate allows.
	asksPerGrant = 10
)

// granterStrategy has one entry, the first by rendezvous hashing, grant each request.
type granterStrategy struct {
	r       *simulation
	buckets map[string]*simpleBucket
	// since is when an entry became the granter.
	since        map[string]time.Duration
	granter      map[*simulatedEntry]string
	nextAsk      map[*simulatedEntry]time.Duration
	known        map[*simulatedEntry]int
	messageCount int
	byName       map[string]*simulatedEntry
}

func newGranterStrategy(r *simulation) strategy {
	w := &granterStrategy{
		r: r, buckets: make(map[string]*simpleBucket), since: make(map[string]time.Duration), granter: make(map[*simulatedEntry]string),
		nextAsk: make(map[*simulatedEntry]time.Duration), known: make(map[*simulatedEntry]int), byName: make(map[string]*simulatedEntry),
	}
	for _, e := range r.entries {
		w.byName[e.address.String()] = e
	}
	return w
}

func (w *granterStrategy) restart(now time.Duration, e *simulatedEntry) {
	delete(w.buckets, e.address.String())
	delete(w.since, e.address.String())
	w.known[e] = 1
	w.nextAsk[e] = now + simObserveInterval
}

func (w *granterStrategy) observe(now time.Duration, e *simulatedEntry, others []netip.AddrPort) {
	names := []string{e.address.String()}
	for _, o := range others {
		names = append(names, o.String())
	}
	w.granter[e], _ = btrendezvous.First("limited", names)
	w.known[e] = len(names)
	own := names[0]
	switch {
	case w.granter[e] != own:
		delete(w.since, own)
		delete(w.buckets, own)
	case w.buckets[own] == nil:
		w.since[own] = now
		if now == 0 {
			w.since[own] = -granterDelay
		}
		w.buckets[own] = &simpleBucket{depth: 1.2, at: now}
	}
}

func (w *granterStrategy) send(now time.Duration, e *simulatedEntry) bool {
	if now < w.nextAsk[e] {
		return false
	}
	w.messageCount += 2
	by := w.byName[w.granter[e]]
	if by == nil || by.suspended || by != e && (by.partitioned || e.partitioned) {
		w.nextAsk[e] = now + askTimeout
		return false
	}
	b := w.buckets[w.granter[e]]
	// An entry that knows less than half of the others doesn't grant.
	if b == nil || now < w.since[w.granter[e]]+granterDelay || 2*w.known[by] < w.r.size.entries {
		w.nextAsk[e] = now + askTimeout
		return false
	}
	if b.take(now, w.r.rate) {
		return true
	}
	mean := float64(w.known[e]) / (asksPerGrant * w.r.rate)
	w.nextAsk[e] = now + time.Duration(2*w.r.random.Float64()*mean*float64(time.Second))
	return false
}

func (w *granterStrategy) messages() int { return w.messageCount }
