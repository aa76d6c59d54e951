package btexpert

import (
	"fmt"
	"time"
)

// skewWindow holds the newest measured skews.
type skewWindow struct {
	size   int
	values []float64
}

func (w *skewWindow) add(v float64) {
	if len(w.values) == w.size {
		copy(w.values, w.values[1:])
		w.values = w.values[:w.size-1]
	}
	w.values = append(w.values, v)
}

func (w *skewWindow) clear() { w.values = w.values[:0] }

func (w *skewWindow) full() bool { return len(w.values) == w.size }

func (w *skewWindow) mean() float64 {
	if len(w.values) == 0 {
		return 0
	}
	return sum(w.values) / float64(len(w.values))
}

// trial is a change whose effect is being measured.
type trial struct {
	forecast Forecast
	before   float64
	measured bool
	stall    time.Duration
	took     time.Duration
	// skip is how many reports still mix steps before and after the switch.
	skip int
}

// startTrial begins to measure a change that came into force, unless its
// forecast is outdated.
func (d *Decider[P]) startTrial(p pending, stall time.Duration, before float64, measured bool) {
	d.failures = 0
	d.planned = p.speeds
	if stall > 0 {
		d.stall = stall
	}
	if p.outdated {
		d.makeUp()
		return
	}
	d.trial = &trial{
		forecast: p.forecast,
		before:   before,
		measured: measured,
		stall:    stall,
		took:     d.now.Sub(p.since),
		skip:     1,
	}
}

// advanceTrial ends the trial once enough steps have been measured.
func (d *Decider[P]) advanceTrial() []Effect {
	t := d.trial
	if t == nil {
		return nil
	}
	if t.skip > 0 {
		t.skip--
		d.skews.clear()
		return nil
	}
	if !d.skews.full() {
		return nil
	}
	d.trial = nil
	d.makeUp()
	after := d.skews.mean()
	detail := fmt.Sprintf("skew expected %.3f to %.3f, measured %.3f to %.3f; stall expected %v, measured %v; in force after %v",
		t.forecast.SkewBefore, t.forecast.SkewAfter, t.before, after, t.forecast.Stall, t.stall, t.took)
	effects := explain(ExplainMeasured, detail)
	if !t.measured {
		return effects
	}
	expected := t.forecast.SkewBefore - t.forecast.SkewAfter
	return append(effects, d.trust.judge(d.now, expected, t.before-after)...)
}
