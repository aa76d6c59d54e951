package btretry_test

// injectFaults starts, stops, freezes and partitions entries.
func (f *modelFleet) injectFaults(l modelLoad) {
	if f.random.Float64() < l.faults/modelSteps {
		share := f.random.Float64()
		kind := f.random.IntN(4)
		length := f.random.IntN(2 * settleSteps)
		for _, e := range f.entries {
			if f.random.Float64() < share {
				f.injectFault(e, kind, length)
			}
		}
	}
	if l.shifts && f.random.IntN(stepsPerWindow) == 0 {
		for _, e := range f.entries {
			e.weight = f.random.ExpFloat64()
		}
	}
	if l.faults > 0 && f.random.IntN(2*modelSteps) == 0 {
		f.entries = append(f.entries, newModelEntry(f.step))
	}
}

// injectFault stops an entry, which restarts immediately or later, freezes it, or partitions
// it from the others.
func (f *modelFleet) injectFault(e *modelEntry, kind, length int) {
	switch kind {
	case 0, 1:
		e.budget = nil
		e.startedAt = f.step + 1 + length*kind/2
	case 2:
		e.frozenUntil = f.step + length
	case 3:
		e.partitionedUntil = f.step + length
	}
}

func (f *modelFleet) running(e *modelEntry) bool { return f.step >= e.startedAt }

// reachable reports whether an entry exchanges messages with others.
func (f *modelFleet) reachable(e *modelEntry) bool {
	return f.running(e) && f.step >= e.frozenUntil && f.step >= e.partitionedUntil
}

// updateViews starts entries and updates each entry's view of the fleet.
func (f *modelFleet) updateViews() {
	known := 0
	for _, e := range f.entries {
		if f.reachable(e) && f.step-e.startedAt >= discoverySteps {
			e.lastSeen = f.step
		}
		if f.step-e.lastSeen <= expirySteps {
			known++
		}
	}
	for _, e := range f.entries {
		if !f.running(e) || f.step < e.frozenUntil {
			continue
		}
		if e.budget == nil {
			e.budget = f.newBudget(f.now(), f)
			e.settledFrom = f.step + settleSteps
		}
		if e.frozenUntil == f.step && f.step > 0 {
			e.settledFrom = max(e.settledFrom, f.step+settleSteps)
		}
		if !f.reachable(e) {
			// A partitioned entry receives nothing, and isn't settled if it knew no other.
			if f.step-e.startedAt < settleSteps || e.settledFrom > f.step {
				e.settledFrom = max(e.settledFrom, e.partitionedUntil+settleSteps)
			}
			e.budget.update(f.now(), 1, f.step >= e.settledFrom)
			continue
		}
		e.budget.update(f.now(), max(known, 1), f.step >= e.settledFrom)
		f.join(e)
	}
}

// join lets an entry that isn't settled contact up to three others.
func (f *modelFleet) join(e *modelEntry) {
	budget, takesSlack := e.budget.(*allotted)
	if !takesSlack || budget.allotment.Settled() || f.step < 0 {
		return
	}
	for range 3 {
		other := f.entries[f.random.IntN(len(f.entries))]
		if sender, running := other.budget.(*allotted); running && other != e && f.reachable(other) {
			budget.join(f.now(), sender)
		}
	}
}

// sendRequests sends the requests of a step, and retries those that fail as far as the
// budgets allow.
func (f *modelFleet) sendRequests(l modelLoad) {
	perStep, failing := l.perStep, l.failing
	// In some seconds many requests fail, in others none.
	phase := f.step * 4 / stepsPerWindow % 16
	failing *= []float64{0, 0, 0, 0, 1, 1, 1, 1, 1, 0, 0, 1, 0, 0, 1, 1}[phase]
	if l.shifts {
		// Clients arrive and leave within seconds.
		perStep *= []float64{1, 1, 1, 1, 1, 3, 0.1, 0, 1, 1, 0.3, 0.2, 1, 1, 0, 0.1}[phase]
	}
	total := 0.0
	for _, e := range f.entries {
		if e.budget != nil && f.step >= e.frozenUntil {
			total += e.weight
		}
	}
	if total == 0 {
		return
	}
	for _, e := range f.entries {
		if e.budget == nil || f.step < e.frozenUntil {
			continue
		}
		mean := perStep * e.weight / total
		n := int(mean)
		if f.random.Float64() < mean-float64(n) {
			n++
		}
		for range n {
			e.budget.countRequest(f.now())
			f.requests[f.step]++
		}
		wanted := 0
		for range n {
			if f.random.Float64() < failing {
				wanted++
			}
		}
		if l.bursts && failing > 0 && f.random.IntN(stepsPerWindow/2) == 0 {
			// Many running requests fail at once.
			wanted += 100
		}
		f.retry(e, wanted)
	}
}

func (f *modelFleet) retry(e *modelEntry, wanted int) {
	for range wanted {
		if !e.budget.take(f.now()) {
			f.refused++
			continue
		}
		f.retries[f.step]++
	}
}
