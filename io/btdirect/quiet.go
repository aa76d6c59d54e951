package btdirect

import (
	"time"

	"bilberrytide/core/btquiet"
)

// leastStreams is how many streams tell that a member has fallen silent: one alone may
// leave out a step, or be put back by the engine.
const leastStreams = 2

// liveness is what an entry's streams at a target show.
type liveness struct {
	// begun is how many of this entry's streams have begun at the target, heard when the
	// last event of any of them came.
	begun int
	heard time.Time
}

// follower notes the events of one attempt's stream at its target.
type follower struct {
	fleet  *fleet
	target *target
	begun  bool
}

// event notes an event, and the pause since the one before, of this attempt or another.
func (w *follower) event(pause time.Duration) {
	f, t := w.fleet, w.target
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock()
	t.liveness.heard = now
	watch := f.service(t.info.Service).watch(t.group())
	if w.begun {
		watch.Event(now, pause)
		return
	}
	w.begun = true
	t.liveness.begun++
	watch.StreamStarted(now)
}

// end notes that the stream is over.
func (w *follower) end() {
	if !w.begun {
		return
	}
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.target.liveness.begun--
}

// watch returns what is known of the pace of a group's streams. The fleet's lock is held.
func (s *service) watch(group string) *btquiet.Watch {
	w, found := s.watches[group]
	if !found {
		w = &btquiet.Watch{}
		s.watches[group] = w
	}
	return w
}

// quiet tells whether a member of a group has streams and sends nothing while others of it
// do, or its agent doesn't answer the lead. The fleet's lock is held.
func (s *service) quiet(t *target, now time.Time) bool {
	if !t.unresponsiveAt.IsZero() && now.Sub(t.unresponsiveAt) <= loadFresh {
		return true
	}
	return t.info.Member != nil && t.liveness.begun >= leastStreams && s.watch(t.group()).Silent(t.liveness.heard)
}
