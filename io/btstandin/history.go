package btstandin

import "time"

// history keeps values by the time at which each was set, so that a stand-in can
// answer with delayed or stale state. It is not safe for concurrent use.
type history[T any] struct {
	// keep is how long a value stays readable after its successor was set.
	keep    time.Duration
	entries []timestamped[T]
}

type timestamped[T any] struct {
	since time.Time
	value T
}

// set records the value as valid from now on.
func (h *history[T]) set(now time.Time, value T) {
	h.prune(now.Add(-h.keep))
	h.entries = append(h.entries, timestamped[T]{since: now, value: value})
}

// prune removes the values that were replaced at or before the cutoff.
func (h *history[T]) prune(cutoff time.Time) {
	drop := 0
	for drop+1 < len(h.entries) && !h.entries[drop+1].since.After(cutoff) {
		drop++
	}
	h.entries = h.entries[drop:]
}

// at returns the value that was valid at the time, or false if none was set yet.
func (h *history[T]) at(t time.Time) (T, bool) {
	for i := len(h.entries) - 1; i >= 0; i-- {
		if !h.entries[i].since.After(t) {
			return h.entries[i].value, true
		}
	}
	var none T
	return none, false
}

// atOrFirst is like at, but returns the first value for earlier times.
func (h *history[T]) atOrFirst(t time.Time) (T, bool) {
	value, ok := h.at(t)
	if !ok && len(h.entries) > 0 {
		return h.entries[0].value, true
	}
	return value, ok
}

// latest returns the value that was set last, or false if there is none.
func (h *history[T]) latest() (T, bool) {
	if len(h.entries) == 0 {
		var none T
		return none, false
	}
	return h.entries[len(h.entries)-1].value, true
}
