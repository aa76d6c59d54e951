// Package btpick chooses the target of a request among those that may take it.
package btpick

// Candidate is a target as one entry sees it.
type Candidate struct {
	// Requests is how many requests of this entry are at the target.
	Requests int
	// Tokens is how many prompt tokens of them are still to be read.
	Tokens int
	// Others is how many requests of other entries are believed to be there.
	Others float64
	// Near tells that the target is in the entry's data centre.
	Near bool
	// Pace is how slow the target is; 1 is as usual.
	Pace float64
	// Scarce targets take few requests, and this entry may send one now: they are always
	// among those compared, as the place would lie idle until chance falls on them.
	Scarce bool
}

const (
	// tokensPerRequest is how many prompt tokens weigh as much as a running
	// request: an engine reads them in the time that the request adds to the
	// passes of its answer.
	tokensPerRequest = 250
	// farPrice is what a target of another data centre costs, in requests:
	// less than one, so that it breaks ties and never piles requests up.
	farPrice = 0.9
)

func (c Candidate) cost() float64 {
	load := float64(c.Requests) + c.Others + float64(c.Tokens)/tokensPerRequest
	if c.Pace > 1 {
		load = (load + 1) * c.Pace
	}
	if !c.Near {
		load += farPrice
	}
	return load
}

// choices is how many candidates are compared: what is known of others' requests
// is some 300 ms old, and if each entry took the best of all, all would send to
// the same few targets until the next word. With a few chosen by chance the load
// stays nearly as even as with fresh knowledge of all. Most are of the entry's
// own data centre, as bytes between data centres are paid for, and some are not,
// so that a data centre with more callers than targets gets help.
const (
	nearChoices = 3
	farChoices  = 2
)

// Best returns the index of the candidate that costs least among a few that are
// chosen by chance, or -1 without any. Draw returns uniform numbers in [0, n).
func Best(candidates []Candidate, draw func(n int) int) int {
	var near, far, compared []int
	for i, c := range candidates {
		switch {
		case c.Scarce:
			compared = append(compared, i)
		case c.Near:
			near = append(near, i)
		default:
			far = append(far, i)
		}
	}
	compared = append(compared, sample(near, nearChoices, draw)...)
	compared = append(compared, sample(far, farChoices, draw)...)
	best := -1
	least := 0.0
	for _, i := range compared {
		cost := candidates[i].cost()
		if best < 0 || cost < least {
			best = i
			least = cost
		}
	}
	return best
}

// sample moves some of the list, chosen by chance, to its front and returns them.
func sample(list []int, count int, draw func(n int) int) []int {
	count = min(count, len(list))
	for i := range count {
		j := i + draw(len(list)-i)
		list[i], list[j] = list[j], list[i]
	}
	return list[:count:count]
}
