package btroute

import (
	"math/rand/v2"
	"time"
)

// Query is what a policy knows of the request being placed.
type Query struct {
	Now    time.Time
	Tokens int
	// Prefixes are the hashes of the prompt's prefix chain, shortest first.
	Prefixes []uint64
	// InRegion is how many candidates are in the entry's region; they come first in
	// the list.
	InRegion int
}

// Policy chooses one of several candidates.
type Policy[C any] interface {
	// Choose returns the index of a candidate; the list is never empty.
	Choose(query *Query, candidates []C) int
}

// samplingPolicy is the policy in use. It samples some candidates by rendezvous
// hashing of the prompt's prefixes and some at random, and takes the one of lowest
// cost.
type samplingPolicy[C any] struct {
	affinitySamples int
	randomSamples   int
	rng             *rand.Rand
	hash            func(C) uint64
	cost            func(*Query, C) time.Duration

	// Scratch space of rendezvous, one element per affinity key.
	keys, weights []uint64
	best          []int
}

var _ Policy[int] = (*samplingPolicy[int])(nil)

// newSamplingPolicy returns a samplingPolicy. The hash identifies a candidate and
// must be the same at every entry; the cost is its expected time to first token
// with penalties.
func newSamplingPolicy[C any](affinity, random int, source rand.Source, hash func(C) uint64, cost func(*Query, C) time.Duration) *samplingPolicy[C] {
	return &samplingPolicy[C]{
		affinitySamples: affinity,
		randomSamples:   max(random, 1),
		rng:             rand.New(source),
		hash:            hash,
		cost:            cost,
		keys:            make([]uint64, affinity),
		weights:         make([]uint64, affinity),
		best:            make([]int, affinity),
	}
}

// Choose returns the sampled candidate with the lowest cost.
func (s *samplingPolicy[C]) Choose(query *Query, candidates []C) int {
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
	for range s.randomSamples - 1 {
		consider(s.randomIndex(query, len(candidates)))
	}
	inRegion := candidates
	if query.InRegion > 0 {
		inRegion = candidates[:query.InRegion]
	}
	for _, i := range s.rendezvous(query.Prefixes, inRegion) {
		consider(i)
	}
	return best
}

// randomIndex returns a random candidate. Seven of eight draws are restricted to
// the entry's region, if it has candidates.
func (s *samplingPolicy[C]) randomIndex(query *Query, count int) int {
	if query.InRegion > 0 && s.rng.Uint32()&7 != 0 {
		return s.rng.IntN(query.InRegion)
	}
	return s.rng.IntN(count)
}

// affinityKey returns the i-th affinity key, which is the prefix of 2^i chunks.
// Prompts that share a prefix of any length therefore share all keys within it. A
// key beyond the end of the chain is the longest prefix.
func affinityKey(prefixes []uint64, i int) uint64 {
	return prefixes[min(1<<i, len(prefixes))-1]
}

// rendezvous returns, for each affinity key, the index of the candidate with the
// highest rendezvous weight. All keys are evaluated in one pass, because there are
// many candidates.
func (s *samplingPolicy[C]) rendezvous(prefixes []uint64, candidates []C) []int {
	count := min(s.affinitySamples, len(prefixes))
	keys, best, weights := s.keys[:count], s.best[:count], s.weights[:count]
	for k := range keys {
		keys[k], best[k], weights[k] = affinityKey(prefixes, k), 0, 0
	}
	for i, c := range candidates {
		hash := s.hash(c)
		for k, key := range keys {
			if w := fmix64(key ^ hash); w > weights[k] {
				best[k], weights[k] = i, w
			}
		}
	}
	return best
}

// fmix64 is the finaliser of MurmurHash3. It spreads the bits of two hashes that
// were combined by XOR.
func fmix64(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
