package btexpert

// fastChange places an expert of source on dest, and removes it from source if
// moved. It removes the evicted expert from dest if evicts is set, and places that
// on source if swapped.
type fastChange struct {
	source, dest Rank
	expert       Expert
	moved        bool
	evicted      Expert
	evicts       bool
	swapped      bool
}

// bestChange returns the change with the largest net gain, and that gain; a gain of
// zero means that there is none.
func (y *fastLayer) bestChange(source Rank, before float64) (fastChange, float64) {
	s := fastSearch{layer: y, before: before, slots: y.shape.Slots}
	first := max(len(y.byTime)-fastDestRanks, 0)
	// Evaluating a change removes experts and appends them again, so a copy of the
	// list is iterated over.
	var copied [maxFastSlots]Expert
	for _, e := range copied[:copy(copied[:], y.held[source])] {
		for _, dest := range y.byTime[first:] {
			if dest != source && !y.has[y.at(dest, e)] {
				s.visitChanges(source, dest, e)
			}
		}
	}
	return s.best, s.gain
}

// fastSearch keeps the best change found.
type fastSearch struct {
	layer  *fastLayer
	before float64
	slots  int
	best   fastChange
	gain   float64
}

// evaluate computes the net gain of a change and keeps the change if it is the
// best.
func (s *fastSearch) evaluate(c fastChange) {
	y := s.layer
	transfers := y.countTransfers(c)
	if transfers < 0 {
		return
	}
	y.apply(c)
	netGain := s.before - y.norm() - float64(transfers)*y.limits.TransferCost
	y.revert(c)
	if netGain > s.gain {
		s.best = c
		s.gain = netGain
	}
}

// visitChanges evaluates the changes that bring an expert of source to dest.
func (s *fastSearch) visitChanges(source, dest Rank, e Expert) {
	y := s.layer
	if len(y.held[dest]) < s.slots {
		s.evaluate(fastChange{source: source, dest: dest, expert: e})
		s.evaluate(fastChange{source: source, dest: dest, expert: e, moved: true})
	}
	var copied [maxFastSlots]Expert
	for _, evicted := range copied[:copy(copied[:], y.held[dest])] {
		if len(y.holders[evicted]) > 1 {
			s.evaluate(fastChange{source: source, dest: dest, expert: e, evicted: evicted, evicts: true})
			s.evaluate(fastChange{source: source, dest: dest, expert: e, moved: true, evicted: evicted, evicts: true})
		}
		if !y.has[y.at(source, evicted)] {
			s.evaluate(fastChange{source: source, dest: dest, expert: e, moved: true, evicted: evicted, evicts: true, swapped: true})
		}
	}
}

// maxFastSlots is how many of a rank's experts are considered.
const maxFastSlots = 32
