package btexpert

import (
	"time"

	"bilberrytide/core/btbundle"
)

// CostModel computes the gain and the price of a change of the map, in weighted
// seconds.
type CostModel struct {
	// SkewWeight and MoveWeight are the bundle's placement weights.
	SkewWeight float64
	MoveWeight float64
	// Horizon is how long a new map is expected to remain useful.
	Horizon time.Duration
	// StoreRate is the weight store's rate in bytes per second.
	StoreRate float64
	// Stall is how long a switch pauses the group.
	Stall time.Duration
}

// NewCostModel returns the cost model for a bundle's policy, a store's rate in
// bytes per second and the stall of one switch.
func NewCostModel(p btbundle.Placement, rate float64, stall time.Duration) CostModel {
	return CostModel{
		SkewWeight: p.SkewWeight,
		MoveWeight: p.MoveWeight,
		Horizon:    p.Horizon.Duration,
		StoreRate:  rate,
		Stall:      stall,
	}
}

// TransferSeconds returns how many seconds the store takes for the bytes. A slow
// store would overflow a time.Duration.
func (t CostModel) TransferSeconds(bytes int64) float64 {
	if bytes == 0 {
		return 0
	}
	return float64(bytes) / t.StoreRate
}

// Gain returns the value of reducing the step time from before to after: the
// seconds saved between the end of the transfer and the end of the horizon, times
// the skew weight.
func (t CostModel) Gain(before, after float64, bytes int64) float64 {
	if before <= 0 {
		return 0
	}
	remaining := max(t.Horizon.Seconds()-t.TransferSeconds(bytes), 0)
	return t.SkewWeight * remaining * (1 - after/before)
}

// Price returns the cost of one change that transfers the bytes: the seconds of
// transfer and stall, times the move weight.
func (t CostModel) Price(bytes int64) float64 {
	return t.MoveWeight * (t.TransferSeconds(bytes) + t.Stall.Seconds())
}

// Problem is the input of a planner. The demand must fit the map's shape.
type Problem struct {
	Map       Map
	Demand    Demand
	CostModel CostModel
}

// Plan is the result of a planner. A plan without a change has the problem's map.
type Plan struct {
	Map   Map
	Moves Moves
	// Before and After are the modelled step times with the two maps, in the unit
	// of StepTime.
	Before float64
	After  float64
	// Evaluations is the number of changes that the search evaluated.
	Evaluations int
}

// Gain returns the plan's expected gain under the cost model.
func (p Plan) Gain(t CostModel) float64 {
	return t.Gain(p.Before, p.After, p.Moves.Bytes(p.Map.Shape))
}

// Price returns the plan's price under the cost model, zero for no change.
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

// Planner searches for a better map. It must be deterministic, and its plan must
// never be slower by the model than the map it was given.
type Planner interface {
	// Name returns the planner's name in reports.
	Name() string
	// Plan solves a problem.
	Plan(p Problem) Plan
}

var (
	_ Planner = Static{}
	_ Planner = Greedy{}
	_ Planner = Incremental{}
	_ Planner = Anytime{}
)

// Static never changes the map. It is the baseline without rebalancing.
type Static struct{}

// Name returns "static".
func (Static) Name() string { return "static" }

// Plan returns the problem's map.
func (Static) Plan(p Problem) Plan { return unchangedPlan(p) }

func unchangedPlan(p Problem) Plan {
	step := StepTime(p.Map, p.Demand)
	return Plan{Map: p.Map, Before: step, After: step}
}

// newPlan returns the plan for a map, or one without a change if that map isn't
// faster.
func newPlan(p Problem, layers []Layer, evaluations int) Plan {
	plan := unchangedPlan(p)
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
