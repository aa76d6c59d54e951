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
	// InvariantMapValid holds that every proposed map is valid for the group.
	InvariantMapValid btassert.Name = "map_valid"
	// InvariantPlanPays holds that every proposed map, by the model computed
	// anew, gains more than its price and its threshold.
	InvariantPlanPays btassert.Name = "plan_pays"
)

// maxStep is the longest step time believed.
const maxStep = time.Minute

// Decider decides when a group changes its expert map, and to which. It
// considers the map at each interval of the bundle's policy and proposes a
// change only where the planner's gain over the horizon beats the price by a
// margin. It then waits for the outcome, measures the effect, and becomes more
// careful when its predictions miss.
//
// The type parameter is the planner that looks for better maps.
type Decider[P Planner] struct {
	planner  P
	settings Settings
	asserter *btassert.Asserter

	now       time.Time
	shape     Shape
	placement btbundle.Placement
	ready     bool
	inForce   Map
	mapKnown  bool
	missing   []Rank
	storeRate float64
	storeDown bool
	stall     time.Duration

	counter *Counter
	recent  Load
	meter   *SpeedMeter
	noise   noiseMeter
	floor   floorMeter
	skews   skewWindow
	trust   trust

	considered time.Time
	// jumped is when the popularity last changed at once, and overdue tells that
	// since then the last consideration had to wait for a change.
	jumped    time.Time
	overdue   bool
	notBefore time.Time
	failures  int
	pending   *pending
	trial     *trial
	planned   Speeds
	refused   refusal
}

var _ btcore.Machine[Event, Effect] = (*Decider[Incremental])(nil)

// pending is a proposal that waits for its outcome.
type pending struct {
	digest   btbundle.Digest
	forecast Forecast
	since    time.Time
	speeds   Speeds
	// outdated tells that the popularity has changed at once since.
	outdated bool
}

// NewDecider returns a decider that knows nothing of its group yet.
func NewDecider[P Planner](planner P, s Settings, a *btassert.Asserter) *Decider[P] {
	return &Decider[P]{
		planner:   planner,
		settings:  s,
		asserter:  a,
		storeRate: s.StoreRate,
		stall:     s.Stall,
		trust:     newTrust(s),
		skews:     skewWindow{size: max(s.Reports, 1)},
	}
}

// Step takes in one event.
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

// Caution returns how many times its normal threshold a change must gain now.
func (d *Decider[P]) Caution() float64 { return d.trust.caution }

// Speeds returns the measured speeds of the ranks, nil before the policy.
func (d *Decider[P]) Speeds() Speeds {
	if d.meter == nil {
		return nil
	}
	return d.meter.Speeds()
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
	changed := !d.ready || shape != d.shape
	d.placement = e.Placement
	d.refused = refusal{}
	d.shape = shape
	d.ready = true
	if changed {
		d.counter = NewCounter(shape, halfLife(e.Placement))
		d.noise = noiseMeter{}
		d.floor = floorMeter{}
		d.recent = nil
		d.meter = NewSpeedMeter(shape)
		d.planned = EvenSpeeds(shape.Ranks)
		d.skews.clear()
		d.pending = nil
		d.trial = nil
	}
	d.counter.halfLife = halfLife(e.Placement)
	return nil
}

// halfLivesInHorizon sets how fast counts decay: a map that is to be good for a
// horizon is made from the last quarter of one.
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
	d.refused = refusal{}
	before := d.skews.mean()
	full := d.skews.full()
	d.skews.clear()
	d.trial = nil
	p := d.pending
	d.pending = nil
	if p != nil && p.digest == digest {
		d.startTrial(*p, e.Stall, before, full)
		return nil
	}
	if known {
		return explain(ExplainForeignMap, "map "+digest.String()+" is in force")
	}
	return nil
}

func (d *Decider[P]) addCounts(e CountsReported) []Effect {
	if !d.ready {
		return nil
	}
	var decayed Load
	if d.counter.Complete() {
		decayed = perRank(d.counter.Load(), d.shape)
	}
	var effects []Effect
	for _, err := range d.counter.Add(d.now, e.Counts) {
		effects = append(effects, Explain{Reason: err.Reason, Detail: err.Error()})
	}
	if d.counter.Complete() {
		d.recent = perRank(d.counter.Recent(), d.shape)
	}
	if decayed != nil && d.mapKnown && d.inForce.Shape == d.shape {
		d.noise.observe(d.inForce, d.recent, decayed)
	}
	if d.noise.jumped() {
		d.forgetPast()
		effects = append(effects, Explain{Reason: ExplainJump, Detail: "experts' popularity changed at once: earlier counts are forgotten, and a change made for them isn't measured"})
	}
	return effects
}

// forgetPast drops what rests on the popularity before a sudden change, and
// lets the next tick consider the map. The forecast of a change made for that
// popularity can't be held against what comes, so its measuring is no reason to
// wait.
func (d *Decider[P]) forgetPast() {
	d.noise.jumps = 0
	d.jumped = d.now
	d.counter.DiscardHistory()
	d.refused = refusal{}
	d.trial = nil
	if d.pending != nil {
		d.pending.outdated = true
	}
	d.considered = time.Time{}
}

// demand returns what a load asks of the ranks, as far as has been measured.
func (d *Decider[P]) demand(load Load) Demand {
	return Demand{Load: load, Speeds: d.meter.Speeds(), Base: d.meter.Base(), SkewFloor: d.floor.value}
}

// perRank scales each layer's load so that the mean rank has 1, which makes
// layers with gaps comparable with the others.
func perRank(load Load, s Shape) Load {
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
	experts := Demand{Load: d.recent, Speeds: EvenSpeeds(d.shape.Ranks)}
	d.meter.ObserveSkew(measured, Skew(d.inForce, experts))
	var effects []Effect
	for _, s := range d.meter.Observe(e.Ranks, RankTimes(d.inForce, experts)) {
		effects = append(effects, Explain{Reason: ExplainStraggler, Detail: s.String()})
	}
	d.skews.add(measured)
	d.floor.observe(measured, d.inForce, d.demand(d.recent))
	return append(effects, d.advanceTrial()...)
}

// measurable tells whether step times can be held against a map and counts.
func (d *Decider[P]) measurable() bool {
	return d.ready && d.mapKnown && d.inForce.Shape == d.shape && d.recent != nil
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

// measuredSkew returns the step over the mean rank's own time, minus one.
func measuredSkew(e TimesReported) float64 {
	total := time.Duration(0)
	for _, t := range e.Ranks {
		total += t
	}
	mean := total.Seconds() / float64(len(e.Ranks))
	return e.Step.Seconds()/mean - 1
}

// slowStore is the share of the stated rate below which a store is reported.
const slowStore = 0.5

func (d *Decider[P]) setStore(e StoreReported) []Effect {
	bad := math.IsNaN(e.Rate) || math.IsInf(e.Rate, 0) || e.Rate <= 0
	d.storeDown = e.Down || bad
	if d.storeDown {
		return nil
	}
	limit := slowStore * d.settings.StoreRate
	wasSlow := d.storeRate < limit
	d.storeRate = e.Rate
	if e.Rate >= limit || wasSlow {
		return nil
	}
	detail := fmt.Sprintf("%.0f bytes/s measured, %.0f stated", e.Rate, d.settings.StoreRate)
	return explain(ExplainStore, detail)
}

const maxBackoff = 16

func (d *Decider[P]) failSwitch(e SwitchFailed) []Effect {
	if d.pending == nil || d.pending.digest != e.Digest {
		return nil
	}
	return d.giveUp(string(e.Reason))
}

// giveUp ends a proposal without a switch and waits longer after each in a row.
func (d *Decider[P]) giveUp(cause string) []Effect {
	d.pending = nil
	wait := d.placement.Interval.Duration << min(d.failures, 4)
	wait = min(wait, maxBackoff*d.placement.Interval.Duration)
	d.failures++
	d.notBefore = d.now.Add(wait)
	detail := fmt.Sprintf("%s: no further change for %v", cause, wait)
	return explain(ExplainSwitch, detail)
}
