package btexpert_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btexpert"
	"bilberrytide/core/btexpert/bttrace"
)

// jump reports another popularity, as often as it takes to be believed.
func (f *fixture) jump() {
	counts := unevenCounts(today)
	for l := range counts {
		slices.Reverse(counts[l])
	}
	f.step(btexpert.CountsReported{Counts: counts})
	effects := f.step(btexpert.CountsReported{Counts: counts})
	if len(effects) != 1 || effects[0].(btexpert.Explain).Reason != btexpert.ExplainJump {
		panic("the jump went unnoticed")
	}
}

// The forecast of a change for a popularity that is gone can't be measured, so
// neither that nor the rest of an interval holds back the next change.
func TestJumpEndsTheWait(t *testing.T) {
	for _, c := range []struct {
		name   string
		events func(f *fixture, p btexpert.Map)
	}{
		{"while measuring", func(f *fixture, p btexpert.Map) {
			f.step(btexpert.MapInForce{Map: p})
			f.jump()
		}},
		{"while switching", func(f *fixture, p btexpert.Map) {
			f.jump()
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

// Soon after a jump, the rest of the interval isn't waited for either once an
// effect is measured.
func TestBlockedConsiderationIsMadeUp(t *testing.T) {
	f := newFixture(faellesrum)
	f.count()
	f.jump()
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

// After a sudden change the steps are even again within three reports: the jump
// is believed at the second, and the new weights take the rest.
func TestStepsAreEvenSoonAfterASuddenChange(t *testing.T) {
	t.Parallel()
	for _, seed := range steadySeeds {
		r := newRun(24*time.Minute, quick, bttrace.Shift, seed, newDecider(btexpert.Incremental{}), himal).play()
		t.Logf("seed %d: %v", seed, r.settled())
		assert.Assert(t, r.settled() <= 3*reportInterval, "seed %d: %v", seed, r.settled())
	}
}
