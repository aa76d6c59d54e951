package btretry

import (
	"time"
)

// WindowConfig bounds the retries of one entry in any span of the window's
// length.
type WindowConfig struct {
	// Share is the part of the span's requests that may be retries.
	Share float64
	// Slack is allowed besides, in each span.
	Slack float64
	// Window is the length of a span.
	Window time.Duration
}

// buckets is how many parts a window is counted in; a retry is forgotten one
// part late, never early.
const buckets = 10

// Window is a retry budget over a sliding window. Unlike Budget it saves
// nothing up, so that the retries of any span, wherever it begins, stay within
// the share of that span's own requests and the slack. It is not safe for
// concurrent use.
type Window struct {
	config   WindowConfig
	requests [buckets + 1]int
	retries  [buckets + 1]int
	// origin is the first time seen. Times are counted from it and not from the
	// epoch, so that a change of the time of day changes nothing.
	origin  time.Time
	current int64
}

// NewWindow returns an empty window.
func NewWindow(c WindowConfig) *Window { return &Window{config: c} }

// Configure puts another configuration in force; what was counted stays.
func (w *Window) Configure(c WindowConfig) { w.config = c }

// CountRequest counts a first attempt.
func (w *Window) CountRequest(now time.Time) {
	w.advance(now)
	w.requests[w.slot()]++
}

// Take counts a retry, or returns false where none is left.
func (w *Window) Take(now time.Time) bool {
	w.advance(now)
	if w.left() < 1 {
		return false
	}
	w.retries[w.slot()]++
	return true
}

// Available returns how many retries could be taken now.
func (w *Window) Available(now time.Time) float64 {
	w.advance(now)
	return w.left()
}

func (w *Window) left() float64 {
	requests := 0
	retries := 0
	for i := range w.requests {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	return w.config.Share*float64(requests) + w.config.Slack - float64(retries)
}

func (w *Window) slot() int { return int(w.current % (buckets + 1)) }

// advance clears the parts that are older than the window.
func (w *Window) advance(now time.Time) {
	if w.origin.IsZero() {
		w.origin = now
	}
	length := max(w.config.Window/buckets, 1)
	at := int64(now.Sub(w.origin) / length)
	if at-w.current > buckets {
		w.requests = [buckets + 1]int{}
		w.retries = [buckets + 1]int{}
		w.current = at
		return
	}
	for w.current < at {
		w.current++
		w.requests[w.slot()] = 0
		w.retries[w.slot()] = 0
	}
}
