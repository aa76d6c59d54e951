package btload

import (
	"time"

	"bilberrytide/core/btid"
)

// Event is one of Reported, LevelRelayed, CacheReported, Sent, Started, Finished and
// Removed.
type Event interface {
	loadEvent()
	// AboutTarget returns the target that the event is about.
	AboutTarget() btid.Target
}

// Reported delivers a report that arrived by itself or with an answer.
type Reported struct{ Report Report }

// CacheReported delivers a batch of cache events.
type CacheReported struct{ Batch CacheEvents }

// Sent reports that this entry sent a request to the target. Number identifies the
// attempt and is never reused for this target.
type Sent struct {
	Target   btid.Target
	Number   uint64
	Tokens   int
	Prefixes []uint64
}

// Started reports the first token or byte of the answer.
type Started struct {
	Target btid.Target
	Number uint64
}

// Finished reports the end of a request, complete or not.
type Finished struct {
	Target btid.Target
	Number uint64
	// OutputTokens is how many tokens were generated, or zero if unknown.
	OutputTokens int
	// Refused means that the target did not run the request.
	Refused bool
}

// Removed reports that the bundle no longer lists the target.
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

// Effect is one of FirstTokenMeasured, DecodeMeasured, ReportIgnored,
// CacheEventsMissed and InFlightOverflow.
type Effect interface{ loadEffect() }

// FirstTokenMeasured reports the measured time to first token beside its estimate.
type FirstTokenMeasured struct {
	Target btid.Target
	// Tokens is the prompt's length; zero for a plain service.
	Tokens int
	// Latency is the time from sending the request to the first token or byte.
	Latency time.Duration
	// Expected is the estimate at the time of sending.
	Expected time.Duration
}

// DecodeMeasured reports the mean time between the tokens of one answer.
type DecodeMeasured struct {
	Target   btid.Target
	PerToken time.Duration
}

// ReportIgnored reports that a report was not newer than the current one.
type ReportIgnored struct{ Target btid.Target }

// CacheEventsMissed reports a gap in the sequence of cache events. Cleared means that
// the gap was longer than MaxGap and the cache view was cleared.
type CacheEventsMissed struct {
	Target  btid.Target
	Missing uint64
	Cleared bool
}

// InFlightOverflow reports that more than MaxInFlight requests were in flight to the
// target, so the oldest one is no longer tracked.
type InFlightOverflow struct {
	Target btid.Target
	Number uint64
}

func (FirstTokenMeasured) loadEffect() {}
func (DecodeMeasured) loadEffect()     {}
func (ReportIgnored) loadEffect()      {}
func (CacheEventsMissed) loadEffect()  {}
func (InFlightOverflow) loadEffect()   {}
