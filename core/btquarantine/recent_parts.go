package btquarantine

import (
	"math"
	"time"
)

const (
	// KnownFor is how long a part counts as served after an output, while its service has
	// output at all.
	KnownFor = time.Minute
	// maxPartGeneration limits the parts of a generation. At a higher rate of new parts a
	// generation is shorter. TestPartRegisterIsBounded limits the heap of two generations.
	maxPartGeneration = 4096
	// anyPart stands for all parts of a service.
	anyPart PartID = 0
)

// partCount is the requests of a generation that had output.
type partCount struct {
	requests int
	last     time.Time
}

// recentParts counts this process's requests with output by part, in two generations: all
// of the last KnownFor with output, unless there are more than maxPartGeneration parts.
type recentParts struct {
	startedAt         time.Time
	current, previous map[partKey]partCount
}

// add counts a request with output.
func (s *recentParts) add(now time.Time, p Prompt) {
	if s.current == nil || now.Sub(s.startedAt) >= KnownFor || len(s.current) >= maxPartGeneration {
		s.previous = s.current
		s.current = make(map[partKey]partCount)
		s.startedAt = now
	}
	s.count(now, partKey{service: p.Service, id: anyPart})
	for _, id := range p.Parts {
		s.count(now, partKey{service: p.Service, id: id})
	}
}

func (s *recentParts) count(now time.Time, k partKey) {
	s.current[k] = partCount{requests: s.current[k].requests + 1, last: now}
}

// get returns the requests and the last output of both generations.
func (s *recentParts) get(k partKey) partCount {
	c, previous := s.current[k], s.previous[k]
	return partCount{requests: c.requests + previous.requests, last: maxTime(c.last, previous.last)}
}

// maxShare is the share of all requests in a PartCrash.
const maxShare = math.MaxUint8

// shares returns the shares of the parts in the service's requests, as in a PartCrash; nil
// if no output of the service is known.
func (s *recentParts) shares(p Prompt) []byte {
	all := s.get(partKey{service: p.Service, id: anyPart})
	if all.requests == 0 {
		return nil
	}
	shares := make([]byte, len(p.Parts))
	for i, k := range p.keys() {
		shares[i] = s.share(k, all)
	}
	return shares
}

// share returns the share of a part. An outage of the service doesn't make a part unknown.
func (s *recentParts) share(k partKey, all partCount) byte {
	part := s.get(k)
	if part.requests == 0 || all.last.Sub(part.last) >= KnownFor {
		return 0
	}
	return byte(math.Ceil(maxShare * float64(part.requests) / float64(all.requests)))
}
