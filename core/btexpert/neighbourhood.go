package btexpert

import "slices"

// visitChanges calls visit for each promising change that takes work from the hot
// rank: adding a replica elsewhere, moving an expert, swapping two experts or
// removing a replica. A change that would leave the receiving rank as slow as the
// hot one is skipped. Visit must restore the search's state.
func (y *layerSearch) visitChanges(hot Rank, visit func(c change)) {
	// Evaluating a change reorders the lists, so a copy is iterated over.
	for _, e := range slices.Clone(y.held[hot]) {
		if len(y.holders[e]) > 1 {
			visit(newChange(0, replicaEdit{rank: hot, expert: e}))
		}
		for r := range Rank(y.shape.Ranks) {
			if r != hot && !y.holds(r, e) {
				y.visitChangesTo(hot, r, e, visit)
			}
		}
	}
}

// replicaLoad returns the load of one of an expert's replicas, given their number.
func (y *layerSearch) replicaLoad(e Expert, replicas int) float64 {
	return y.demand.load[e] / float64(replicas)
}

// visitChangesTo visits the changes that bring an expert of the hot rank to rank r,
// which lacks it.
func (y *layerSearch) visitChangesTo(hot, r Rank, e Expert, visit func(c change)) {
	dropHot := replicaEdit{rank: hot, expert: e}
	add := replicaEdit{rank: r, expert: e, add: true}
	replicas := len(y.holders[e])
	// spareWork is the work that r can take before it is as slow as the hot rank.
	spareWork := (y.times[hot] - y.times[r]) * y.demand.speeds[r]
	movedLoad := y.replicaLoad(e, replicas)
	sharedLoad := y.replicaLoad(e, replicas+1)
	if !y.full(r) && sharedLoad < spareWork {
		visit(newChange(1, add))
		visit(newChange(1, add, dropHot))
	}
	for _, f := range slices.Clone(y.held[r]) {
		otherLoad := y.replicaLoad(f, len(y.holders[f]))
		dropOther := replicaEdit{rank: r, expert: f}
		redundant := len(y.holders[f]) > 1
		if redundant && sharedLoad-otherLoad < spareWork {
			visit(newChange(1, dropOther, add))
		}
		if redundant && movedLoad-otherLoad < spareWork {
			visit(newChange(1, dropOther, add, dropHot))
		}
		if otherLoad < movedLoad && movedLoad-otherLoad < spareWork && !y.holds(hot, f) {
			addOther := replicaEdit{rank: hot, expert: f, add: true}
			visit(newChange(2, dropHot, dropOther, add, addOther))
		}
	}
}

const (
	// hotRanks is how many of the slowest ranks are searched for a change.
	hotRanks = 3
	// minProgress is the least share of the potential that a change must save.
	minProgress = 1e-4
	// dropTransfers is the number of transfers charged to a change that moves no
	// weights, so that its gain per transfer is finite.
	dropTransfers = 0.25
)

// bestChange returns the change with the best gain per transfer that relieves the
// slowest rank or, if there is none, one of the next slowest.
func (y *layerSearch) bestChange() (change, bool) {
	start := y.potential()
	minSaved := start * minProgress
	var found change
	for _, hot := range y.hottest(hotRanks) {
		bestScore := 0.0
		y.visitChanges(hot, func(c change) {
			saved := start - y.evaluate(c)
			score := saved / max(float64(c.transfers), dropTransfers)
			if saved > minSaved && score > bestScore {
				bestScore = score
				found = c
			}
		})
		if bestScore > 0 {
			return found, true
		}
	}
	return change{}, false
}
