package btexpert

// repair gives more replicas to the experts whose replicas are hotter than the
// least possible by more than the tolerance, and takes them from those that need
// them least. It returns how many experts were loaded.
func (y *layerSearch) repair(tolerance float64) int {
	wanted := replicate(y.shape, y.demand.load)
	limit := 0.0
	for e, n := range wanted {
		limit = max(limit, y.shareAmong(Expert(e), n))
	}
	limit *= 1 + tolerance
	loads := 0
	for range maxChanges(y.shape) {
		e := y.hottestExpert()
		if y.shareAmong(e, len(y.holders[e])) <= limit || !y.replicateOnce(e, limit) {
			break
		}
		loads++
	}
	y.settle()
	return loads
}

// hottestExpert returns the expert whose replicas bear most.
func (y *layerSearch) hottestExpert() Expert {
	hottest := Expert(0)
	most := -1.0
	for e, ranks := range y.holders {
		if share := y.shareAmong(Expert(e), len(ranks)); share > most {
			most = share
			hottest = Expert(e)
		}
	}
	return hottest
}

// replicateOnce adds a replica of the expert on the rank that is fastest with
// it, in a free slot or in place of a replica whose expert stays within the limit.
func (y *layerSearch) replicateOnce(e Expert, limit float64) bool {
	share := y.shareAmong(e, len(y.holders[e])+1)
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
		arrive := placement{rank: r, expert: e, add: true}
		if !y.full(r) {
			consider(y.times[r]+share/y.demand.speeds[r], newChange(1, arrive))
			continue
		}
		for _, f := range y.held[r] {
			n := len(y.holders[f])
			if n < 2 || y.shareAmong(f, n-1) > limit {
				continue
			}
			t := y.times[r] + (share-y.shareAmong(f, n))/y.demand.speeds[r]
			consider(t, newChange(1, placement{rank: r, expert: f}, arrive))
		}
	}
	if found.count == 0 {
		return false
	}
	y.evaluations++
	for _, p := range found.steps[:found.count] {
		y.place(p)
	}
	return true
}
