package btgroup

import (
	"sync"
	"time"

	"bilberrytide/core/btexpert"
	"bilberrytide/io/bttarget"
)

// sampler computes windows from the engine's successive states. It is safe for
// concurrent use.
type sampler struct {
	mutex sync.Mutex
	last  bttarget.GroupState
	known bool
	// base is the state at the start of the current window.
	base    bttarget.GroupState
	hasBase bool

	samples    int
	own, group time.Duration
}

// add adds an engine state. An engine whose step count has fallen has restarted, so the
// window starts over.
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

// restart starts a window at the state.
func (s *sampler) restart(g bttarget.GroupState) {
	s.base = g
	s.hasBase = true
	s.samples = 0
	s.own = 0
	s.group = 0
}

// state returns the last state, false if there is none.
func (s *sampler) state() (bttarget.GroupState, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.last, s.known
}

// takeWindow ends the window and returns it, nil if it covers no step.
func (s *sampler) takeWindow() *Window {
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
		w.Counts[l] = countsSince(before, layer)
	}
	s.restart(s.last)
	return w
}

// countsSince returns the tokens counted between two readings. Experts whose count fell
// are left out.
func countsSince(before, now []uint64) LayerCounts {
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
