package btquarantine

import "time"

const (
	// generationTime is the least time for which a request counts as recently
	// served. It is longer than a group takes to restart several times in a row,
	// some 4 s each.
	generationTime = time.Minute
	// maxGeneration limits the requests of a generation, which is a minute at 34
	// requests a second; at a higher rate a generation is shorter. Two generations
	// take 148 KB of heap.
	maxGeneration = 2048
)

// recentSet remembers recently served requests in two generations: all of the last
// minute and some of the minute before, unless there are more than maxGeneration.
type recentSet struct {
	startedAt         time.Time
	current, previous map[Fingerprint]struct{}
}

// add adds a request.
func (s *recentSet) add(now time.Time, f Fingerprint) {
	s.rotate(now)
	s.current[f] = struct{}{}
}

// has reports whether the request was recently served.
func (s *recentSet) has(now time.Time, f Fingerprint) bool {
	s.rotate(now)
	if _, found := s.current[f]; found {
		return true
	}
	_, found := s.previous[f]
	return found
}

// rotate starts a new generation if the current one is old or full.
func (s *recentSet) rotate(now time.Time) {
	old := now.Sub(s.startedAt) >= generationTime
	if s.current != nil && !old && len(s.current) < maxGeneration {
		return
	}
	s.previous = s.current
	if now.Sub(s.startedAt) >= 2*generationTime {
		s.previous = nil
	}
	s.current = make(map[Fingerprint]struct{})
	s.startedAt = now
}
