package btqueue

import "time"

// rest begins or prolongs a rest of the target. A queued request that can still start in
// time keeps its place; the others are refused, so that they can move to other targets.
func (q *Queue) rest(now time.Time, e Rest) {
	if !e.Until.After(now) || !e.Until.After(q.restEnd) {
		return
	}
	q.restEnd = e.Until
	q.window.Begin(e.Until)
	for _, i := range q.byArrival() {
		service := fromSeconds(i.Cost * q.unitTime(now))
		late := !i.StartBy.IsZero() && i.StartBy.Before(e.Until)
		if late || e.Until.Add(service).After(i.Deadline) {
			q.drop(i, ReasonResting, e.Until.Sub(now))
		}
	}
}

// leave begins the departure of the target. Queued requests are refused, so that they move
// to other targets at once.
func (q *Queue) leave() {
	q.leaving = true
	for _, i := range q.byArrival() {
		q.drop(i, ReasonLeaving, 0)
	}
}

// openSlots returns the number of slots that may be used now. After a rest it grows with
// the requests that the target accepts.
func (q *Queue) openSlots() int {
	if size, limited := q.window.Size(); limited {
		return min(size, q.slots)
	}
	return q.slots
}
