package btroute

import "math/rand/v2"

// RoundRobin is a baseline: each candidate in turn.
type RoundRobin[C any] struct{ next int }

// Random is a baseline: any candidate.
type Random[C any] struct{ source *rand.Rand }

// LeastReported is a baseline: the least load by the last report, the first of
// equals after a random start.
type LeastReported[C any] struct {
	source *rand.Rand
	load   func(C) int
}

var (
	_ Policy[int] = (*RoundRobin[int])(nil)
	_ Policy[int] = (*Random[int])(nil)
	_ Policy[int] = (*LeastReported[int])(nil)
)

// NewRoundRobin returns the baseline, starting after the given number of turns.
func NewRoundRobin[C any](turns int) *RoundRobin[C] { return &RoundRobin[C]{next: turns} }

// NewRandom returns the baseline.
func NewRandom[C any](source rand.Source) *Random[C] { return &Random[C]{source: rand.New(source)} }

// NewLeastReported returns the baseline for the given load.
func NewLeastReported[C any](source rand.Source, load func(C) int) *LeastReported[C] {
	return &LeastReported[C]{source: rand.New(source), load: load}
}

// Choose returns the next candidate in turn.
func (r *RoundRobin[C]) Choose(_ *Query, candidates []C) int {
	r.next++
	return r.next % len(candidates)
}

// Choose returns any candidate.
func (r *Random[C]) Choose(_ *Query, candidates []C) int { return r.source.IntN(len(candidates)) }

// Choose returns the candidate of the least reported load.
func (r *LeastReported[C]) Choose(_ *Query, candidates []C) int {
	start := r.source.IntN(len(candidates))
	best := start
	for i := range candidates {
		j := (start + i) % len(candidates)
		if r.load(candidates[j]) < r.load(candidates[best]) {
			best = j
		}
	}
	return best
}
