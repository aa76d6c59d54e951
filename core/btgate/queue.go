package btgate

import (
	"slices"
	"time"
)

// Request holds the queueing parameters of a request.
type Request struct {
	// Priority orders requests; lower values are admitted first.
	Priority int
	// StartBy is when its work must start for the response to be in time.
	StartBy time.Time
	// WaitUntil is when the request gives up waiting.
	WaitUntil time.Time
	// LastAttempt reports that the caller is unlikely to retry after a refusal.
	LastAttempt bool
}

// WaitForGroupUntil returns how long the request waits for a group that is not serving.
// A request whose caller can retry waits only while it can be in time. Retries come
// after a third of the remaining time, so they are spread like the original requests
// and don't delay those that arrive when the group serves again.
func (r Request) WaitForGroupUntil() time.Time {
	if r.LastAttempt || r.WaitUntil.Before(r.StartBy) {
		return r.WaitUntil
	}
	return r.StartBy
}

// Waiter is a queued request.
type Waiter[V any] struct {
	Request
	Value    V
	admitted bool
}

// Admitted reports whether the request was admitted.
func (w *Waiter[V]) Admitted() bool { return w.admitted }

// waitClass orders queued requests of one priority.
type waitClass int

const (
	// onTime is for requests that can still be answered in time.
	onTime waitClass = iota
	// lateLastAttempt is for late requests whose caller is unlikely to retry.
	lateLastAttempt
	// late is for all other late requests.
	late
)

// class returns the request's class. Further waiting costs a late request nothing,
// while it may make an on-time one late, so on-time requests are admitted first.
func (r Request) class(now time.Time) waitClass {
	switch {
	case !now.After(r.StartBy):
		return onTime
	case r.LastAttempt:
		return lateLastAttempt
	}
	return late
}

// precedes reports whether r, which arrived first, is admitted before o. Among on-time
// requests the one with the most time left is first: when not all can be served in
// time, first-in-first-out order would start each one just as its time runs out.
func (r Request) precedes(o Request, now time.Time) bool {
	if r.Priority != o.Priority {
		return r.Priority < o.Priority
	}
	a, b := r.class(now), o.class(now)
	if a == onTime && b == onTime {
		return !o.StartBy.After(r.StartBy)
	}
	return a <= b
}

// Enqueue queues a request. It returns nil if, at the current departure interval, the
// requests ahead of it would not be admitted before it gives up.
func (g *Gate[V]) Enqueue(now time.Time, r Request, value V) *Waiter[V] {
	ahead := 0
	for _, w := range g.queue {
		if w.precedes(r, now) {
			ahead++
		}
	}
	expectedWait := g.pauseLeft(now) + time.Duration(ahead+1)*g.departureInterval(now)
	if now.Add(expectedWait).After(r.WaitUntil) {
		return nil
	}
	w := &Waiter[V]{Request: r, Value: value}
	g.queue = append(g.queue, w)
	return w
}

// Cancel removes a queued request. It returns false if the request was admitted in the
// meantime, so that its slot must be returned with Release.
func (g *Gate[V]) Cancel(w *Waiter[V]) bool {
	if w.admitted {
		return false
	}
	if i := slices.Index(g.queue, w); i >= 0 {
		g.queue = slices.Delete(g.queue, i, i+1)
	}
	return true
}

// admit assigns free slots to queued requests.
func (g *Gate[V]) admit(now time.Time) []*Waiter[V] {
	var admitted []*Waiter[V]
	g.queue = slices.DeleteFunc(g.queue, func(w *Waiter[V]) bool { return now.After(w.WaitUntil) })
	slots := g.EntryLimit(now)
	for len(g.queue) > 0 && g.running < slots {
		i := g.nextIndex(now)
		w := g.queue[i]
		g.queue = slices.Delete(g.queue, i, i+1)
		w.admitted = true
		g.running++
		admitted = append(admitted, w)
	}
	return admitted
}

// nextIndex returns the index of the request to admit next; the queue must not be
// empty. A retryFraction of the slots is reserved for last attempts, even if others
// could be in time, as their callers don't try a third time.
func (g *Gate[V]) nextIndex(now time.Time) int {
	last := g.expiringLastAttempt(now)
	if last < 0 {
		return g.firstIndex(now)
	}
	g.retryCredit += retryFraction
	if g.retryCredit < 1 {
		return g.firstIndex(now)
	}
	g.retryCredit--
	return last
}

// expiringLastAttempt returns the index of the last attempt that gives up first within
// lastAttemptWindow, or -1 if there is none.
func (g *Gate[V]) expiringLastAttempt(now time.Time) int {
	last := -1
	for i, w := range g.queue {
		if !w.LastAttempt || w.WaitUntil.Sub(now) > lastAttemptWindow {
			continue
		}
		if last < 0 || w.WaitUntil.Before(g.queue[last].WaitUntil) {
			last = i
		}
	}
	return last
}

// firstIndex returns the index of the request that precedes all others; the queue must
// not be empty.
func (g *Gate[V]) firstIndex(now time.Time) int {
	best := 0
	for i, w := range g.queue {
		if !g.queue[best].precedes(w.Request, now) {
			best = i
		}
	}
	return best
}
