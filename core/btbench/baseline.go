package btbench

import (
	"math/rand/v2"

	"bilberrytide/core/btroute"
)

// candidate is an element of the list from which a router's policy chooses.
type candidate = *btroute.Candidate

// roundRobin is a baseline policy that chooses candidates in turn.
type roundRobin struct{ next int }

// random is a baseline policy that chooses a uniformly random candidate.
type random struct{ source *rand.Rand }

// leastReported is a baseline policy that chooses the candidate with the least load in
// its last report. Ties go to the first one after a random start.
type leastReported struct{ source *rand.Rand }

var (
	_ btroute.Policy[candidate] = (*roundRobin)(nil)
	_ btroute.Policy[candidate] = (*random)(nil)
	_ btroute.Policy[candidate] = (*leastReported)(nil)
)

// newRoundRobin returns a round robin that starts at a different candidate per entry.
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

// Choose returns a random candidate.
func (r *random) Choose(_ *btroute.Query, candidates []candidate) int {
	return r.source.IntN(len(candidates))
}

// Choose returns the candidate with the least reported load.
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

// reported returns the running and waiting requests of the candidate's last report.
func reported(c candidate) int {
	report, _ := c.Load().Report()
	return report.Running + report.Waiting
}
