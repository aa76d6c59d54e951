package btexpert

import (
	"fmt"
	"slices"
	"time"

	"bilberrytide/core/btrequest"
)

// silentHorizons is after how many horizons a proposal counts as unanswered.
const silentHorizons = 2

// tick considers the map if an interval has passed.
func (d *Decider[P]) tick() []Effect {
	if !d.ready {
		return keep(KeepNoPolicy, "the bundle names no valid group and placement")
	}
	interval := d.placement.Interval.Duration
	if !d.considered.IsZero() && d.now.Sub(d.considered) < interval {
		return nil
	}
	d.considered = d.now
	d.overdue = false
	horizon := d.placement.Horizon.Duration
	effects := d.trust.pass(d.now, horizon)
	if d.pending != nil && d.now.Sub(d.pending.since) > silentHorizons*horizon {
		effects = append(effects, d.giveUp("the switch was never answered")...)
	}
	if reason, detail := d.blocked(); reason != "" {
		d.overdue = d.recovering() && (reason == KeepMeasuring || reason == KeepSwitching)
		return append(effects, keep(reason, detail)...)
	}
	return append(effects, d.consider())
}

// recovering tells whether the popularity has changed at once within a horizon.
func (d *Decider[P]) recovering() bool {
	return !d.jumped.IsZero() && d.now.Sub(d.jumped) < d.placement.Horizon.Duration
}

// makeUp lets the next tick consider the map where a consideration had to wait
// for the last change, so that after a sudden change of popularity the wait isn't
// rounded up to whole intervals.
func (d *Decider[P]) makeUp() {
	if d.overdue {
		d.considered = time.Time{}
	}
}

func keep(reason btrequest.Reason, detail string) []Effect {
	return []Effect{Keep{Reason: reason, Detail: detail}}
}

// blocked returns why no change can be considered now, or nothing.
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
	case d.trial != nil:
		return KeepMeasuring, "the effect of the last change is being measured"
	case d.now.Before(d.notBefore):
		return KeepBackoff, fmt.Sprintf("until %v", d.notBefore.Format(time.RFC3339))
	}
	return "", ""
}

// consider looks for a better map and weighs it.
func (d *Decider[P]) consider() Effect {
	p := Problem{
		Map:       d.inForce,
		Demand:    d.demand(perRank(d.counter.Load(), d.shape)),
		CostModel: NewCostModel(d.placement, d.storeRate, d.stall),
	}
	least := max(d.settings.MinGain, d.noise.share(d.counter.kept)) * d.trust.caution
	step := StepTime(p.Map, p.Demand)
	bound := Bound(p.Map.Shape, p.Demand)
	if 1-bound/step < least {
		return Keep{Reason: KeepEven, Detail: fmt.Sprintf("a perfect split would save %.2f%%", 100*(1-bound/step))}
	}
	if p.CostModel.TransferSeconds(p.Map.Shape.ExpertBytes) >= p.CostModel.Horizon.Seconds() {
		detail := fmt.Sprintf("one expert takes %.0f s at %.0f bytes/s", p.CostModel.TransferSeconds(p.Map.Shape.ExpertBytes), p.CostModel.StoreRate)
		return Keep{Reason: KeepStoreSlow, Detail: detail}
	}
	now := refusal{at: d.now, excess: step/bound - 1, rate: d.storeRate, caution: d.trust.caution}
	if !d.refused.outdated(now, least, refusalIntervals*d.placement.Interval.Duration) {
		detail := fmt.Sprintf("%.2f%% over the bound, hardly more than when a change was last refused", 100*now.excess)
		return Keep{Reason: KeepUnchanged, Detail: detail}
	}
	effect := d.weigh(p, d.planner.Plan(p), least)
	if _, kept := effect.(Keep); kept {
		d.refused = now
	}
	return effect
}

// refusal is the state in which a change was last refused. The search is the
// costly part of a consideration, and is spared while little has changed.
type refusal struct {
	at time.Time
	// excess is the share by which the step exceeded its bound.
	excess  float64
	rate    float64
	caution float64
}

// refusalIntervals is how many intervals a refusal holds at most.
const refusalIntervals = 6

// fasterStore is how many times faster a store must be to be worth a new search.
const fasterStore = 1.1

// outdated tells whether a new search may find what the refused one didn't.
func (f refusal) outdated(now refusal, least float64, lifetime time.Duration) bool {
	return f.at.IsZero() || now.at.Sub(f.at) >= lifetime || now.excess >= f.excess+least/2 ||
		now.rate > f.rate*fasterStore || now.caution < f.caution
}

// weigh proposes the plan if it pays.
func (d *Decider[P]) weigh(p Problem, plan Plan, least float64) Effect {
	if plan.After >= plan.Before {
		return Keep{Reason: KeepNoBetter, Detail: d.planner.Name() + " found no map that is worth its moves"}
	}
	if !d.valid(plan.Map) {
		return Keep{Reason: KeepInvariant, Detail: d.planner.Name() + " planned an invalid map"}
	}
	forecast := forecastOf(p, plan)
	threshold := forecast.Price * d.settings.Margin * d.trust.caution
	detail := fmt.Sprintf("%d moves: gain %.2f, price %.2f, caution %.0f", len(plan.Moves), forecast.Gain, forecast.Price, d.trust.caution)
	refuse := func(reason btrequest.Reason) Effect {
		return Keep{Reason: reason, Detail: detail, Forecast: forecast}
	}
	switch {
	case forecast.Transfer >= p.CostModel.Horizon:
		return refuse(KeepStoreSlow)
	case plan.GainShare() < least:
		return refuse(KeepSmallGain)
	case forecast.Gain <= threshold:
		return refuse(KeepPrice)
	case !d.pays(p, plan, threshold):
		return refuse(KeepInvariant)
	}
	d.pending = &pending{
		digest:   plan.Map.Digest(),
		forecast: forecast,
		since:    d.now,
		speeds:   p.Demand.Speeds,
	}
	cause := CauseDrift
	if !slices.Equal(p.Demand.Speeds, d.planned) {
		cause = CauseStraggler
	}
	return Propose{Map: plan.Map, Moves: plan.Moves, Forecast: forecast, Cause: cause}
}

// valid asserts that a planned map is valid for the group.
func (d *Decider[P]) valid(m Map) bool {
	err := m.Validate()
	if err == nil {
		err = m.Fits(d.shape)
	}
	return d.asserter.That(err == nil, InvariantMapValid, "%v", err)
}

// pays asserts, from the maps alone, that a plan beats its price and threshold.
func (d *Decider[P]) pays(p Problem, plan Plan, threshold float64) bool {
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

// maxTransfer bounds a stated transfer time, as a slow store's could overflow.
const maxTransfer = 365 * 24 * time.Hour
