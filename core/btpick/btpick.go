// Package btpick chooses the target of a request by comparing the costs of a few random
// candidates.
package btpick

// Candidate is a target as one entry sees it.
type Candidate struct {
	// Requests is the number of this entry's requests at the target.
	Requests int
	// PendingTokens is the number of prompt tokens of these requests that the target
	// has not read yet.
	PendingTokens int
	// OtherRequests is the estimated number of requests of other entries at the target.
	OtherRequests float64
	// Local reports that the target is in the entry's data centre.
	Local bool
	// Slowdown is the target's latency as a multiple of the usual one; 1 is normal.
	Slowdown float64
	// AlwaysCompare adds the candidate to every comparison. It marks a target that
	// takes few requests and to which this entry may send one now; otherwise its
	// capacity would lie idle until it is sampled.
	AlwaysCompare bool
}

const (
	// tokensPerRequest is the number of unread prompt tokens that weigh as much as a
	// running request: an engine reads them in the time that the request adds to the
	// steps of its response.
	tokensPerRequest = 250
	// remoteCost is the cost of a target in another data centre, in requests. It is
	// less than one, so that it breaks ties but never makes requests pile up.
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

// localChoices and remoteChoices are the numbers of candidates that are sampled. The
// known load of other entries is some 300 ms old; if each entry took the least loaded
// of all targets, all would send to the same few until the next report. Sampling a few
// keeps the load nearly as even as with current knowledge of all. Most are from the
// entry's own data centre, as traffic between data centres is paid for; some are
// remote, so that a data centre with more callers than targets gets help.
const (
	localChoices  = 3
	remoteChoices = 2
)

// Pick returns the index of the cheapest candidate among a random sample, or -1 if
// there are none. IntN returns uniform random numbers in [0, n).
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

// sample moves random elements to the front of the list and returns them.
func sample(list []int, count int, intN func(n int) int) []int {
	count = min(count, len(list))
	for i := range count {
		j := i + intN(len(list)-i)
		list[i], list[j] = list[j], list[i]
	}
	return list[:count:count]
}
