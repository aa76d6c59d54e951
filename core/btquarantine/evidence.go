package btquarantine

import (
	"math"
	"slices"
	"time"
)

const (
	// sameOutageWithin is the time within which crashes count as one: the targets of a
	// group, or of a rack, that crash together share many parts.
	sameOutageWithin = 2 * time.Second
	// unknownPrior and knownPrior are the log odds, before any crash, that a part is at
	// fault: one that has not been served lately is so more often.
	unknownPrior = -2.0
	knownPrior   = -3.5
	// unknownShare is the share of the requests that is assumed to have an unknown part, and
	// assumedShare that of a part where no process has seen output of the service: it may be
	// one that nearly all requests have.
	unknownShare = 0.001
	assumedShare = 0.3
	// knownCrashes is the least number of crashes for which a known part is restricted.
	knownCrashes = 2
)

// evidence is what speaks against a part.
type evidence struct {
	// crashes is the number of outages at the beginning of which a request with the part
	// was at a target that crashed, and since which no output of the part is known.
	crashes     int
	first, last time.Time
	// targets is the number of crashed targets with such a request.
	targets int
	// logOdds are those that the part is at fault, if one part is.
	logOdds float64
	// weight is logOdds with each crashed target of an outage counted. It selects the part of
	// a request: targets that crash together for another cause share no rare part.
	weight float64
	// known reports that the part was served shortly before the first crash, or may have
	// been.
	known bool
	// excess is how many more crashes there are than restrict the part; -1 if there are
	// too few.
	excess int
}

// addCrash adds a crash at which the target had begun that many requests, of which a share
// of all requests with the part would have been one by chance.
func (e *evidence) addCrash(at time.Time, requests int, share float64) {
	if e.crashes > 0 && at.Sub(e.last) < sameOutageWithin {
		return
	}
	if e.crashes == 0 {
		e.first = at
	}
	e.crashes++
	e.last = at
	e.logOdds -= math.Log(1 - math.Pow(1-min(share, 1), float64(requests)))
	if e.excess >= 0 || e.logOdds >= 0 && (!e.known || e.crashes >= knownCrashes) {
		e.excess++
	}
}

// addTarget adds a crashed target; see addCrash.
func (e *evidence) addTarget(requests int, share float64) {
	e.targets++
	e.weight -= math.Log(1 - math.Pow(1-min(share, 1), float64(requests)))
}

// candidate is a request that may be at fault for the crash of a target.
type candidate struct {
	partCrash
	// remaining are the parts that may be at fault.
	remaining []partKey
	// requests is the number of requests with which the target had come as far.
	requests int
	// crash is the number of the crash of a target.
	crash int
}

// mayBe reports whether all of the parts may be at fault.
func (c candidate) mayBe(parts []PartID) bool {
	for _, id := range parts {
		if !slices.Contains(c.remaining, partKey{service: c.service, id: id}) {
			return false
		}
	}
	return true
}

// blame returns the restriction on the parts of the request that are most likely at fault.
// It has no parts if there is too little evidence. Its scope isn't set. The weight is that
// of the parts.
func (c candidate) blame(weighed map[partKey]evidence) (r Restriction, weight float64) {
	r = Restriction{Account: c.account, Service: c.service, LogOdds: math.Inf(-1)}
	weight = math.Inf(-1)
	for _, k := range c.remaining {
		e := weighed[k]
		if e.excess < 0 || !c.begun && e.crashes < knownCrashes {
			continue
		}
		if e.weight > weight {
			r.Parts = nil
			weight = e.weight
			r.Crashes, r.Excess, r.LogOdds = e.crashes, e.excess, e.logOdds
		}
		if e.weight == weight {
			r.Parts = append(r.Parts, k.id)
		}
	}
	return r, weight
}

// crashedTarget is the crash of a target with so many requests that may be at fault.
type crashedTarget struct {
	service  uint64
	at       time.Time
	requests int
}

// addTargets adds what the targets that crashed since the first crash say about a known part
// that several outages have not shown to be at fault: more of them had it than by chance.
func (e *evidence) addTargets(service uint64, share float64, targets []crashedTarget) {
	if !e.known || e.excess >= 0 || e.crashes < knownCrashes {
		return
	}
	crashed, expected := 0.0, 0.0
	for _, t := range targets {
		if t.service == service && !t.at.Before(e.first) {
			crashed++
			expected += 1 - math.Pow(1-min(share, 1), float64(t.requests))
		}
	}
	if odds := knownPrior + excessOdds(float64(e.targets), crashed, expected); odds >= 0 {
		e.excess, e.logOdds = 0, odds
	}
}

// excessOdds returns the log likelihood ratio of the observed share of events to the expected
// one; zero if there are no more than expected.
func excessOdds(observed, events, expected float64) float64 {
	if events == 0 || observed <= expected {
		return 0
	}
	q, p := min(observed/events, 1), expected/events
	odds := observed * math.Log(q/p)
	if q < 1 {
		odds += (events - observed) * math.Log((1-q)/(1-p))
	}
	return odds
}

// weigh returns the evidence about each part of the candidates, which are in the order of
// time.
func weigh(candidates []candidate, targets []crashedTarget) map[partKey]evidence {
	shares := knownShares(candidates)
	weighed := make(map[partKey]evidence)
	type atCrash struct {
		part  partKey
		crash int
	}
	counted := make(map[atCrash]bool)
	for _, c := range candidates {
		for _, k := range c.remaining {
			share, found := shares[k]
			if !found {
				share = assumedShare
			}
			e, found := weighed[k]
			if !found {
				e = evidence{known: share > 0, logOdds: unknownPrior, weight: unknownPrior, excess: -1}
				if e.known {
					e.logOdds, e.weight = knownPrior, knownPrior
				}
			}
			e.addCrash(c.at, c.requests, max(share, unknownShare))
			if !counted[atCrash{k, c.crash}] {
				counted[atCrash{k, c.crash}] = true
				e.addTarget(c.requests, max(share, unknownShare))
			}
			weighed[k] = e
		}
	}
	for k, e := range weighed {
		share, found := shares[k]
		if !found {
			share = assumedShare
		}
		e.addTargets(k.service, share, targets)
		weighed[k] = e
	}
	return weighed
}

// knownShares returns the largest share of each part that a process has reported.
func knownShares(candidates []candidate) map[partKey]float64 {
	shares := make(map[partKey]float64)
	for _, c := range candidates {
		for i, share := range c.shares {
			k := partKey{service: c.service, id: c.parts[i]}
			shares[k] = max(shares[k], float64(share)/maxShare)
		}
	}
	return shares
}

// selectCandidates returns the requests that may be at fault, by the crash of a target. One
// that the target had not begun to answer may be only if it had begun none of the others
// that may be. It returns all crashed targets too.
func selectCandidates(crashes []partCrash, outputs map[partKey]time.Time) ([][]candidate, []crashedTarget) {
	var groups [][]candidate
	var targets []crashedTarget
	for i, together := range byTarget(crashes) {
		begunCount := 0
		for _, c := range together {
			if c.begun {
				begunCount++
			}
		}
		var begun, waiting []candidate
		for _, c := range together {
			remaining := c.remaining(outputs)
			switch {
			case len(remaining) == 0:
			case c.begun:
				begun = append(begun, candidate{partCrash: c, remaining: remaining, requests: begunCount, crash: i})
			default:
				waiting = append(waiting, candidate{partCrash: c, remaining: remaining, requests: len(together) - begunCount, crash: i})
			}
		}
		if len(begun) == 0 {
			begun = waiting
		}
		groups = append(groups, begun)
		requests := begunCount
		if requests == 0 {
			requests = len(together)
		}
		targets = append(targets, crashedTarget{service: together[0].service, at: together[0].at, requests: requests})
	}
	return groups, targets
}

// byTarget groups the requests by the crash of a target, whose reports are in the order of
// time.
func byTarget(crashes []partCrash) [][]partCrash {
	var groups [][]partCrash
	latest := make(map[uint64]int)
	for _, c := range crashes {
		i, found := latest[c.target]
		if !found || c.at.Sub(groups[i][0].at) >= sameCrashWithin {
			latest[c.target] = len(groups)
			groups = append(groups, []partCrash{c})
			continue
		}
		groups[i] = append(groups[i], c)
	}
	return groups
}
