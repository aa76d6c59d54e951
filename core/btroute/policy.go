package btroute

import (
	"math/rand/v2"
	"time"
)

// Query is what a policy may know of a request.
type Query struct {
	Now    time.Time
	Tokens int
	// Prefixes is the prompt's prefix chain, shortest first.
	Prefixes []uint64
	// InRegion is how many candidates, from the start of the list, are in the
	// entry's own region.
	InRegion int
}

// Policy chooses one of several candidates.
type Policy[C any] interface {
	// Choose returns the index of a candidate. There is at least one.
	Choose(query *Query, candidates []C) int
}

// sampled is the policy in use: it samples a few candidates by rendezvous order
// on the prompt's prefixes and a few at random, and takes the cheapest.
type sampled[C any] struct {
	affinity int
	random   int
	source   *rand.Rand
	hash     func(C) uint64
	cost     func(*Query, C) time.Duration

	// Scratch space of rendezvous, one place per key.
	keys, weights []uint64
	best          []int
}

var _ Policy[int] = (*sampled[int])(nil)

// newSampled returns the policy. The hash identifies a candidate alike at every
// entry; the cost is its expected time to the first token.
func newSampled[C any](affinity, random int, source rand.Source, hash func(C) uint64, cost func(*Query, C) time.Duration) *sampled[C] {
	return &sampled[C]{
		affinity: affinity,
		random:   max(random, 1),
		source:   rand.New(source),
		hash:     hash,
		cost:     cost,
		keys:     make([]uint64, affinity),
		weights:  make([]uint64, affinity),
		best:     make([]int, affinity),
	}
}

// Choose returns the cheapest of the sampled candidates.
func (s *sampled[C]) Choose(query *Query, candidates []C) int {
	best := s.randomIndex(query, len(candidates))
	bestCost := s.cost(query, candidates[best])
	consider := func(i int) {
		if i == best {
			return
		}
		if cost := s.cost(query, candidates[i]); cost < bestCost {
			best, bestCost = i, cost
		}
	}
	for range s.random - 1 {
		consider(s.randomIndex(query, len(candidates)))
	}
	near := candidates
	if query.InRegion > 0 {
		near = candidates[:query.InRegion]
	}
	for _, i := range s.rendezvous(query.Prefixes, near) {
		consider(i)
	}
	return best
}

// randomIndex prefers the entry's own region: only one draw in eight leaves it.
func (s *sampled[C]) randomIndex(query *Query, count int) int {
	if query.InRegion > 0 && s.source.Uint32()&7 != 0 {
		return s.source.IntN(query.InRegion)
	}
	return s.source.IntN(count)
}

// affinityKey returns the i-th key: the prefixes of 1, 2, 4, 8 ... chunks, so
// that prompts with a common start of any length share all but the last keys;
// a key beyond the chain falls back on the longest prefix.
func affinityKey(prefixes []uint64, i int) uint64 {
	return prefixes[min(1<<i, len(prefixes))-1]
}

// rendezvous returns, for each affinity key, the index of the candidate of the
// highest random weight. One pass serves all keys, as the candidates are many.
func (s *sampled[C]) rendezvous(prefixes []uint64, candidates []C) []int {
	count := min(s.affinity, len(prefixes))
	keys, best, weights := s.keys[:count], s.best[:count], s.weights[:count]
	for k := range keys {
		keys[k], best[k], weights[k] = affinityKey(prefixes, k), 0, 0
	}
	for i, c := range candidates {
		hash := s.hash(c)
		for k, key := range keys {
			if w := mix(key ^ hash); w > weights[k] {
				best[k], weights[k] = i, w
			}
		}
	}
	return best
}

// mix is the finaliser of MurmurHash3, which spreads the bits of two hashes
// that were combined by exclusive or.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
