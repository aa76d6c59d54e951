package btgate

import "time"

// PauseUntil keeps requests from being admitted before the time, because no target accepts
// any. Requests keep their positions in the queue; the caller calls Resume at that time. The
// zero time ends a pause.
func (g *Gate[V]) PauseUntil(t time.Time) { g.pausedUntil = t }

// Resume returns the queued requests that are admitted after a pause.
func (g *Gate[V]) Resume(now time.Time) []*Waiter[V] { return g.admit(now) }

// pauseLeft returns the time until the end of the pause; zero if there is none.
func (g *Gate[V]) pauseLeft(now time.Time) time.Duration { return max(g.pausedUntil.Sub(now), 0) }
