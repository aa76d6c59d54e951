package btexpert_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btexpert"
	"bilberrytide/core/btexpert/bttrace"
)

// shiftPopularity reports another popularity, as often as it takes to count as a
// shift.
func (f *fixture) shiftPopularity() {
	counts := unevenCounts(shape16)
	for l := range counts {
		slices.Reverse(counts[l])
	}
	f.step(btexpert.CountsReported{Counts: counts})
	effects := f.step(btexpert.CountsReported{Counts: counts})
	if len(effects) != 1 || effects[0].(btexpert.Explain).Reason != btexpert.ExplainShift {
		panic("the shift was not reported")
	}
}

// After a shift, the forecast of a change made for the earlier popularity can't be
// measured. Guards against that measurement, or the rest of the interval, blocking
// the next change.
func TestShiftCancelsMeasurementAndInterval(t *testing.T) {
	for _, c := range []struct {
		name   string
		events func(f *fixture, p btexpert.Map)
	}{
		{"while measuring", func(f *fixture, p btexpert.Map) {
			f.step(btexpert.MapInForce{Map: p})
			f.shiftPopularity()
		}},
		{"while switching", func(f *fixture, p btexpert.Map) {
			f.shiftPopularity()
			assert.Equal(t, f.step(btexpert.Tick{})[0].(btexpert.Keep).Reason, btexpert.KeepSwitching)
			f.step(btexpert.MapInForce{Map: p})
		}},
	} {
		f := newFixture(himal)
		f.count()
		c.events(f, f.tick().(btexpert.Propose).Map)
		_, proposed := f.step(btexpert.Tick{})[0].(btexpert.Propose)
		assert.Assert(t, proposed, c.name)
		assert.Equal(t, f.d.Caution(), 1.0)
	}
}

// Soon after a shift, a consideration blocked by the last change must happen as
// soon as its effect is measured, not at the end of the interval.
func TestBlockedConsiderationIsRetriedAfterShift(t *testing.T) {
	f := newFixture(faellesrum)
	f.count()
	f.shiftPopularity()
	p := f.tick().(btexpert.Propose)
	f.step(btexpert.MapInForce{Map: p.Map})
	assert.Equal(t, f.tick().(btexpert.Keep).Reason, btexpert.KeepMeasuring)
	for range 6 {
		assert.Equal(t, len(f.step(btexpert.Tick{})), 0)
		f.report(0.1)
	}
	f.now = f.now.Add(time.Second)
	k, kept := f.step(btexpert.Tick{})[0].(btexpert.Keep)
	assert.Assert(t, !kept || k.Reason != btexpert.KeepMeasuring)
	assert.Equal(t, len(f.step(btexpert.Tick{})), 0)
}

// After a shift, steps must be even again within three reports: the shift is
// recognised at the second one, and the transfer of the weights takes the rest.
func TestSkewRecoversAfterShift(t *testing.T) {
	t.Parallel()
	for _, seed := range steadySeeds {
		r := newTraceRun(24*time.Minute, quickShape, bttrace.Shift, seed, newDecider(btexpert.Incremental{}), himal).play()
		t.Logf("seed %d: %v", seed, r.settlingTime())
		assert.Assert(t, r.settlingTime() <= 3*reportInterval, "seed %d: %v", seed, r.settlingTime())
	}
}
