package btexpert

import (
	"time"

	"bilberrytide/core/btbundle"
)

// CostModel hold what a change of the map is worth and what it costs, in weighted
// seconds.
type CostModel struct {
	// SkewWeight and MoveWeight are the bundle's placement weights.
	SkewWeight float64
	MoveWeight float64
	// Horizon is how long a new map is expected to stay good.
	Horizon time.Duration
	// StoreRate is the weight store's rate in bytes per second.
	StoreRate float64
	// Stall is how long the group stands still during a switch.
	Stall time.Duration
}

// NewCostModel returns the terms under a bundle's policy, at a store's rate in
// bytes per second and with the stall of one switch.
func NewCostModel(p btbundle.Placement, rate float64, stall time.Duration) CostModel {
	return CostModel{
		SkewWeight: p.SkewWeight,
		MoveWeight: p.MoveWeight,
		Horizon:    p.Horizon.Duration,
		StoreRate:  rate,
		Stall:      stall,
	}
}

// TransferSeconds returns how many seconds the store takes for the bytes. It is kept
// in seconds, because a slow store would overflow a duration.
func (t CostModel) TransferSeconds(bytes int64) float64 {
	if bytes == 0 {
		return 0
	}
	return float64(bytes) / t.StoreRate
}

// Gain returns the value of going from one step time to another: the seconds
// saved from the end of the transfer to the end of the horizon, by the skew
// weight.
func (t CostModel) Gain(before, after float64, bytes int64) float64 {
	if before <= 0 {
		return 0
	}
	left := max(t.Horizon.Seconds()-t.TransferSeconds(bytes), 0)
	return t.SkewWeight * left * (1 - after/before)
}

// Price returns the cost of one change that transfers the bytes: the seconds of
// transfer and stall, by the move weight.
func (t CostModel) Price(bytes int64) float64 {
	return t.MoveWeight * (t.TransferSeconds(bytes) + t.Stall.Seconds())
}

// Problem is what a planner works on. The demand fits the map's shape.
type Problem struct {
	Map       Map
	Demand    Demand
	CostModel CostModel
}

// Plan is a planner's answer. A plan without a change has the problem's map.
type Plan struct {
	Map   Map
	Moves Moves
	// Before and After are the modelled step times of the two maps, in tokens of
	// a rank in order; see StepTime.
	Before float64
	After  float64
	// Evaluations is how many changes of a layer the search tried.
	Evaluations int
}

// Gain returns the plan's expected gain under the terms.
func (p Plan) Gain(t CostModel) float64 {
	return t.Gain(p.Before, p.After, p.Moves.Bytes(p.Map.Shape))
}

// Price returns the plan's price under the terms, zero for no change.
func (p Plan) Price(t CostModel) float64 {
	if p.Before == p.After && len(p.Moves) == 0 {
		return 0
	}
	return t.Price(p.Moves.Bytes(p.Map.Shape))
}

// GainShare returns the share of the step time that the plan saves, 0 to 1.
func (p Plan) GainShare() float64 {
	if p.Before <= 0 {
		return 0
	}
	return 1 - p.After/p.Before
}

// Planner looks for a better map. It is deterministic, and by its own model its
// plan is never slower than the map it was given.
type Planner interface {
	// Name names the planner in reports.
	Name() string
	// Plan answers a problem.
	Plan(p Problem) Plan
}

var (
	_ Planner = Static{}
	_ Planner = Greedy{}
	_ Planner = Incremental{}
	_ Planner = Anytime{}
)

// Static never changes the map: the baseline without rebalancing.
type Static struct{}

// Name returns "static".
func (Static) Name() string { return "static" }

// Plan returns the problem's map.
func (Static) Plan(p Problem) Plan { return unchanged(p) }

func unchanged(p Problem) Plan {
	step := StepTime(p.Map, p.Demand)
	return Plan{Map: p.Map, Before: step, After: step}
}

// planOf makes the plan for a map, or for no change where the map is slower.
func planOf(p Problem, layers []Layer, evaluations int) Plan {
	plan := unchanged(p)
	plan.Evaluations = evaluations
	found := Map{Shape: p.Map.Shape, Layers: layers}
	after := StepTime(found, p.Demand)
	if after >= plan.Before {
		return plan
	}
	plan.Map = found
	plan.Moves = Diff(p.Map, found)
	plan.After = after
	return plan
}
