package btroute_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bilberrytide/core/btassert"
	"bilberrytide/core/btid"
	"bilberrytide/core/btload"
	"bilberrytide/core/btroute"
)

func newEjector(targets int, c btroute.EjectionConfig) *btroute.Ejector {
	e := btroute.NewEjector(c, "s", btassert.New(btassert.Panic()))
	e.Step(epoch, btroute.EjectionMembers{Targets: targetNames(targets)})
	return e
}

func targetNames(count int) []btid.Target {
	var names []btid.Target
	for i := range count {
		names = append(names, targetName(i))
	}
	return names
}

func fail(e *btroute.Ejector, now time.Time, name btid.Target, times int) []btroute.EjectionEffect {
	var effects []btroute.EjectionEffect
	for range times {
		effects = append(effects, e.Step(now, btroute.Failure{Target: name, Reason: "contact_lost"})...)
	}
	return effects
}

// TestEjectionForFailures guards against ejecting a target whose failures are not
// consecutive, and against exceeding the cap or reporting it more than once.
func TestEjectionForFailures(t *testing.T) {
	e := newEjector(4, btroute.EjectionDefaults())
	assert.Equal(t, len(fail(e, epoch, "t000", 4)), 0)
	e.Step(epoch, btroute.Success{Target: "t000"})
	assert.Equal(t, len(fail(e, epoch, "t000", 4)), 0, "a success resets the count of failures")

	effects := fail(e, epoch, "t000", 1)
	assert.Equal(t, len(effects), 1)
	ejected := effects[0].(btroute.Ejected)
	assert.Equal(t, ejected.Cause, btroute.ConsecutiveFailures)
	assert.Equal(t, ejected.Evidence.Failures, 5)
	assert.Equal(t, ejected.Until, epoch.Add(5*time.Second))

	withheld := fail(e, epoch, "t001", 9)
	assert.Equal(t, len(withheld), 1, "Withheld is emitted once")
	assert.Equal(t, withheld[0].(btroute.Withheld).Evidence.Limit, 1)
	assert.Equal(t, e.EjectedCount(), 1)
}

// TestEjectionTimeDoublesUntilProbeSucceeds guards against probing a failed target
// too early, with several requests at once, or at a constant interval.
func TestEjectionTimeDoublesUntilProbeSucceeds(t *testing.T) {
	e := newEjector(4, btroute.EjectionDefaults())
	fail(e, epoch, "t000", 5)
	now := epoch
	for _, length := range []time.Duration{5, 10, 20} {
		assert.Assert(t, !e.ProbeDue(now.Add(length*time.Second-1), "t000"))
		now = now.Add(length * time.Second)
		assert.Assert(t, e.ProbeDue(now, "t000"))
		e.Step(now, btroute.ProbeSent{Target: "t000"})
		assert.Assert(t, !e.ProbeDue(now, "t000"), "one probe at a time")
		again := fail(e, now, "t000", 1)
		assert.Equal(t, again[0].(btroute.Ejected).Cause, btroute.FailedProbe)
	}
	now = now.Add(40 * time.Second)
	e.Step(now, btroute.ProbeSent{Target: "t000"})
	restored := e.Step(now, btroute.Success{Target: "t000"})
	assert.DeepEqual(t, restored, []btroute.EjectionEffect{btroute.Restored{
		Service: "s", Target: "t000", Cause: btroute.ProbeAnswered, EjectedFor: 75 * time.Second,
	}})
	assert.Equal(t, e.EjectedCount(), 0)
}

// TestEjectionForSlowness guards against restoring a slow target because it
// answered: only a latency sample near the median restores it.
func TestEjectionForSlowness(t *testing.T) {
	e := newEjector(6, btroute.EjectionDefaults())
	var effects []btroute.EjectionEffect
	now := epoch
	for range 30 {
		now = now.Add(100 * time.Millisecond)
		for i, name := range targetNames(6) {
			took := 10 * time.Millisecond
			if i == 2 {
				took = 50 * time.Millisecond
			}
			effects = append(effects, e.Step(now, btroute.LatencySample{Target: name, Latency: took})...)
		}
	}
	assert.Equal(t, len(effects), 1)
	ejected := effects[0].(btroute.Ejected)
	assert.Equal(t, ejected.Target, btid.Target("t002"))
	assert.Equal(t, ejected.Cause, btroute.Slow)
	assert.Equal(t, ejected.Evidence.Mean, 50*time.Millisecond)
	assert.Equal(t, ejected.Evidence.Median, 10*time.Millisecond)

	now = ejected.Until
	e.Step(now, btroute.ProbeSent{Target: "t002"})
	assert.Equal(t, len(e.Step(now, btroute.Success{Target: "t002"})), 0, "an answer alone must not restore a slow target")
	slow := e.Step(now, btroute.LatencySample{Target: "t002", Latency: 45 * time.Millisecond})
	assert.Equal(t, slow[0].(btroute.Ejected).Cause, btroute.SlowProbe)
	now = slow[0].(btroute.Ejected).Until
	e.Step(now, btroute.LatencySample{Target: "t002", Latency: 11 * time.Millisecond})
	assert.Assert(t, !e.Ejected("t002"))
}

// TestMemberRemovalLowersCap guards against exceeding the cap after a bundle removes
// targets or lowers MaxShare.
func TestMemberRemovalLowersCap(t *testing.T) {
	e := newEjector(9, btroute.EjectionDefaults())
	for _, name := range targetNames(3) {
		fail(e, epoch, name, 5)
	}
	assert.Equal(t, e.EjectedCount(), 3)
	effects := e.Step(epoch, btroute.EjectionMembers{Targets: targetNames(4)})
	assert.Equal(t, len(effects), 2)
	assert.Equal(t, effects[0].(btroute.Restored).Cause, btroute.CapShrank)
	assert.Equal(t, e.EjectedCount(), 1)

	tighter := btroute.EjectionDefaults()
	tighter.MaxShare = 0.1
	effects = e.Step(epoch, btroute.EjectionConfigured{Ejection: tighter})
	assert.Equal(t, len(effects), 1)
	assert.Equal(t, e.EjectedCount(), 0)
}

// TestEjectionCap applies random events and checks that ejections stay within the
// cap. Without a cap, the same events eject all targets of a service.
func TestEjectionCap(t *testing.T) {
	for _, c := range []struct {
		share  float64
		allOut bool
	}{{0.34, false}, {1, true}} {
		allOut := false
		rapid.Check(t, func(t *rapid.T) {
			config := btroute.EjectionDefaults()
			config.MaxShare, config.Failures = c.share, 2
			count := rapid.IntRange(1, 8).Draw(t, "targets")
			e := newEjector(count, config)
			now := epoch
			for range 100 {
				now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
				name := targetName(rapid.IntRange(0, 8).Draw(t, "target"))
				switch rapid.IntRange(0, 5).Draw(t, "event") {
				case 0:
					e.Step(now, btroute.Success{Target: name})
				case 1:
					took := time.Duration(rapid.IntRange(1, 100).Draw(t, "took")) * time.Millisecond
					e.Step(now, btroute.LatencySample{Target: name, Latency: took})
				case 2:
					count = rapid.IntRange(1, 8).Draw(t, "targets")
					e.Step(now, btroute.EjectionMembers{Targets: targetNames(count)})
				default:
					e.Step(now, btroute.Failure{Target: name})
				}
				assert.Assert(t, float64(e.EjectedCount()) <= c.share*float64(count))
				allOut = allOut || e.EjectedCount() == count
			}
		})
		assert.Equal(t, allOut, c.allOut, "share %v", c.share)
	}
}

// TestProbesAndLastResort checks that a request is sent to an ejected target if no
// other is left, and that only one request without an idempotency key is the probe.
func TestProbesAndLastResort(t *testing.T) {
	r := newRouter(3, 1)
	out := func(name btid.Target) {
		for range 5 {
			r.Step(epoch, btroute.Failed{Target: name})
		}
	}
	out("t000")
	others := []btid.Target{"t001", "t002"}
	choice, err := r.Pick(epoch, btroute.Request{Service: "s", Tried: others})
	assert.NilError(t, err)
	assert.Equal(t, choice.Reason, btroute.LastResort)

	due := epoch.Add(5 * time.Second)
	for _, c := range []struct {
		keyed bool
		probe bool
	}{{true, false}, {false, true}, {false, false}} {
		choice, err = r.Pick(due, btroute.Request{Service: "s", Keyed: c.keyed})
		assert.NilError(t, err)
		assert.Equal(t, choice.Reason == btroute.Probe, c.probe, fmt.Sprintf("%+v", c))
		r.Step(due, btroute.LoadEvent{Event: btload.Sent{Target: choice.Target, Number: 1}})
	}
}
