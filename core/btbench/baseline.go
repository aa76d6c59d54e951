package btbench

import (
	"math/rand/v2"

	"bilberrytide/core/btroute"
)

// candidate is what a router's policy chooses from.
type candidate = *btroute.Candidate

// roundRobin is a baseline: each candidate in turn.
type roundRobin struct{ next int }

// random is a baseline: any candidate.
type random struct{ source *rand.Rand }

// leastReported is a baseline: the least load by the last report, the first of
// equals after a random start.
type leastReported struct{ source *rand.Rand }

var (
	_ btroute.Policy[candidate] = (*roundRobin)(nil)
	_ btroute.Policy[candidate] = (*random)(nil)
	_ btroute.Policy[candidate] = (*leastReported)(nil)
)

// newRoundRobin starts each entry at another turn.
func newRoundRobin(entry int, _ rand.Source) btroute.Policy[candidate] {
	return &roundRobin{next: entry}
}

func newRandom(_ int, source rand.Source) btroute.Policy[candidate] {
	return &random{source: rand.New(source)}
}

func newLeastReported(_ int, source rand.Source) btroute.Policy[candidate] {
	return &leastReported{source: rand.New(source)}
}

// Choose returns the next candidate in turn.
func (r *roundRobin) Choose(_ *btroute.Query, candidates []candidate) int {
	r.next++
	return r.next % len(candidates)
}

// Choose returns any candidate.
func (r *random) Choose(_ *btroute.Query, candidates []candidate) int {
	return r.source.IntN(len(candidates))
}

// Choose returns the candidate of the least reported load.
func (l *leastReported) Choose(_ *btroute.Query, candidates []candidate) int {
	start := l.source.IntN(len(candidates))
	best := start
	for i := range candidates {
		j := (start + i) % len(candidates)
		if reported(candidates[j]) < reported(candidates[best]) {
			best = j
		}
	}
	return best
}

// reported is how many requests the candidate's last report counts.
func reported(c candidate) int {
	report, _ := c.Load().Report()
	return report.Running + report.Waiting
}
