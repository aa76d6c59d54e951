package btdirect

import (
	"time"

	"bilberrytide/core/btstall"
)

// minStreams is the smallest number of streams by which a member can be found to have stalled. A
// single stream may skip a step or be postponed by the engine.
const minStreams = 2

// streamActivity is the activity of this entry's streams at a target.
type streamActivity struct {
	// open counts the streams that have begun and not ended. lastEvent is when the last
	// event of any of them arrived.
	open      int
	lastEvent time.Time
}

// streamObserver records the events of one attempt's stream at its target.
type streamObserver struct {
	fleet  *fleet
	target *target
	begun  bool
}

// observe records an event and the pause since the previous one, which may have come
// from an earlier attempt.
func (o *streamObserver) observe(pause time.Duration) {
	f, t := o.fleet, o.target
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock()
	t.streams.lastEvent = now
	watch := f.service(t.info.Service).watch(t.groupName())
	if o.begun {
		watch.Event(now, pause)
		return
	}
	o.begun = true
	t.streams.open++
	watch.StreamStarted(now)
}

// close records that the stream has ended.
func (o *streamObserver) close() {
	if !o.begun {
		return
	}
	o.fleet.mu.Lock()
	defer o.fleet.mu.Unlock()
	o.target.streams.open--
}

// watch returns the watch of a group's streams. The fleet's mutex must be held.
func (s *service) watch(group string) *btstall.Watch {
	w, found := s.watches[group]
	if !found {
		w = &btstall.Watch{}
		s.watches[group] = w
	}
	return w
}

// stalled reports whether a group member has stalled: it has streams but sends nothing
// while other members do, or its agent doesn't answer the lead. The fleet's mutex must
// be held.
func (s *service) stalled(t *target, now time.Time) bool {
	if !t.unresponsiveAt.IsZero() && now.Sub(t.unresponsiveAt) <= loadTTL {
		return true
	}
	return t.info.Member != nil && t.streams.open >= minStreams && s.watch(t.groupName()).Stalled(t.streams.lastEvent)
}
