package btswitch_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btswitch"
)

var searchRuns = flag.Int("switch.search", 300, "runs in which each naive variant must break")

// findViolation returns the first run, from the seed on, in which a step uses two
// maps; nil if there is none.
func findViolation(from uint64, kind engineKind, change func(*simOptions)) *sim {
	for seed := from; seed < from+uint64(*searchRuns); seed++ {
		o := baseFaults(seed, kind)
		o.ignoreAssertions = true
		change(&o)
		s := runWithFaults(o)
		s.run(longestDelay + 30*time.Second)
		if s.violation != "" {
			return s
		}
	}
	return nil
}

func acceptByBallotOnly(_ *btswitch.Lead, m *btswitch.Member) { btswitch.AcceptByBallotOnly(m) }

// delayedCommits sets faults that delay orders while a map takes effect, with agents
// killed meanwhile.
func delayedCommits(o *simOptions) {
	o.ranks, o.spares = 2, 0
	o.orderKillRate, o.sendKillRate, o.wrongLeadRate = 0.1, 0.02, 0
	o.lossRate, o.delayRate, o.maxFaultGap = 0, 0.2, 20*time.Second
	o.maxDelay, o.maxProposalGap = 5*time.Second, 2*time.Second
}

// delayedMessages sets faults that deliver messages to agents long after those were
// sent to an earlier incarnation.
func delayedMessages(o *simOptions) {
	o.ranks, o.spares = 2, 0
	o.duplicateRate, o.delayRate, o.wrongLeadRate = 0.5, 0.5, 0
	o.orderKillRate, o.sendKillRate, o.lossRate = 0, 0.01, 0
	o.maxDelay, o.maxProposalGap = 30*time.Second, 4*time.Second
	o.maxFaultGap, o.agentKillsOnly = 8*time.Second, true
}

// delayedCalls sets faults that make orders outlive their round or their agent,
// while engines load maps.
func delayedCalls(o *simOptions) {
	o.ranks, o.spares = 2, 0
	o.callDelayRate, o.orderKillRate, o.sendKillRate, o.wrongLeadRate = 0.1, 0.05, 0.01, 0
	o.lossRate, o.delayRate, o.maxFaultGap = 0, 0.02, 20*time.Second
	o.maxDelay, o.maxProposalGap = 10*time.Second, 2*time.Second
	o.maxLoadTime, o.stageTimeout = 2*time.Second, 4*time.Second
}

// Each weakened protocol or engine must take a step on two maps in some run, which
// shows that what it leaves out is needed. The full protocol must pass that run.
func TestWeakenedProtocolsViolateSingleMap(t *testing.T) {
	barrier := engineKinds["barrier"]
	cases := []struct {
		name    string
		kind    engineKind
		faults  func(*simOptions)
		variant func(*btswitch.Lead, *btswitch.Member)
	}{
		{"messages accepted by ballot only", barrier, delayedMessages, acceptByBallotOnly},
		{"recovery that ignores a commit in flight", barrier, delayedCommits, btswitch.ReleaseOnPromise},
		{"engine that checks nothing", engineKind{barrier: true}, delayedCommits, nil},
		{"engine without barrier that checks nothing", engineKind{}, delayedCommits, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			violating := findViolation(0, c.kind, func(o *simOptions) {
				c.faults(o)
				o.variant = c.variant
			})
			assert.Assert(t, violating != nil, "no run violated the invariant")
			t.Logf("%s: seed %d: %s", c.name, violating.o.seed, violating.violation)
			o := baseFaults(violating.o.seed, engineKind{barrier: c.kind.barrier, versions: true})
			c.faults(&o)
			checkRecovery(t, runWithFaults(o))
		})
	}
}

// switchAtStep simulates the naive protocol: each engine is sent, three times, the order
// to switch at a step one second ahead. The network has the faults of the run, and
// nothing is killed. It returns the first step on two maps, or "" for none.
func switchAtStep(seed uint64) string {
	s := newSim(baseFaults(seed, engineKinds["barrier"]))
	s.faulty = true
	inForce := make([]int, s.o.ranks)
	orders := make([]map[int]int, s.o.ranks)
	const ahead = int(time.Second / stepTime)
	for step := range int(faultDuration / stepTime) {
		s.now = s.now.Add(stepTime)
		for r := range s.o.ranks {
			if step%ahead == 0 {
				orders[r] = map[int]int{}
			}
			repeat := step%ahead == 0 || step%ahead == 20 || step%ahead == 40
			arrives := step + int(s.delay(s.o.delayRate)/stepTime)
			due := (step/ahead + 1) * ahead
			if repeat && !s.faultOccurs(s.o.lossRate) && arrives < due {
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

// An engine that gets none of the three messages in time stays on its old map while
// the others switch.
func TestSwitchAtStepNumberViolatesSingleMap(t *testing.T) {
	violations := 0
	for seed := range uint64(*runs) {
		if violation := switchAtStep(seed); violation != "" {
			violations++
			t.Logf("seed %d: %s", seed, violation)
		}
	}
	assert.Assert(t, violations > 0)
	t.Logf("%d of %d runs violated the invariant", violations, *runs)
}

// Engines that check nothing follow orders of earlier rounds, so a member must wait
// until no such order can be in flight. The orders are delayed by a bounded time;
// without the wait some run must take a step on two maps.
func TestSettleDelayExceedsOrdersInFlight(t *testing.T) {
	boundDelays := func(o *simOptions) {
		o.maxDelay = 2 * time.Second
		o.noOverlap = true
	}
	for _, kind := range []engineKind{{barrier: true}, {}} {
		for seed := range uint64(*runs) / 2 {
			o := baseFaults(seed, kind)
			boundDelays(&o)
			o.settleDelay = o.maxDelay + time.Second
			s := runWithFaults(o)
			s.run(longestDelay)
			assert.Equal(t, s.violation, "", "seed %d", seed)
		}
	}
	violating := findViolation(0, engineKind{barrier: true}, boundDelays)
	assert.Assert(t, violating != nil, "no run violated the invariant without the delay")
	t.Logf("without the delay: seed %d: %s", violating.o.seed, violating.violation)
}
