package btretry

import (
	"time"
)

// WindowConfig limits the retries of one entry in a sliding window.
type WindowConfig struct {
	// Share is the share of the window's requests that may be retries.
	Share float64
	// Slack is the number of retries allowed in addition in each window.
	Slack float64
	// Window is the length of the window.
	Window time.Duration
}

// parts is how many parts a window is divided into. A retry expires up to one part
// late, never early.
const parts = 10

// Window is a retry budget over a sliding window. Unlike Budget it accumulates
// nothing: whenever a retry is taken, the retries of the window that ends then are
// within the share of the requests of that window, plus the slack. The counts reach
// up to one part further back than the window. It is not safe for concurrent use.
type Window struct {
	config   WindowConfig
	requests [parts + 1]int
	retries  [parts + 1]int
	// origin is the first time seen. Times are counted from it rather than from the
	// epoch, so that a change of the wall clock has no effect.
	origin      time.Time
	currentPart int64
}

// NewWindow returns an empty window.
func NewWindow(c WindowConfig) *Window { return &Window{config: c} }

// Configure replaces the configuration; the counts stay.
func (w *Window) Configure(c WindowConfig) { w.config = c }

// CountRequest counts the first attempt of a request.
func (w *Window) CountRequest(now time.Time) {
	w.advance(now)
	w.requests[w.slot()]++
}

// Take counts a retry, or returns false if none is left.
func (w *Window) Take(now time.Time) bool {
	w.advance(now)
	if w.available() < 1 {
		return false
	}
	w.retries[w.slot()]++
	return true
}

// Available returns how many retries could be taken now.
func (w *Window) Available(now time.Time) float64 {
	w.advance(now)
	return w.available()
}

func (w *Window) available() float64 {
	u := w.usage()
	return u.Allowed - float64(u.Retries)
}

// Usage is how much of a window's budget is taken.
type Usage struct {
	// Requests and Retries are those counted in the window.
	Requests, Retries int
	// Allowed is the number of retries that the window allows.
	Allowed float64
}

// Usage returns how much of the budget is taken.
func (w *Window) Usage(now time.Time) Usage {
	w.advance(now)
	return w.usage()
}

func (w *Window) usage() Usage {
	var u Usage
	for i := range w.requests {
		u.Requests += w.requests[i]
		u.Retries += w.retries[i]
	}
	u.Allowed = w.config.Share*float64(u.Requests) + w.config.Slack
	return u
}

func (w *Window) slot() int { return int(w.currentPart % (parts + 1)) }

// advance clears the parts that are older than the window.
func (w *Window) advance(now time.Time) {
	if w.origin.IsZero() {
		w.origin = now
	}
	length := max(w.config.Window/parts, 1)
	at := int64(now.Sub(w.origin) / length)
	if at-w.currentPart > parts {
		w.requests = [parts + 1]int{}
		w.retries = [parts + 1]int{}
		w.currentPart = at
		return
	}
	for w.currentPart < at {
		w.currentPart++
		w.requests[w.slot()] = 0
		w.retries[w.slot()] = 0
	}
}
