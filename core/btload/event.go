package btload

import (
	"time"

	"bilberrytide/core/btid"
)

// Event is one of Reported, Told, Cached, Sent, Started, Finished and Removed.
type Event interface {
	loadEvent()
	// AboutTarget returns the target that the event is about.
	AboutTarget() btid.Target
}

// Reported is the arrival of a report, alone or with an answer.
type Reported struct{ Report Report }

// CacheReported is the arrival of cache events.
type CacheReported struct{ Batch CacheEvents }

// Sent tells that this entry sent a request to the target. Number is the
// attempt's own number, never used again for this target.
type Sent struct {
	Target   btid.Target
	Number   uint64
	Tokens   int
	Prefixes []uint64
}

// Started is the first token or byte of the answer.
type Started struct {
	Target btid.Target
	Number uint64
}

// Finished is the end of a request, whole or not.
type Finished struct {
	Target btid.Target
	Number uint64
	// OutputTokens is how many tokens were generated; zero where unknown.
	OutputTokens int
	// Refused tells that the target did not run the request.
	Refused bool
}

// Removed tells that the target is gone from the bundle.
type Removed struct{ Target btid.Target }

func (Reported) loadEvent()      {}
func (CacheReported) loadEvent() {}
func (Sent) loadEvent()          {}
func (Started) loadEvent()       {}
func (Finished) loadEvent()      {}
func (Removed) loadEvent()       {}

// AboutTarget returns the target that the event is about.
func (e Reported) AboutTarget() btid.Target { return e.Report.Target }

// AboutTarget returns the target that the event is about.
func (e CacheReported) AboutTarget() btid.Target { return e.Batch.Target }

// AboutTarget returns the target that the event is about.
func (e Sent) AboutTarget() btid.Target { return e.Target }

// AboutTarget returns the target that the event is about.
func (e Started) AboutTarget() btid.Target { return e.Target }

// AboutTarget returns the target that the event is about.
func (e Finished) AboutTarget() btid.Target { return e.Target }

// AboutTarget returns the target that the event is about.
func (e Removed) AboutTarget() btid.Target { return e.Target }

// Effect is one of Measured, Generated, ReportIgnored, ViewAged and FlightForgotten.
type Effect interface{ loadEffect() }

// FirstTokenMeasured is the outcome of one estimate.
type FirstTokenMeasured struct {
	Target btid.Target
	// Tokens is the prompt's length; zero for a plain service.
	Tokens int
	// Latency is the time from sending to the first token or byte.
	Latency time.Duration
	// Expected is what was estimated when the request was sent.
	Expected time.Duration
}

// DecodeMeasured is the mean time between the tokens of one answer.
type DecodeMeasured struct {
	Target   btid.Target
	PerToken time.Duration
}

// ReportIgnored is a report that is not newer than the one in force.
type ReportIgnored struct{ Target btid.Target }

// CacheEventsMissed tells that cache events went missing.
type CacheEventsMissed struct {
	Target  btid.Target
	Missing uint64
	Cleared bool
}

// InFlightOverflow tells that more of this entry's requests were in flight to
// the target than are tracked.
type InFlightOverflow struct {
	Target btid.Target
	Number uint64
}

func (FirstTokenMeasured) loadEffect() {}
func (DecodeMeasured) loadEffect()     {}
func (ReportIgnored) loadEffect()      {}
func (CacheEventsMissed) loadEffect()  {}
func (InFlightOverflow) loadEffect()   {}
