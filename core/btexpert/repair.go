package btexpert

// repair adds replicas of experts whose load per replica exceeds the least possible
// maximum by more than the tolerance, in place of replicas that are needed less. It
// returns the number of transfers.
func (y *layerSearch) repair(tolerance float64) int {
	wanted := replicaCounts(y.shape, y.demand.load)
	limit := 0.0
	for e, n := range wanted {
		limit = max(limit, y.replicaLoad(Expert(e), n))
	}
	limit *= 1 + tolerance
	transfers := 0
	for range maxChanges(y.shape) {
		e := y.hottestExpert()
		if y.replicaLoad(e, len(y.holders[e])) <= limit || !y.addReplica(e, limit) {
			break
		}
		transfers++
	}
	y.recompute()
	return transfers
}

// hottestExpert returns the expert with the largest load per replica.
func (y *layerSearch) hottestExpert() Expert {
	hottest := Expert(0)
	most := -1.0
	for e, ranks := range y.holders {
		if share := y.replicaLoad(Expert(e), len(ranks)); share > most {
			most = share
			hottest = Expert(e)
		}
	}
	return hottest
}

// addReplica adds a replica of the expert on the rank that is fastest with it, in a
// free slot or in place of a replica whose expert stays within the limit. It
// reports whether there is such a rank.
func (y *layerSearch) addReplica(e Expert, limit float64) bool {
	share := y.replicaLoad(e, len(y.holders[e])+1)
	var found change
	best := 0.0
	consider := func(t float64, c change) {
		if found.count == 0 || t < best {
			best = t
			found = c
		}
	}
	for r := range Rank(y.shape.Ranks) {
		if y.holds(r, e) {
			continue
		}
		add := replicaEdit{rank: r, expert: e, add: true}
		if !y.full(r) {
			consider(y.times[r]+share/y.demand.speeds[r], newChange(1, add))
			continue
		}
		for _, f := range y.held[r] {
			n := len(y.holders[f])
			if n < 2 || y.replicaLoad(f, n-1) > limit {
				continue
			}
			t := y.times[r] + (share-y.replicaLoad(f, n))/y.demand.speeds[r]
			consider(t, newChange(1, replicaEdit{rank: r, expert: f}, add))
		}
	}
	if found.count == 0 {
		return false
	}
	y.evaluations++
	for _, p := range found.edits[:found.count] {
		y.applyEdit(p)
	}
	return true
}
