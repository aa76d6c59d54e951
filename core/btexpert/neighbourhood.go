package btexpert

import "slices"

// changes calls visit for each promising change that takes work from the rank:
// another replica elsewhere, the expert moved, two experts swapped, or a replica
// dropped. A change that would leave the receiving rank as slow as the hot one is
// not promising. Visit must leave the search as it found it.
func (y *layerSearch) changes(hot Rank, visit func(c change)) {
	// Visiting tries changes, which reorders the lists walked here.
	for _, e := range slices.Clone(y.held[hot]) {
		if len(y.holders[e]) > 1 {
			visit(newChange(0, placement{rank: hot, expert: e}))
		}
		for r := range Rank(y.shape.Ranks) {
			if r != hot && !y.holds(r, e) {
				y.changesTo(hot, r, e, visit)
			}
		}
	}
}

// shareAmong returns the load of one replica among so many.
func (y *layerSearch) shareAmong(e Expert, replicas int) float64 {
	return y.demand.load[e] / float64(replicas)
}

// changesTo visits the changes that bring an expert of the hot rank to a rank
// which lacks it.
func (y *layerSearch) changesTo(hot, r Rank, e Expert, visit func(c change)) {
	leave := placement{rank: hot, expert: e}
	arrive := placement{rank: r, expert: e, add: true}
	replicas := len(y.holders[e])
	// spare is the work that the receiving rank can take.
	spare := (y.times[hot] - y.times[r]) * y.demand.speeds[r]
	moved := y.shareAmong(e, replicas)
	shared := y.shareAmong(e, replicas+1)
	if !y.full(r) && shared < spare {
		visit(newChange(1, arrive))
		visit(newChange(1, arrive, leave))
	}
	for _, f := range slices.Clone(y.held[r]) {
		given := y.shareAmong(f, len(y.holders[f]))
		room := placement{rank: r, expert: f}
		redundant := len(y.holders[f]) > 1
		if redundant && shared-given < spare {
			visit(newChange(1, room, arrive))
		}
		if redundant && moved-given < spare {
			visit(newChange(1, room, arrive, leave))
		}
		if given < moved && moved-given < spare && !y.holds(hot, f) {
			back := placement{rank: hot, expert: f, add: true}
			visit(newChange(2, leave, room, arrive, back))
		}
	}
}

const (
	// hotRanks is how many of the slowest ranks are looked at before a search
	// gives up.
	hotRanks = 3
	// leastProgress is the share of the potential that a change must save.
	leastProgress = 1e-4
	// dropLoads stands for the loads of a change that moves no weights, so that
	// its gain a byte is finite.
	dropLoads = 0.25
)

// best returns the change with the best gain a byte that relieves the slowest
// rank, or where none does, one of the next slowest.
func (y *layerSearch) best() (change, bool) {
	start := y.potential()
	least := start * leastProgress
	var found change
	for _, hot := range y.hottest(hotRanks) {
		bestScore := 0.0
		y.changes(hot, func(c change) {
			saved := start - y.try(c)
			score := saved / max(float64(c.loads), dropLoads)
			if saved > least && score > bestScore {
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
