package btquarantine

import "time"

const (
	// recentFor is for how long at least a request counts as served of late. Longer
	// than a group takes to form anew, some 4 s, again and again.
	recentFor = time.Minute
	// maxRecent bounds the requests of a generation: a minute of 34 a second; with
	// more, the memory is shorter. Two generations take 148 KB of heap.
	maxRecent = 2048
)

// recent remembers which requests were served of late: all of the last minute and some
// of the one before, unless they are too many.
type recent struct {
	began         time.Time
	newer, before map[Fingerprint]struct{}
}

// add notes a request.
func (s *recent) add(now time.Time, f Fingerprint) {
	s.turn(now)
	s.newer[f] = struct{}{}
}

// has tells whether the request was served of late.
func (s *recent) has(now time.Time, f Fingerprint) bool {
	s.turn(now)
	if _, found := s.newer[f]; found {
		return true
	}
	_, found := s.before[f]
	return found
}

// turn begins another generation where the present one is old or full.
func (s *recent) turn(now time.Time) {
	old := now.Sub(s.began) >= recentFor
	if s.newer != nil && !old && len(s.newer) < maxRecent {
		return
	}
	s.before = s.newer
	if now.Sub(s.began) >= 2*recentFor {
		s.before = nil
	}
	s.newer = make(map[Fingerprint]struct{})
	s.began = now
}
