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

// measurement is a change whose effect is being measured.
type measurement struct {
	forecast    Forecast
	skewBefore  float64
	hasBaseline bool
	stall       time.Duration
	switchTime  time.Duration
	// skipReports is how many reports still include steps before the switch.
	skipReports int
}

// startMeasurement begins to measure a change that came into force, unless its
// forecast is outdated.
func (d *Decider[P]) startMeasurement(p pending, stall time.Duration, skewBefore float64, hasBaseline bool) {
	d.switchFailures = 0
	d.plannedSpeeds = p.speeds
	if stall > 0 {
		d.stall = stall
	}
	if p.outdated {
		d.reconsiderIfOverdue()
		return
	}
	d.measuring = &measurement{
		forecast:    p.forecast,
		skewBefore:  skewBefore,
		hasBaseline: hasBaseline,
		stall:       stall,
		switchTime:  d.now.Sub(p.since),
		skipReports: 1,
	}
}

// advanceMeasurement ends the measurement once enough steps have been reported.
func (d *Decider[P]) advanceMeasurement() []Effect {
	t := d.measuring
	if t == nil {
		return nil
	}
	if t.skipReports > 0 {
		t.skipReports--
		d.skews.clear()
		return nil
	}
	if !d.skews.full() {
		return nil
	}
	d.measuring = nil
	d.reconsiderIfOverdue()
	after := d.skews.mean()
	detail := fmt.Sprintf("skew expected %.3f to %.3f, measured %.3f to %.3f; stall expected %v, measured %v; in force after %v",
		t.forecast.SkewBefore, t.forecast.SkewAfter, t.skewBefore, after, t.forecast.Stall, t.stall, t.switchTime)
	effects := explain(ExplainMeasured, detail)
	if !t.hasBaseline {
		return effects
	}
	expected := t.forecast.SkewBefore - t.forecast.SkewAfter
	return append(effects, d.caution.observe(d.now, expected, t.skewBefore-after)...)
}
