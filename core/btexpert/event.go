package btexpert

import (
	"time"

	"bilberrytide/core/btbundle"
	"bilberrytide/core/btrequest"
)

// Event is what a Decider is told.
type Event interface{ event() }

// PolicySet tells the bundle's policy and the group's shape, at the start and
// whenever a bundle changes either.
type PolicySet struct {
	Placement btbundle.Placement
	Group     btbundle.Group
}

// MapInForce tells the map by which the group steps, as read from the group: at
// the start and after every switch. Repeats are harmless.
type MapInForce struct {
	Map Map
	// Stall is how long the group stood still during the switch, zero where
	// unknown.
	Stall time.Duration
}

// CountsReported tells the tokens that the group's experts served since the
// report before.
type CountsReported struct {
	Counts Counts
}

// TimesReported tells how long steps took since the report before.
type TimesReported struct {
	// Step is the mean time of a step, without pauses between steps.
	Step time.Duration
	// Ranks holds each rank's own mean compute time in a step, without waiting
	// for others; zero stands for a rank that hasn't reported.
	Ranks []time.Duration
}

// StoreReported tells what the weight store gives.
type StoreReported struct {
	// Rate is the measured rate in bytes per second.
	Rate float64
	Down bool
}

// RanksReported tells which ranks can't take part in a switch; none after all
// are back.
type RanksReported struct {
	Missing []Rank
}

// SwitchFailed tells that a proposed map did not come into force and won't.
type SwitchFailed struct {
	Digest btbundle.Digest
	Reason btrequest.Reason
}

// Tick tells that time has passed. A Decider considers the map on ticks alone.
type Tick struct{}

func (PolicySet) event()      {}
func (MapInForce) event()     {}
func (CountsReported) event() {}
func (TimesReported) event()  {}
func (StoreReported) event()  {}
func (RanksReported) event()  {}
func (SwitchFailed) event()   {}
func (Tick) event()           {}

// Effect is what a Decider wants done or known.
type Effect interface{ effect() }

// Forecast is what a change is expected to bring and to cost.
type Forecast struct {
	// Gain and Price are in weighted seconds over the policy's horizon.
	Gain  float64 `json:"gain"`
	Price float64 `json:"price"`
	// SkewBefore and SkewAfter are the slowest rank over the mean, minus 1.
	SkewBefore float64 `json:"skew_before"`
	SkewAfter  float64 `json:"skew_after"`
	// SkewBound is the skew that no map can beat.
	SkewBound float64 `json:"skew_bound"`
	// Transfer is how long the store will take, Stall how long the group will
	// stand still.
	Transfer time.Duration `json:"transfer"`
	Stall    time.Duration `json:"stall"`
}

// Propose asks for a switch to another map. The Decider then waits for
// MapInForce with that map, or for SwitchFailed.
type Propose struct {
	Map      Map
	Moves    Moves
	Forecast Forecast
	// Cause is CauseDrift or CauseStraggler.
	Cause btrequest.Reason
}

// Keep tells that the map in force stays after a consideration, and why.
type Keep struct {
	Reason btrequest.Reason
	Detail string
	// Forecast is that of the change that was refused, zero where none was found.
	Forecast Forecast
}

// Explain is one line for operators: what was seen and what followed.
type Explain struct {
	Reason btrequest.Reason
	Detail string
}

func (Propose) effect() {}
func (Keep) effect()    {}
func (Explain) effect() {}

// Causes of a proposal.
const (
	// CauseDrift is for experts whose load has changed.
	CauseDrift btrequest.Reason = "expert_load_drift"
	// CauseStraggler is for ranks whose speed has changed.
	CauseStraggler btrequest.Reason = "straggler"
)

// Reasons for which the map in force stays.
const (
	// KeepNoPolicy is for a group whose policy isn't known yet, or can't be served.
	KeepNoPolicy btrequest.Reason = "no_policy"
	// KeepNoMap is for a group whose map in force isn't known.
	KeepNoMap btrequest.Reason = "no_map_in_force"
	// KeepMapShape is for a map in force of another shape than the bundle's.
	KeepMapShape btrequest.Reason = "map_of_other_shape"
	// KeepSwitching is for a proposal that hasn't been answered.
	KeepSwitching btrequest.Reason = "switch_pending"
	// KeepMeasuring is for a change whose effect is still being measured.
	KeepMeasuring btrequest.Reason = "measuring_last_change"
	// KeepBackoff is for the wait after a failed switch.
	KeepBackoff btrequest.Reason = "switch_failed_backoff"
	// KeepRanksMissing is for a group that isn't whole.
	KeepRanksMissing btrequest.Reason = "ranks_missing"
	// KeepCountsMissing is for layers that were never counted.
	KeepCountsMissing btrequest.Reason = "counts_missing"
	// KeepCountsOld is for counts older than the horizon.
	KeepCountsOld btrequest.Reason = "counts_old"
	// KeepStoreDown is for a weight store that is down.
	KeepStoreDown btrequest.Reason = "store_down"
	// KeepStoreSlow is for a transfer that would take longer than the horizon.
	KeepStoreSlow btrequest.Reason = "store_slow"
	// KeepEven is for steps so even that no change is looked for.
	KeepEven btrequest.Reason = "steps_even"
	// KeepUnchanged is for steps hardly less even than when a change was refused.
	KeepUnchanged btrequest.Reason = "unchanged_since_refusal"
	// KeepNoBetter is for a search that found no better map.
	KeepNoBetter btrequest.Reason = "no_better_map"
	// KeepSmallGain is for a gain below the least share of the step time.
	KeepSmallGain btrequest.Reason = "gain_small"
	// KeepPrice is for a gain that doesn't beat the price.
	KeepPrice btrequest.Reason = "price_above_gain"
	// KeepInvariant is for a plan that failed an assertion.
	KeepInvariant btrequest.Reason = "invariant_violated"
)

// Reasons of the lines that explain what was seen.
const (
	// ExplainPolicy is for a policy or group that was refused; the earlier stays.
	ExplainPolicy btrequest.Reason = "policy_refused"
	// ExplainMap is for a reported map that isn't valid; the earlier stays.
	ExplainMap btrequest.Reason = "map_refused"
	// ExplainForeignMap is for a map in force that wasn't proposed here.
	ExplainForeignMap btrequest.Reason = "map_not_proposed"
	// ExplainTimes is for step times with gaps or absurd values.
	ExplainTimes btrequest.Reason = "times_refused"
	// ExplainJump is for a popularity that changed at once.
	ExplainJump btrequest.Reason = "popularity_jumped"
	// ExplainStore is for a store whose rate is below half the stated one.
	ExplainStore btrequest.Reason = "store_slower_than_stated"
	// ExplainStraggler is for a rank that became slow or recovered.
	ExplainStraggler btrequest.Reason = "straggler_evidence"
	// ExplainMeasured is for the measured effect of a change.
	ExplainMeasured btrequest.Reason = "change_measured"
	// ExplainPredictionsMissed is for predictions that missed; the threshold rises.
	ExplainPredictionsMissed btrequest.Reason = "predictions_miss"
	// ExplainPredictionsHold is for a threshold that is back to normal.
	ExplainPredictionsHold btrequest.Reason = "predictions_hold"
	// ExplainSwitch is for a switch that failed or was never answered.
	ExplainSwitch btrequest.Reason = "switch_failed"
)
