package btload

import (
	"slices"
	"time"

	"bilberrytide/core/btid"
)

// Target is what one entry knows of one target's load. It is obtained from a
// Tracker and stays valid until the target is removed.
type Target struct {
	name        btid.Target
	fleet       *fleet
	uncorrected bool

	report Report
	// sampledAt is when the report's sample was taken, by this entry's clock.
	sampledAt time.Time
	reported  bool

	flights []flight
	// ended holds the send times of requests that the report still counts.
	ended []endedFlight
	// sentSince counts this entry's requests in flight that the report does
	// not count yet.
	sentSince int
	// unstarted is the prompt tokens of all own requests without a first
	// token; unstartedSince only of those that the report does not count.
	unstarted, unstartedSince int64

	prefill, decode average
	cache           view
}

// flight is one request of this entry that has not ended.
type flight struct {
	number    uint64
	sentAt    time.Time
	startedAt time.Time
	// prompt is the prompt's length in tokens, tokens what of it is not cached.
	prompt, tokens int
	// expected, wait and ahead are the estimate at the time of sending.
	expected, wait time.Duration
	ahead          int64
}

// endedFlight is a request that ended after the report's sample.
type endedFlight struct{ sentAt, endedAt time.Time }

// Name returns the target's name.
func (t *Target) Name() btid.Target { return t.name }

// Draining tells whether the last report said so.
func (t *Target) Draining() bool { return t.report.Draining }

// Report returns the last report, and false where there was none.
func (t *Target) Report() (Report, bool) { return t.report, t.reported }

// ReportAge returns how old the last report's sample is.
func (t *Target) ReportAge(now time.Time) time.Duration { return now.Sub(t.sampledAt) }

// InFlight returns how many requests of this entry have not ended.
func (t *Target) InFlight() int { return len(t.flights) }

// CachedPrefixes returns how many prefixes the view holds.
func (t *Target) CachedPrefixes() int { return t.cache.size() }

func (t *Target) take(now time.Time, r Report) bool {
	if t.reported && !r.newer(t.report) {
		return false
	}
	if t.reported && r.Incarnation != t.report.Incarnation {
		t.cache.clear()
	}
	t.report, t.sampledAt, t.reported = r, now.Add(-r.Age), true
	t.recount()
	return true
}

// recount sums up which own requests the report does not count.
func (t *Target) recount() {
	t.sentSince, t.unstartedSince = 0, 0
	for _, f := range t.flights {
		if !f.sentAt.After(t.sampledAt) {
			continue
		}
		t.sentSince++
		if f.startedAt.IsZero() {
			t.unstartedSince += int64(f.tokens)
		}
	}
	t.ended = slices.DeleteFunc(t.ended, func(e endedFlight) bool {
		return !e.endedAt.After(t.sampledAt)
	})
}

func (t *Target) send(f flight) {
	t.flights = append(t.flights, f)
	t.unstarted += int64(f.tokens)
	if f.sentAt.After(t.sampledAt) {
		t.sentSince++
		t.unstartedSince += int64(f.tokens)
	}
}

func (t *Target) find(number uint64) int {
	return slices.IndexFunc(t.flights, func(f flight) bool { return f.number == number })
}

// start marks the first token and returns the flight.
func (t *Target) start(now time.Time, number uint64) (flight, bool) {
	i := t.find(number)
	if i < 0 || !t.flights[i].startedAt.IsZero() {
		return flight{}, false
	}
	f := &t.flights[i]
	f.startedAt = now
	t.settle(*f)
	return *f, true
}

// settle takes a flight's prompt out of the work ahead.
func (t *Target) settle(f flight) {
	t.unstarted -= int64(f.tokens)
	if f.sentAt.After(t.sampledAt) {
		t.unstartedSince -= int64(f.tokens)
	}
}

// end removes the flight and returns it.
func (t *Target) end(now time.Time, number uint64, keep int) (flight, bool) {
	i := t.find(number)
	if i < 0 {
		return flight{}, false
	}
	f := t.flights[i]
	if f.startedAt.IsZero() {
		t.settle(f)
	}
	t.flights = slices.Delete(t.flights, i, i+1)
	if f.sentAt.After(t.sampledAt) {
		t.sentSince--
	} else if len(t.ended) < keep {
		t.ended = append(t.ended, endedFlight{sentAt: f.sentAt, endedAt: now})
	}
	return f, true
}
