package btexpert

// rapidChange gives target an expert, which leaves the source if moved; another
// expert leaves target for it, if any, and goes to source if exchanged.
type rapidChange struct {
	source, target Rank
	expert         Expert
	moved          bool
	out            Expert
	hasOut         bool
	exchanged      bool
}

// bestChange returns the change that is worth most above its price.
func (y *rapidLayer) bestChange(source Rank, before float64) (rapidChange, float64) {
	s := rapidSearch{layer: y, before: before, slots: y.shape.Slots}
	first := max(len(y.order)-rapidTargets, 0)
	// Trying a change takes experts out and puts them back at the end, so that
	// the lists are walked by copies.
	var copied [maxRapidSlots]Expert
	for _, e := range copied[:copy(copied[:], y.held[source])] {
		for _, target := range y.order[first:] {
			if target != source && !y.has[y.at(target, e)] {
				s.options(source, target, e)
			}
		}
	}
	return s.best, s.gain
}

// rapidSearch keeps the best change seen.
type rapidSearch struct {
	layer  *rapidLayer
	before float64
	slots  int
	best   rapidChange
	gain   float64
}

// try values a change.
func (s *rapidSearch) try(c rapidChange) {
	y := s.layer
	loads := y.price(c)
	if loads < 0 {
		return
	}
	y.make(c)
	worth := s.before - y.norm() - float64(loads)*y.limits.TransferCost
	y.undo(c)
	if worth > s.gain {
		s.best = c
		s.gain = worth
	}
}

// options tries the changes that bring an expert of source to target.
func (s *rapidSearch) options(source, target Rank, e Expert) {
	y := s.layer
	if len(y.held[target]) < s.slots {
		s.try(rapidChange{source: source, target: target, expert: e})
		s.try(rapidChange{source: source, target: target, expert: e, moved: true})
	}
	var copied [maxRapidSlots]Expert
	for _, out := range copied[:copy(copied[:], y.held[target])] {
		if len(y.holders[out]) > 1 {
			s.try(rapidChange{source: source, target: target, expert: e, out: out, hasOut: true})
			s.try(rapidChange{source: source, target: target, expert: e, moved: true, out: out, hasOut: true})
		}
		if !y.has[y.at(source, out)] {
			s.try(rapidChange{source: source, target: target, expert: e, moved: true, out: out, hasOut: true, exchanged: true})
		}
	}
}

// maxRapidSlots is how many of a rank's experts are looked at.
const maxRapidSlots = 32
