package btexpert

import (
	"time"

	"bilberrytide/core/btbundle"
	"bilberrytide/core/btrequest"
)

// Event is an input of a Decider.
type Event interface{ event() }

// PolicySet sets the bundle's policy and the group's shape, at the start and
// whenever a bundle changes either.
type PolicySet struct {
	Placement btbundle.Placement
	Group     btbundle.Group
}

// MapInForce reports the map that the group uses, as read from the group: at the
// start and after every switch. Repeated reports have no effect.
type MapInForce struct {
	Map Map
	// Stall is how long the switch paused the group, or zero if unknown.
	Stall time.Duration
}

// CountsReported reports the tokens that each expert served since the last report.
type CountsReported struct {
	Counts Counts
}

// TimesReported reports how long steps took since the last report.
type TimesReported struct {
	// Step is the mean time of a step, without pauses between steps.
	Step time.Duration
	// Ranks holds each rank's own mean compute time in a step, without waiting for
	// others; zero means that the rank hasn't reported.
	Ranks []time.Duration
}

// StoreReported reports the state of the weight store.
type StoreReported struct {
	// Rate is the measured rate in bytes per second.
	Rate float64
	Down bool
}

// RanksReported reports the ranks that can't take part in a switch; none once all
// are back.
type RanksReported struct {
	Missing []Rank
}

// SwitchFailed reports that a proposed map did not come into force and won't.
type SwitchFailed struct {
	Digest btbundle.Digest
	Reason btrequest.Reason
}

// Tick reports that time has passed. A Decider considers the map only on ticks.
type Tick struct{}

func (PolicySet) event()      {}
func (MapInForce) event()     {}
func (CountsReported) event() {}
func (TimesReported) event()  {}
func (StoreReported) event()  {}
func (RanksReported) event()  {}
func (SwitchFailed) event()   {}
func (Tick) event()           {}

// Effect is an output of a Decider.
type Effect interface{ effect() }

// Forecast is the expected gain and cost of a change.
type Forecast struct {
	// Gain and Price are in weighted seconds over the policy's horizon.
	Gain  float64 `json:"gain"`
	Price float64 `json:"price"`
	// SkewBefore and SkewAfter are the modelled skews without and with the change;
	// see Skew.
	SkewBefore float64 `json:"skew_before"`
	SkewAfter  float64 `json:"skew_after"`
	// SkewBound is the skew that no map can beat.
	SkewBound float64 `json:"skew_bound"`
	// Transfer is how long the store will take, Stall how long the switch will
	// pause the group.
	Transfer time.Duration `json:"transfer"`
	Stall    time.Duration `json:"stall"`
}

// Propose requests a switch to another map. The Decider then waits for MapInForce
// with that map, or for SwitchFailed.
type Propose struct {
	Map      Map
	Moves    Moves
	Forecast Forecast
	// Cause is CauseDrift or CauseStraggler.
	Cause btrequest.Reason
}

// Keep reports that a consideration left the map in force, and why.
type Keep struct {
	Reason btrequest.Reason
	Detail string
	// Forecast is that of the change that was refused, zero where none was found.
	Forecast Forecast
}

// Explain is a line for operators about an observation and its consequence.
type Explain struct {
	Reason btrequest.Reason
	Detail string
}

func (Propose) effect() {}
func (Keep) effect()    {}
func (Explain) effect() {}

// Causes of a proposal.
const (
	// CauseDrift means that the load of experts has changed.
	CauseDrift btrequest.Reason = "expert_load_drift"
	// CauseStraggler means that the speed of a rank has changed.
	CauseStraggler btrequest.Reason = "straggler"
)

// Reasons for which the map in force stays.
const (
	// KeepNoPolicy means that no valid policy of the group is known yet.
	KeepNoPolicy btrequest.Reason = "no_policy"
	// KeepNoMap means that the map in force isn't known.
	KeepNoMap btrequest.Reason = "no_map_in_force"
	// KeepMapShape means that the map in force doesn't have the bundle's shape.
	KeepMapShape btrequest.Reason = "map_of_other_shape"
	// KeepSwitching means that an earlier proposal has no outcome yet.
	KeepSwitching btrequest.Reason = "switch_pending"
	// KeepMeasuring means that the effect of the last change is still being
	// measured.
	KeepMeasuring btrequest.Reason = "measuring_last_change"
	// KeepBackoff means that the wait after a failed switch isn't over.
	KeepBackoff btrequest.Reason = "switch_failed_backoff"
	// KeepRanksMissing means that some ranks can't take part in a switch.
	KeepRanksMissing btrequest.Reason = "ranks_missing"
	// KeepCountsMissing means that a layer was never counted.
	KeepCountsMissing btrequest.Reason = "counts_missing"
	// KeepCountsOld means that the newest counts are older than the horizon.
	KeepCountsOld btrequest.Reason = "counts_old"
	// KeepStoreDown means that the weight store is down.
	KeepStoreDown btrequest.Reason = "store_down"
	// KeepStoreSlow means that the transfer would take longer than the horizon.
	KeepStoreSlow btrequest.Reason = "store_slow"
	// KeepEven means that even a perfect split would save too little.
	KeepEven btrequest.Reason = "steps_even"
	// KeepUnchanged means that steps are hardly less even than when a change was
	// last refused.
	KeepUnchanged btrequest.Reason = "unchanged_since_refusal"
	// KeepNoBetter means that the search found no better map.
	KeepNoBetter btrequest.Reason = "no_better_map"
	// KeepSmallGain means that the change would save too small a share of the step
	// time.
	KeepSmallGain btrequest.Reason = "gain_small"
	// KeepPrice means that the gain doesn't beat the price.
	KeepPrice btrequest.Reason = "price_above_gain"
	// KeepInvariant means that the plan failed an assertion.
	KeepInvariant btrequest.Reason = "invariant_violated"
)

// Reasons of the lines that explain what was seen.
const (
	// ExplainPolicy reports an invalid policy or group; the earlier one stays.
	ExplainPolicy btrequest.Reason = "policy_refused"
	// ExplainMap reports an invalid map; the earlier one stays.
	ExplainMap btrequest.Reason = "map_refused"
	// ExplainForeignMap reports a map in force that this Decider didn't propose.
	ExplainForeignMap btrequest.Reason = "map_not_proposed"
	// ExplainTimes reports step times that are missing or out of range.
	ExplainTimes btrequest.Reason = "times_refused"
	// ExplainShift reports an abrupt shift of the experts' popularity.
	ExplainShift btrequest.Reason = "popularity_jumped"
	// ExplainStore reports a store whose rate is below half the stated one.
	ExplainStore btrequest.Reason = "store_slower_than_stated"
	// ExplainStraggler reports a rank that became slow or recovered.
	ExplainStraggler btrequest.Reason = "straggler_evidence"
	// ExplainMeasured reports the measured effect of a change.
	ExplainMeasured btrequest.Reason = "change_measured"
	// ExplainForecastsMissed reports forecasts that missed, which raises the
	// threshold.
	ExplainForecastsMissed btrequest.Reason = "predictions_miss"
	// ExplainForecastsHold reports that the threshold falls again.
	ExplainForecastsHold btrequest.Reason = "predictions_hold"
	// ExplainSwitch reports a switch that failed or was never answered.
	ExplainSwitch btrequest.Reason = "switch_failed"
)
