package btload

import (
	"slices"
	"time"

	"bilberrytide/core/btid"
)

// Target is one entry's state of one target's load. It is obtained from a Tracker
// and is valid until the target is removed.
type Target struct {
	name        btid.Target
	rates       *serviceRates
	uncorrected bool

	report Report
	// sampledAt is when the report was sampled, by this entry's clock.
	sampledAt time.Time
	reported  bool

	inFlight []inFlightRequest
	// endedAfterSample holds ended requests that the report still counts.
	endedAfterSample []endedRequest
	// unreported is how many of this entry's requests in flight were sent after the
	// report was sampled.
	unreported int
	// pendingTokens is the prompt tokens of this entry's requests that have no first
	// token yet; unreportedTokens is the part that was sent after the sample.
	pendingTokens, unreportedTokens int64

	prefill, decode average
	cache           cacheView
}

// inFlightRequest is a request of this entry that has not ended.
type inFlightRequest struct {
	number    uint64
	sentAt    time.Time
	startedAt time.Time
	// uncachedTokens is the part of the prompt that was not expected in the cache.
	promptTokens, uncachedTokens int
	// These fields are the estimate at the time of sending.
	expected, slotWait time.Duration
	backlogTokens      int64
}

// endedRequest is a request that ended after the report was sampled.
type endedRequest struct{ sentAt, endedAt time.Time }

// Name returns the target's name.
func (t *Target) Name() btid.Target { return t.name }

// Draining reports whether the last report has the draining flag.
func (t *Target) Draining() bool { return t.report.Draining }

// Report returns the last report, and false if there is none.
func (t *Target) Report() (Report, bool) { return t.report, t.reported }

// ReportAge returns the age of the last report's sample.
func (t *Target) ReportAge(now time.Time) time.Duration { return now.Sub(t.sampledAt) }

// InFlight returns how many requests of this entry have not ended.
func (t *Target) InFlight() int { return len(t.inFlight) }

// CachedPrefixes returns how many prefixes the cache view holds.
func (t *Target) CachedPrefixes() int { return t.cache.size() }

// replaceReport stores the report, unless it is older than the current one. A new
// incarnation starts with an empty cache.
func (t *Target) replaceReport(now time.Time, r Report) bool {
	if t.reported && !r.newerThan(t.report) {
		return false
	}
	if t.reported && r.Incarnation != t.report.Incarnation {
		t.cache.clear()
	}
	t.report, t.sampledAt, t.reported = r, now.Add(-r.Age), true
	t.recountUnreported()
	return true
}

// recountUnreported recomputes which of this entry's requests the report misses or
// still counts.
func (t *Target) recountUnreported() {
	t.unreported, t.unreportedTokens = 0, 0
	for _, f := range t.inFlight {
		if !f.sentAt.After(t.sampledAt) {
			continue
		}
		t.unreported++
		if f.startedAt.IsZero() {
			t.unreportedTokens += int64(f.uncachedTokens)
		}
	}
	t.endedAfterSample = slices.DeleteFunc(t.endedAfterSample, func(e endedRequest) bool {
		return !e.endedAt.After(t.sampledAt)
	})
}

func (t *Target) addInFlight(f inFlightRequest) {
	t.inFlight = append(t.inFlight, f)
	t.pendingTokens += int64(f.uncachedTokens)
	if f.sentAt.After(t.sampledAt) {
		t.unreported++
		t.unreportedTokens += int64(f.uncachedTokens)
	}
}

func (t *Target) indexOf(number uint64) int {
	return slices.IndexFunc(t.inFlight, func(f inFlightRequest) bool { return f.number == number })
}

// markStarted records the first token and returns the request.
func (t *Target) markStarted(now time.Time, number uint64) (inFlightRequest, bool) {
	i := t.indexOf(number)
	if i < 0 || !t.inFlight[i].startedAt.IsZero() {
		return inFlightRequest{}, false
	}
	f := &t.inFlight[i]
	f.startedAt = now
	t.subtractPending(*f)
	return *f, true
}

// subtractPending removes a request's prompt from the pending tokens.
func (t *Target) subtractPending(f inFlightRequest) {
	t.pendingTokens -= int64(f.uncachedTokens)
	if f.sentAt.After(t.sampledAt) {
		t.unreportedTokens -= int64(f.uncachedTokens)
	}
}

// removeInFlight removes an ended request and returns it. At most keep ended requests
// that the report still counts are remembered.
func (t *Target) removeInFlight(now time.Time, number uint64, keep int) (inFlightRequest, bool) {
	i := t.indexOf(number)
	if i < 0 {
		return inFlightRequest{}, false
	}
	f := t.inFlight[i]
	if f.startedAt.IsZero() {
		t.subtractPending(f)
	}
	t.inFlight = slices.Delete(t.inFlight, i, i+1)
	if f.sentAt.After(t.sampledAt) {
		t.unreported--
	} else if len(t.endedAfterSample) < keep {
		t.endedAfterSample = append(t.endedAfterSample, endedRequest{sentAt: f.sentAt, endedAt: now})
	}
	return f, true
}
