package btretry

import (
	"time"
)

// WindowConfig limits the retries of one entry in a sliding window.
type WindowConfig struct {
	// Share is the share of the requests that may be retries.
	Share float64
	// Slack is the number of retries allowed in addition in each window.
	Slack float64
	// Window is the length of the window.
	Window time.Duration
}

// parts is how many parts a window is divided into for counting.
const parts = 40

// Window is a retry budget over a sliding window, for an entry that may restart at any
// time. In each window the retries of all its incarnations together are within half of the
// share of the requests that they counted in that window and the one before it, plus the
// slack. So the sum over all entries is within the share of the requests of the larger of
// the two windows, also if clients move between entries.
//
// Retries are charged to requests as far as these suffice, otherwise to the slack: a token
// bucket that holds half of the slack, gains the other half over a window, and is empty in
// a new process until another entry grants some of its own. A Window is not safe for
// concurrent use.
type Window struct {
	config WindowConfig
	// requests are counted by part; retries are those that are charged to requests, or a
	// part of each.
	requests counts[int]
	retries  counts[float64]
	// origin is the first time seen. Times are counted from it rather than from the
	// epoch, so that a change of the wall clock has no effect.
	origin time.Time
	// part is the present part.
	part  int64
	slack slackBucket
}

// countedParts is the number of parts that are counted: two windows and the present part.
const countedParts = 2*parts + 1

// counts holds the counts of the last two windows by part.
type counts[T int | float64] [countedParts]T

func (c *counts[T]) at(part int64) *T { return &c[part%countedParts] }

// NewWindow returns a window without requests, whose slack has accrued since the time.
func NewWindow(now time.Time, c WindowConfig, since time.Time) *Window {
	// Parts before the first one have numbers, too.
	w := &Window{config: c, origin: now, part: countedParts, slack: slackBucket{updatedAt: since}}
	w.slack.refill(now, c)
	return w
}

// Configure replaces the configuration; the counts stay.
func (w *Window) Configure(now time.Time, c WindowConfig) {
	w.slack.refill(now, w.config)
	w.config = c
	w.slack.refill(now, c)
}

// CountRequest counts the first attempt of a request.
func (w *Window) CountRequest(now time.Time) {
	w.advance(now)
	*w.requests.at(w.part)++
}

// Take counts a retry, or returns false if none is left.
func (w *Window) Take(now time.Time) bool {
	w.advance(now)
	w.slack.refill(now, w.config)
	charged := min(max(w.requestsLeft(), 0), 1)
	if !w.slack.take(1 - charged) {
		return false
	}
	*w.retries.at(w.part) += charged
	return true
}

// Grant takes a part of the slack for an entry that has just started, which has none. What is
// granted is no longer this entry's, so the sum over all entries stays the same.
func (w *Window) Grant(now time.Time) float64 {
	w.slack.refill(now, w.config)
	return w.slack.grant()
}

// Receive adds slack that another entry has granted.
func (w *Window) Receive(now time.Time, granted float64) {
	w.slack.refill(now, w.config)
	w.slack.tokens = min(w.slack.tokens+max(granted, 0), w.config.Slack*slackBurst)
}

// Usage is how much of a window's budget is taken.
type Usage struct {
	// Requests is the number of requests of the last two windows, Retries that of the
	// retries of the last window that are charged to requests.
	Requests int
	Retries  float64
	// RequestsLeft and SlackLeft are how many more retries can be charged to the requests
	// and to the slack.
	RequestsLeft, SlackLeft float64
}

// Usage returns how much of the budget is taken.
func (w *Window) Usage(now time.Time) Usage {
	w.advance(now)
	w.slack.refill(now, w.config)
	u := Usage{RequestsLeft: w.requestsLeft(), SlackLeft: w.slack.tokens}
	for i := range int64(2 * parts) {
		u.Requests += *w.requests.at(w.part - i)
		if i <= parts {
			u.Retries += *w.retries.at(w.part - i)
		}
	}
	return u
}

// Available returns how many retries could be taken now.
func (w *Window) Available(now time.Time) float64 {
	u := w.Usage(now)
	return max(u.RequestsLeft, 0) + u.SlackLeft
}

// requestsLeft returns how many retries can be charged to the requests now: the least over
// all windows that contain the present time. Requests in the part in which the window
// before it begins don't count.
func (w *Window) requestsLeft() float64 {
	retries, requests := 0.0, 0
	for i := range int64(parts) {
		requests += *w.requests.at(w.part - i)
	}
	left := 0.0
	for first := w.part; first >= w.part-parts; first-- {
		retries += *w.retries.at(first)
		if first < w.part {
			requests += *w.requests.at(first - parts + 1)
		}
		allowed := w.config.Share / 2 * float64(requests)
		if remaining := allowed - retries; first == w.part || remaining < left {
			left = remaining
		}
	}
	return left
}

// advance clears the parts that are older than two windows.
func (w *Window) advance(now time.Time) {
	length := max(w.config.Window/parts, 1)
	at := countedParts + int64(now.Sub(w.origin)/length)
	if at-w.part >= countedParts {
		w.requests, w.retries = counts[int]{}, counts[float64]{}
		w.part = at
		return
	}
	for w.part < at {
		w.part++
		*w.requests.at(w.part) = 0
		*w.retries.at(w.part) = 0
	}
}
