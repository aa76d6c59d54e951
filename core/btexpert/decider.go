package btexpert

import (
	"fmt"
	"math"
	"time"

	"bilberrytide/core/btassert"
	"bilberrytide/core/btbundle"
	"bilberrytide/core/btcore"
	"bilberrytide/core/btrequest"
)

// Invariants asserted by a Decider.
const (
	// InvariantMapValid requires that every proposed map is valid for the group.
	InvariantMapValid btassert.Name = "map_valid"
	// InvariantPlanPays requires that every proposed map, by the recomputed model,
	// gains more than its price and its threshold.
	InvariantPlanPays btassert.Name = "plan_pays"
)

// maxStep is the longest step time accepted in a report.
const maxStep = time.Minute

// Decider decides when a group changes its expert map, and to which one. It
// considers the map at each interval of the bundle's policy and proposes a change
// only if the planner's gain over the horizon beats the price by a margin. It then
// waits for the outcome, measures the effect, and raises its threshold if forecasts
// miss.
//
// The type parameter is the planner that searches for better maps.
type Decider[P Planner] struct {
	planner  P
	settings Settings
	asserter *btassert.Asserter

	now        time.Time
	shape      Shape
	placement  btbundle.Placement
	configured bool
	inForce    Map
	mapKnown   bool
	missing    []Rank
	storeRate  float64
	storeDown  bool
	stall      time.Duration

	counter    *Counter
	recentLoad Load
	speedMeter *SpeedMeter
	noise      noiseMeter
	floor      floorMeter
	skews      skewWindow
	caution    caution

	lastConsidered time.Time
	// shiftedAt is when the popularity last shifted abruptly. overdue reports that
	// the last consideration after that was blocked by a change under way.
	shiftedAt      time.Time
	overdue        bool
	backoffUntil   time.Time
	switchFailures int
	pending        *pending
	measuring      *measurement
	plannedSpeeds  Speeds
	lastRefusal    refusal
}

var _ btcore.Machine[Event, Effect] = (*Decider[Incremental])(nil)

// pending is a proposed map whose outcome is not known yet.
type pending struct {
	digest   btbundle.Digest
	forecast Forecast
	since    time.Time
	speeds   Speeds
	// outdated reports that the popularity has shifted abruptly since the proposal.
	outdated bool
}

// NewDecider returns a decider that has no policy, map or counts yet.
func NewDecider[P Planner](planner P, s Settings, a *btassert.Asserter) *Decider[P] {
	return &Decider[P]{
		planner:   planner,
		settings:  s,
		asserter:  a,
		storeRate: s.StoreRate,
		stall:     s.Stall,
		caution:   newCaution(s),
		skews:     skewWindow{size: max(s.Reports, 1)},
	}
}

// Step handles one event and returns its effects. A time before the latest one
// counts as the latest one.
func (d *Decider[P]) Step(now time.Time, event Event) []Effect {
	if now.After(d.now) {
		d.now = now
	}
	switch e := event.(type) {
	case PolicySet:
		return d.setPolicy(e)
	case MapInForce:
		return d.setMap(e)
	case CountsReported:
		return d.addCounts(e)
	case TimesReported:
		return d.addTimes(e)
	case StoreReported:
		return d.setStore(e)
	case RanksReported:
		d.missing = e.Missing
		return nil
	case SwitchFailed:
		return d.failSwitch(e)
	case Tick:
		return d.tick()
	}
	return nil
}

// Caution returns the factor on the gain that a change needs: 1 normally, more
// after missed forecasts.
func (d *Decider[P]) Caution() float64 { return d.caution.factor }

// Speeds returns the measured speeds of the ranks, or nil before the first policy.
func (d *Decider[P]) Speeds() Speeds {
	if d.speedMeter == nil {
		return nil
	}
	return d.speedMeter.Speeds()
}

func explain(reason btrequest.Reason, detail string) []Effect {
	return []Effect{Explain{Reason: reason, Detail: detail}}
}

func (d *Decider[P]) setPolicy(e PolicySet) []Effect {
	shape, err := ShapeOf(e.Group)
	if err == nil {
		err = checkPlacement(e.Placement)
	}
	if err != nil {
		return explain(ExplainPolicy, err.Error())
	}
	changed := !d.configured || shape != d.shape
	d.placement = e.Placement
	d.lastRefusal = refusal{}
	d.shape = shape
	d.configured = true
	if changed {
		d.counter = NewCounter(shape, halfLife(e.Placement))
		d.noise = noiseMeter{}
		d.floor = floorMeter{}
		d.recentLoad = nil
		d.speedMeter = NewSpeedMeter(shape)
		d.plannedSpeeds = EvenSpeeds(shape.Ranks)
		d.skews.clear()
		d.pending = nil
		d.measuring = nil
	}
	d.counter.halfLife = halfLife(e.Placement)
	return nil
}

// halfLivesInHorizon sets how fast counts decay: a map that is to be used for a
// horizon is planned from about the last quarter of one.
const halfLivesInHorizon = 4

func halfLife(p btbundle.Placement) time.Duration {
	return max(p.Interval.Duration, p.Horizon.Duration/halfLivesInHorizon)
}

func checkPlacement(p btbundle.Placement) error {
	for _, v := range []struct {
		key    string
		weight float64
	}{{"skew_weight", p.SkewWeight}, {"move_weight", p.MoveWeight}} {
		if v.weight < 0 || math.IsNaN(v.weight) || math.IsInf(v.weight, 0) {
			return fmt.Errorf("placement.%s = %v, want a finite number from 0", v.key, v.weight)
		}
	}
	if p.Interval.Duration < time.Second {
		return fmt.Errorf("placement.interval = %v, want at least a second", p.Interval.Duration)
	}
	if p.Horizon.Duration < p.Interval.Duration {
		return fmt.Errorf("placement.horizon = %v, want at least the interval %v", p.Horizon.Duration, p.Interval.Duration)
	}
	return nil
}

func (d *Decider[P]) setMap(e MapInForce) []Effect {
	if err := e.Map.Validate(); err != nil {
		return explain(ExplainMap, err.Error())
	}
	digest := e.Map.Digest()
	if d.mapKnown && digest == d.inForce.Digest() {
		return nil
	}
	known := d.mapKnown
	d.inForce = e.Map
	d.mapKnown = true
	d.lastRefusal = refusal{}
	skewBefore := d.skews.mean()
	hasBaseline := d.skews.full()
	d.skews.clear()
	d.measuring = nil
	p := d.pending
	d.pending = nil
	if p != nil && p.digest == digest {
		d.startMeasurement(*p, e.Stall, skewBefore, hasBaseline)
		return nil
	}
	if known {
		return explain(ExplainForeignMap, "map "+digest.String()+" is in force")
	}
	return nil
}

func (d *Decider[P]) addCounts(e CountsReported) []Effect {
	if !d.configured {
		return nil
	}
	var decayed Load
	if d.counter.Complete() {
		decayed = normaliseLoad(d.counter.Load(), d.shape)
	}
	var effects []Effect
	for _, err := range d.counter.Add(d.now, e.Counts) {
		effects = append(effects, Explain{Reason: err.Reason, Detail: err.Error()})
	}
	if d.counter.Complete() {
		d.recentLoad = normaliseLoad(d.counter.Recent(), d.shape)
	}
	if decayed != nil && d.mapKnown && d.inForce.Shape == d.shape {
		d.noise.observe(d.inForce, d.recentLoad, decayed)
	}
	if d.noise.shifted() {
		d.discardHistory()
		effects = append(effects, Explain{Reason: ExplainShift, Detail: "experts' popularity changed at once: earlier counts are forgotten, and a change made for them isn't measured"})
	}
	return effects
}

// discardHistory drops the state that rests on the popularity before an abrupt
// shift, and lets the next tick consider the map. The forecast of a change made for
// the earlier popularity can't be compared with later steps, so its measurement
// ends and no longer blocks the next change.
func (d *Decider[P]) discardHistory() {
	d.noise.outliers = 0
	d.shiftedAt = d.now
	d.counter.DiscardHistory()
	d.lastRefusal = refusal{}
	d.measuring = nil
	if d.pending != nil {
		d.pending.outdated = true
	}
	d.lastConsidered = time.Time{}
}

// demand returns the demand for a load, with the speeds, base and skew floor
// measured so far.
func (d *Decider[P]) demand(load Load) Demand {
	return Demand{Load: load, Speeds: d.speedMeter.Speeds(), Base: d.speedMeter.Base(), SkewFloor: d.floor.value}
}

// normaliseLoad scales each layer's load in place to a mean of 1 per rank, which
// makes layers with gaps in their counts comparable with the others.
func normaliseLoad(load Load, s Shape) Load {
	for _, experts := range load {
		scale := float64(s.Ranks) / sum(experts)
		for e := range experts {
			experts[e] *= scale
		}
	}
	return load
}

func (d *Decider[P]) addTimes(e TimesReported) []Effect {
	if !d.measurable() {
		return nil
	}
	if err := checkTimes(e, d.shape); err != nil {
		return explain(ExplainTimes, err.Error())
	}
	measured := measuredSkew(e)
	experts := Demand{Load: d.recentLoad, Speeds: EvenSpeeds(d.shape.Ranks)}
	d.speedMeter.ObserveSkew(measured, Skew(d.inForce, experts))
	var effects []Effect
	for _, s := range d.speedMeter.Observe(e.Ranks, RankTimes(d.inForce, experts)) {
		effects = append(effects, Explain{Reason: ExplainStraggler, Detail: s.String()})
	}
	d.skews.add(measured)
	d.floor.observe(measured, d.inForce, d.demand(d.recentLoad))
	return append(effects, d.advanceMeasurement()...)
}

// measurable reports whether step times can be compared with a map and counts.
func (d *Decider[P]) measurable() bool {
	return d.configured && d.mapKnown && d.inForce.Shape == d.shape && d.recentLoad != nil
}

func checkTimes(e TimesReported, s Shape) error {
	if e.Step <= 0 || e.Step > maxStep {
		return fmt.Errorf("step time %v, want above zero and at most %v", e.Step, maxStep)
	}
	if len(e.Ranks) != s.Ranks {
		return fmt.Errorf("times of %d ranks, want %d", len(e.Ranks), s.Ranks)
	}
	for r, t := range e.Ranks {
		if t <= 0 || t > maxStep {
			return fmt.Errorf("rank %d: time %v, want above zero and at most %v", r, t, maxStep)
		}
	}
	return nil
}

// measuredSkew returns the step time over the mean of the ranks' own times, minus
// one.
func measuredSkew(e TimesReported) float64 {
	total := time.Duration(0)
	for _, t := range e.Ranks {
		total += t
	}
	mean := total.Seconds() / float64(len(e.Ranks))
	return e.Step.Seconds()/mean - 1
}

// slowStoreShare is the share of the stated rate below which a store is reported as
// slow.
const slowStoreShare = 0.5

func (d *Decider[P]) setStore(e StoreReported) []Effect {
	bad := math.IsNaN(e.Rate) || math.IsInf(e.Rate, 0) || e.Rate <= 0
	d.storeDown = e.Down || bad
	if d.storeDown {
		return nil
	}
	limit := slowStoreShare * d.settings.StoreRate
	wasSlow := d.storeRate < limit
	d.storeRate = e.Rate
	if e.Rate >= limit || wasSlow {
		return nil
	}
	detail := fmt.Sprintf("%.0f bytes/s measured, %.0f stated", e.Rate, d.settings.StoreRate)
	return explain(ExplainStore, detail)
}

// maxBackoffIntervals bounds the wait after a failed switch, in intervals of the
// policy.
const maxBackoffIntervals = 16

func (d *Decider[P]) failSwitch(e SwitchFailed) []Effect {
	if d.pending == nil || d.pending.digest != e.Digest {
		return nil
	}
	return d.abandonSwitch(string(e.Reason))
}

// abandonSwitch ends a proposal that did not lead to a switch. The wait before the
// next change doubles with each failure in a row.
func (d *Decider[P]) abandonSwitch(cause string) []Effect {
	d.pending = nil
	wait := d.placement.Interval.Duration << min(d.switchFailures, 4)
	wait = min(wait, maxBackoffIntervals*d.placement.Interval.Duration)
	d.switchFailures++
	d.backoffUntil = d.now.Add(wait)
	detail := fmt.Sprintf("%s: no further change for %v", cause, wait)
	return explain(ExplainSwitch, detail)
}
