package btswitch_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btswitch"
)

var search = flag.Int("switch.search", 300, "runs in which each naive variant must break")

// brokenRun returns the first run, from the seed on, in which a step has two
// maps.
func brokenRun(from uint64, kind engineKind, change func(*simOptions)) *sim {
	for seed := from; seed < from+uint64(*search); seed++ {
		o := chaos(seed, kind)
		o.stepsOnly = true
		change(&o)
		s := runFaulty(o)
		s.run(lateMost + 30*time.Second)
		if s.violation != "" {
			return s
		}
	}
	return nil
}

func byBallotAlone(_ *btswitch.Lead, m *btswitch.Member) { btswitch.AcceptByBallotAlone(m) }

// lateCommits is hard on what is in flight while a map takes effect.
func lateCommits(o *simOptions) {
	o.ranks, o.spares = 2, 0
	o.killAtOrder, o.killAtSend, o.wrongView = 0.1, 0.02, 0
	o.loss, o.late, o.pace = 0, 0.2, 20*time.Second
	o.lateMost, o.drift = 5*time.Second, 2*time.Second
}

// lateMessages is hard on what earlier lives of agents were sent.
func lateMessages(o *simOptions) {
	o.ranks, o.spares = 2, 0
	o.repeat, o.late, o.wrongView = 0.5, 0.5, 0
	o.killAtOrder, o.killAtSend, o.loss = 0, 0.01, 0
	o.lateMost, o.drift = 30*time.Second, 4*time.Second
	o.pace, o.onlyKills = 8*time.Second, true
}

// lateCalls is hard on orders that outlive their round or their agent, while
// engines load.
func lateCalls(o *simOptions) {
	o.ranks, o.spares = 2, 0
	o.lateCall, o.killAtOrder, o.killAtSend, o.wrongView = 0.1, 0.05, 0.01, 0
	o.loss, o.late, o.pace = 0, 0.02, 20*time.Second
	o.lateMost, o.drift = 10*time.Second, 2*time.Second
	o.loadTime, o.stageTimeout = 2*time.Second, 4*time.Second
}

// TestNaiveVariantsBreak holds the protocol itself to each run that breaks a
// variant of it.
func TestNaiveVariantsBreak(t *testing.T) {
	barrier := kinds["barrier"]
	cases := []struct {
		name    string
		kind    engineKind
		faults  func(*simOptions)
		variant func(*btswitch.Lead, *btswitch.Member)
	}{
		{"messages accepted by ballot alone", barrier, lateMessages, byBallotAlone},
		{"recovery that ignores a commit in flight", barrier, lateCommits, btswitch.ReleaseOnPromise},
		{"engine that checks nothing", engineKind{barrier: true}, lateCommits, nil},
		{"engine without barrier that checks nothing", engineKind{}, lateCommits, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			broken := brokenRun(0, c.kind, func(o *simOptions) {
				c.faults(o)
				o.variant = c.variant
			})
			assert.Assert(t, broken != nil, "no run broke")
			t.Logf("%s: seed %d: %s", c.name, broken.o.seed, broken.violation)
			o := chaos(broken.o.seed, engineKind{barrier: c.kind.barrier, versions: true})
			c.faults(&o)
			checkRecovery(t, runFaulty(o))
		})
	}
}

// plainSwitch is the naive protocol: each engine is told, three times, to switch
// at a step one second ahead. The network has the faults of the run; nothing is
// killed. It returns the first step on two maps, or "".
func plainSwitch(seed uint64) string {
	s := newSim(chaos(seed, kinds["barrier"]))
	s.faulty = true
	inForce := make([]int, s.o.ranks)
	orders := make([]map[int]int, s.o.ranks)
	const ahead = int(time.Second / stepTime)
	for step := range int(faultyTime / stepTime) {
		s.now = s.now.Add(stepTime)
		for r := range s.o.ranks {
			if step%ahead == 0 {
				orders[r] = map[int]int{}
			}
			repeat := step%ahead == 0 || step%ahead == 20 || step%ahead == 40
			arrives := step + int(s.delay(s.o.late)/stepTime)
			due := (step/ahead + 1) * ahead
			if repeat && !s.happens(s.o.loss) && arrives < due {
				orders[r][due] = due
			}
			if next, ok := orders[r][step+1]; ok {
				inForce[r] = next
			}
			if inForce[r] != inForce[0] {
				return fmt.Sprintf("step %d: rank %d on map %d, rank 0 on map %d", step+1, r, inForce[r], inForce[0])
			}
		}
	}
	return ""
}

func TestPlainSwitchAtAStepBreaks(t *testing.T) {
	broken := 0
	for seed := range uint64(*runs) {
		if violation := plainSwitch(seed); violation != "" {
			broken++
			t.Logf("seed %d: %s", seed, violation)
		}
	}
	assert.Assert(t, broken > 0)
	t.Logf("%d of %d runs broke", broken, *runs)
}

// TestSettleWaitsOutOrdersInFlight has engines that check nothing at all, and
// orders in flight for a bounded time.
func TestSettleWaitsOutOrdersInFlight(t *testing.T) {
	bounded := func(o *simOptions) {
		o.lateMost = 2 * time.Second
		o.noTwins = true
	}
	for _, kind := range []engineKind{{barrier: true}, {}} {
		for seed := range uint64(*runs) / 2 {
			o := chaos(seed, kind)
			bounded(&o)
			o.settle = o.lateMost + time.Second
			s := runFaulty(o)
			s.run(lateMost)
			assert.Equal(t, s.violation, "", "seed %d", seed)
		}
	}
	broken := brokenRun(0, engineKind{barrier: true}, bounded)
	assert.Assert(t, broken != nil, "no run broke without the wait")
	t.Logf("without the wait: seed %d: %s", broken.o.seed, broken.violation)
}
