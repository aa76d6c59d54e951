package btgroup

import (
	"sync"
	"time"

	"bilberrytide/core/btexpert"
	"bilberrytide/io/bttarget"
)

// sampler makes windows of what the engine says of itself. It is safe for
// concurrent use.
type sampler struct {
	mutex sync.Mutex
	last  bttarget.GroupState
	known bool
	// base is the state at the end of the window before.
	base    bttarget.GroupState
	hasBase bool

	samples    int
	own, group time.Duration
}

// add takes one reading. An engine that counts fewer steps than before has
// started anew, and so does the window.
func (s *sampler) add(g bttarget.GroupState) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch {
	case !s.hasBase || g.Step < s.last.Step:
		s.restart(g)
	case g.Step > s.last.Step:
		s.samples++
		s.own += g.StepTime()
		s.group += g.GroupStepTime()
	}
	s.last = g
	s.known = true
}

// restart begins a window at the state.
func (s *sampler) restart(g bttarget.GroupState) {
	s.base = g
	s.hasBase = true
	s.samples = 0
	s.own = 0
	s.group = 0
}

// state returns the last reading, false where there is none.
func (s *sampler) state() (bttarget.GroupState, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.last, s.known
}

// take ends the window and returns it, nil where the engine made no step in it.
func (s *sampler) take() *Window {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.samples == 0 || s.last.Step <= s.base.Step {
		return nil
	}
	w := &Window{
		Steps:  s.last.Step - s.base.Step,
		Own:    s.own / time.Duration(s.samples),
		Group:  s.group / time.Duration(s.samples),
		Counts: make([]LayerCounts, len(s.last.Counts)),
	}
	for l, layer := range s.last.Counts {
		var before []uint64
		if l < len(s.base.Counts) {
			before = s.base.Counts[l]
		}
		w.Counts[l] = since(before, layer)
	}
	s.restart(s.last)
	return w
}

// since returns what was counted since before; experts whose count fell are
// left out.
func since(before, now []uint64) LayerCounts {
	var c LayerCounts
	for e, tokens := range now {
		if e < len(before) {
			tokens -= min(before[e], tokens)
		}
		if tokens > 0 {
			c.Experts = append(c.Experts, btexpert.Expert(e))
			c.Tokens = append(c.Tokens, int64(min(tokens, uint64(btexpert.MaxCount))))
		}
	}
	return c
}
