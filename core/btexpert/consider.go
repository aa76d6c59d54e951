package btexpert

import (
	"fmt"
	"slices"
	"time"

	"bilberrytide/core/btrequest"
)

// switchTimeoutHorizons is the number of horizons after which a proposal counts as
// unanswered.
const switchTimeoutHorizons = 2

// tick evaluates the map if an interval has passed since the last evaluation.
func (d *Decider[P]) tick() []Effect {
	if !d.configured {
		return keep(KeepNoPolicy, "the bundle names no valid group and placement")
	}
	interval := d.placement.Interval.Duration
	if !d.lastConsidered.IsZero() && d.now.Sub(d.lastConsidered) < interval {
		return nil
	}
	d.lastConsidered = d.now
	d.overdue = false
	horizon := d.placement.Horizon.Duration
	effects := d.caution.expire(d.now, horizon)
	if d.pending != nil && d.now.Sub(d.pending.since) > switchTimeoutHorizons*horizon {
		effects = append(effects, d.abandonSwitch("the switch was never answered")...)
	}
	if reason, detail := d.blocked(); reason != "" {
		d.overdue = d.recentlyShifted() && (reason == KeepMeasuring || reason == KeepSwitching)
		return append(effects, keep(reason, detail)...)
	}
	return append(effects, d.consider())
}

// recentlyShifted reports whether the popularity has shifted abruptly within the
// last horizon.
func (d *Decider[P]) recentlyShifted() bool {
	return !d.shiftedAt.IsZero() && d.now.Sub(d.shiftedAt) < d.placement.Horizon.Duration
}

// reconsiderIfOverdue lets the next tick consider the map if the last consideration
// was blocked by a change under way, so that after an abrupt shift of popularity
// the wait isn't rounded up to whole intervals.
func (d *Decider[P]) reconsiderIfOverdue() {
	if d.overdue {
		d.lastConsidered = time.Time{}
	}
}

func keep(reason btrequest.Reason, detail string) []Effect {
	return []Effect{Keep{Reason: reason, Detail: detail}}
}

// blocked returns why no change can be considered now, or an empty reason.
func (d *Decider[P]) blocked() (btrequest.Reason, string) {
	switch {
	case !d.mapKnown:
		return KeepNoMap, "the group has not told its map"
	case d.inForce.Shape != d.shape:
		return KeepMapShape, d.inForce.Fits(d.shape).Error()
	case d.pending != nil:
		return KeepSwitching, "proposed map " + d.pending.digest.String() + " is not in force yet"
	case len(d.missing) > 0:
		return KeepRanksMissing, fmt.Sprintf("ranks %v", d.missing)
	case !d.counter.Complete():
		return KeepCountsMissing, "a layer was never counted"
	case d.now.Sub(d.counter.Last()) > d.placement.Horizon.Duration:
		return KeepCountsOld, fmt.Sprintf("last counted %v ago", d.now.Sub(d.counter.Last()))
	case d.storeDown:
		return KeepStoreDown, "the weight store is down"
	case d.measuring != nil:
		return KeepMeasuring, "the effect of the last change is being measured"
	case d.now.Before(d.backoffUntil):
		return KeepBackoff, fmt.Sprintf("until %v", d.backoffUntil.Format(time.RFC3339))
	}
	return "", ""
}

// consider searches for a better map and proposes it if it pays.
func (d *Decider[P]) consider() Effect {
	p := Problem{
		Map:       d.inForce,
		Demand:    d.demand(normaliseLoad(d.counter.Load(), d.shape)),
		CostModel: NewCostModel(d.placement, d.storeRate, d.stall),
	}
	minGain := max(d.settings.MinGain, d.noise.minDetectableGain(d.counter.retained)) * d.caution.factor
	step := StepTime(p.Map, p.Demand)
	bound := Bound(p.Map.Shape, p.Demand)
	if 1-bound/step < minGain {
		return Keep{Reason: KeepEven, Detail: fmt.Sprintf("a perfect split would save %.2f%%", 100*(1-bound/step))}
	}
	if p.CostModel.TransferSeconds(p.Map.Shape.ExpertBytes) >= p.CostModel.Horizon.Seconds() {
		detail := fmt.Sprintf("one expert takes %.0f s at %.0f bytes/s", p.CostModel.TransferSeconds(p.Map.Shape.ExpertBytes), p.CostModel.StoreRate)
		return Keep{Reason: KeepStoreSlow, Detail: detail}
	}
	now := refusal{at: d.now, excess: step/bound - 1, rate: d.storeRate, caution: d.caution.factor}
	if !d.lastRefusal.expired(now, minGain, refusalIntervals*d.placement.Interval.Duration) {
		detail := fmt.Sprintf("%.2f%% over the bound, hardly more than when a change was last refused", 100*now.excess)
		return Keep{Reason: KeepUnchanged, Detail: detail}
	}
	effect := d.assess(p, d.planner.Plan(p), minGain)
	if _, kept := effect.(Keep); kept {
		d.lastRefusal = now
	}
	return effect
}

// refusal is the state in which a change was last refused. The search is the costly
// part of a consideration, and is skipped while little has changed since.
type refusal struct {
	at time.Time
	// excess is the share by which the step time exceeded its bound.
	excess  float64
	rate    float64
	caution float64
}

// refusalIntervals is the number of intervals after which a refusal expires at the
// latest.
const refusalIntervals = 6

// minRateIncrease is the factor by which the store's rate must exceed that of the
// refusal for a new search.
const minRateIncrease = 1.1

// expired reports whether a new search may find a change that the refused one
// didn't.
func (f refusal) expired(now refusal, minGain float64, maxAge time.Duration) bool {
	return f.at.IsZero() || now.at.Sub(f.at) >= maxAge || now.excess >= f.excess+minGain/2 ||
		now.rate > f.rate*minRateIncrease || now.caution < f.caution
}

// assess proposes the plan if it pays.
func (d *Decider[P]) assess(p Problem, plan Plan, minGain float64) Effect {
	if plan.After >= plan.Before {
		return Keep{Reason: KeepNoBetter, Detail: d.planner.Name() + " found no map that is worth its moves"}
	}
	if !d.assertValid(plan.Map) {
		return Keep{Reason: KeepInvariant, Detail: d.planner.Name() + " planned an invalid map"}
	}
	forecast := forecastOf(p, plan)
	threshold := forecast.Price * d.settings.Margin * d.caution.factor
	detail := fmt.Sprintf("%d moves: gain %.2f, price %.2f, caution %.0f", len(plan.Moves), forecast.Gain, forecast.Price, d.caution.factor)
	refuse := func(reason btrequest.Reason) Effect {
		return Keep{Reason: reason, Detail: detail, Forecast: forecast}
	}
	switch {
	case forecast.Transfer >= p.CostModel.Horizon:
		return refuse(KeepStoreSlow)
	case plan.GainShare() < minGain:
		return refuse(KeepSmallGain)
	case forecast.Gain <= threshold:
		return refuse(KeepPrice)
	case !d.assertPays(p, plan, threshold):
		return refuse(KeepInvariant)
	}
	d.pending = &pending{
		digest:   plan.Map.Digest(),
		forecast: forecast,
		since:    d.now,
		speeds:   p.Demand.Speeds,
	}
	cause := CauseDrift
	if !slices.Equal(p.Demand.Speeds, d.plannedSpeeds) {
		cause = CauseStraggler
	}
	return Propose{Map: plan.Map, Moves: plan.Moves, Forecast: forecast, Cause: cause}
}

// assertValid asserts that a planned map is valid for the group.
func (d *Decider[P]) assertValid(m Map) bool {
	err := m.Validate()
	if err == nil {
		err = m.Fits(d.shape)
	}
	return d.asserter.That(err == nil, InvariantMapValid, "%v", err)
}

// assertPays asserts, by the model computed from the maps alone, that a plan beats
// its price and its threshold.
func (d *Decider[P]) assertPays(p Problem, plan Plan, threshold float64) bool {
	bytes := Diff(p.Map, plan.Map).Bytes(d.shape)
	gain := p.CostModel.Gain(StepTime(p.Map, p.Demand), StepTime(plan.Map, p.Demand), bytes)
	return d.asserter.That(gain > threshold && gain > p.CostModel.Price(bytes), InvariantPlanPays,
		"gain %v, price %v, threshold %v", gain, p.CostModel.Price(bytes), threshold)
}

func forecastOf(p Problem, plan Plan) Forecast {
	bytes := plan.Moves.Bytes(p.Map.Shape)
	transfer := min(p.CostModel.TransferSeconds(bytes), maxTransfer.Seconds())
	return Forecast{
		Gain:       plan.Gain(p.CostModel),
		Price:      plan.Price(p.CostModel),
		SkewBefore: Skew(p.Map, p.Demand),
		SkewAfter:  Skew(plan.Map, p.Demand),
		SkewBound:  BoundSkew(p.Map.Shape, p.Demand),
		Transfer:   time.Duration(transfer * float64(time.Second)),
		Stall:      p.CostModel.Stall,
	}
}

// maxTransfer bounds the transfer time of a forecast, as a slow store's could
// overflow.
const maxTransfer = 365 * 24 * time.Hour
