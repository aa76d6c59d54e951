// Package btpick chooses the target of a request among those that may take it.
package btpick

// Candidate is a target as one entry sees it.
type Candidate struct {
	// Requests is how many requests of this entry are at the target.
	Requests int
	// PendingTokens is how many prompt tokens of them are still to be read.
	PendingTokens int
	// OtherRequests is how many requests of other entries are believed to be there.
	OtherRequests float64
	// Local tells that the target is in the entry's data centre.
	Local bool
	// Slowdown is how slow the target is; 1 is as usual.
	Slowdown float64
	// AlwaysCompare targets take few requests, and this entry may send one now: they are always
	// among those compared, as the place would lie idle until chance falls on them.
	AlwaysCompare bool
}

const (
	// tokensPerRequest is how many prompt tokens weigh as much as a running
	// request: an engine reads them in the time that the request adds to the
	// passes of its answer.
	tokensPerRequest = 250
	// remoteCost is what a target of another data centre costs, in requests:
	// less than one, so that it breaks ties and never piles requests up.
	remoteCost = 0.9
)

func (c Candidate) cost() float64 {
	load := float64(c.Requests) + c.OtherRequests + float64(c.PendingTokens)/tokensPerRequest
	if c.Slowdown > 1 {
		load = (load + 1) * c.Slowdown
	}
	if !c.Local {
		load += remoteCost
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
	localChoices  = 3
	remoteChoices = 2
)

// Pick returns the index of the candidate that costs least among a few that are
// chosen by chance, or -1 without any. Draw returns uniform numbers in [0, n).
func Pick(candidates []Candidate, intN func(n int) int) int {
	var local, remote, compared []int
	for i, c := range candidates {
		switch {
		case c.AlwaysCompare:
			compared = append(compared, i)
		case c.Local:
			local = append(local, i)
		default:
			remote = append(remote, i)
		}
	}
	compared = append(compared, sample(local, localChoices, intN)...)
	compared = append(compared, sample(remote, remoteChoices, intN)...)
	best := -1
	leastCost := 0.0
	for _, i := range compared {
		cost := candidates[i].cost()
		if best < 0 || cost < leastCost {
			best = i
			leastCost = cost
		}
	}
	return best
}

// sample moves some of the list, chosen by chance, to its front and returns them.
func sample(list []int, count int, intN func(n int) int) []int {
	count = min(count, len(list))
	for i := range count {
		j := i + intN(len(list)-i)
		list[i], list[j] = list[j], list[i]
	}
	return list[:count:count]
}
