package btswitch_test

import (
	"flag"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btswitch"
)

var runs = flag.Int("switch.runs", 20, "randomised runs of each kind of engine")

const (
	faultDuration = 40 * time.Second
	longestDelay  = 60 * time.Second
)

// mixedFaults returns the options of a run with one of six sets of faults, by seed.
func mixedFaults(seed uint64, kind engineKind) simOptions {
	o := baseFaults(seed, kind)
	switch seed / 3 % 4 {
	case 1:
		delayedCommits(&o)
	case 2:
		delayedMessages(&o)
	case 3:
		delayedCalls(&o)
	}
	return o
}

// baseFaults returns the options of a run with one of three sets of faults, by seed:
// all faults at moderate rates; agents killed with orders or messages in flight;
// messages delayed and duplicated.
func baseFaults(seed uint64, kind engineKind) simOptions {
	o := simOptions{
		seed: seed, ranks: 2 + int(seed/3%3), spares: 1, kind: kind, maxDelay: longestDelay,
		lossRate: 0.01, duplicateRate: 0.02, delayRate: 0.02, callDelayRate: 0.01, orderKillRate: 0.01,
		sendKillRate: 0.002, wrongLeadRate: 0.2, maxProposalGap: time.Second, maxFaultGap: time.Duration(1+seed/3%4) * time.Second,
	}
	o.stateInAnswer = seed/2%2 == 0
	if seed%4 == 3 {
		o.maxLoadTime = 300 * time.Millisecond
	}
	switch seed % 3 {
	case 1:
		o.orderKillRate, o.sendKillRate, o.wrongLeadRate = 0.03, 0.01, 0.05
	case 2:
		o.duplicateRate, o.delayRate, o.wrongLeadRate = 0.2, 0.3, 0.05
	}
	return o
}

// runWithFaults runs a group for 5 s without faults and then with them.
func runWithFaults(o simOptions) *sim {
	s := newSim(o)
	s.run(5 * time.Second)
	s.faulty = true
	s.schedule(0, s.injectFault)
	s.schedule(0, s.proposeRepeatedly)
	s.run(faultDuration)
	s.faulty = false
	clear(s.partitioned)
	return s
}

// checkRecovery asserts that, some time after the last fault, the group steps and a
// proposed map comes into force.
func checkRecovery(t *testing.T, s *sim) {
	t.Helper()
	s.run(longestDelay + 30*time.Second)
	assert.Equal(t, s.violation, "")
	assert.Assert(t, s.now.Sub(s.lastStepAt) < time.Second, "seed %d: the last step is %v old", s.o.seed, s.now.Sub(s.lastStepAt))
	digest := s.propose(s.lowestLive())
	s.run(5 * time.Second)
	assert.Equal(t, s.violation, "")
	for _, r := range s.members.Ranks {
		assert.Equal(t, s.hosts[r].engine.state.InForce.Map, digest, "seed %d: %s", s.o.seed, r)
	}
	assert.Assert(t, s.now.Sub(s.lastStepAt) < time.Second)
}

var engineKinds = map[string]engineKind{
	"barrier":            {barrier: true, versions: true},
	"barrier, fencing":   {barrier: true, versions: true, fencing: true},
	"no barrier":         {versions: true},
	"no barrier, fenced": {versions: true, fencing: true},
}

// No combination of loss, delay, kills, pauses, partitions and bundle changes may
// let a step run on two maps or leave the group held.
func TestStepsUseOneMapUnderFaults(t *testing.T) {
	for name, kind := range engineKinds {
		t.Run(name, func(t *testing.T) {
			steps, committed, other := 0, 0, 0
			reasons := make(map[string]int)
			for seed := range uint64(*runs) {
				s := runWithFaults(mixedFaults(seed, kind))
				checkRecovery(t, s)
				steps += s.steps
				for _, d := range s.results {
					reasons[string(d.Outcome)+" "+string(d.Reason)]++
					if d.Outcome == btswitch.Committed {
						committed++
					} else {
						other++
					}
				}
			}
			t.Logf("%d runs, %d steps, %d rounds committed, %d not: %v", *runs, steps, committed, other, reasons)
			assert.Assert(t, committed > *runs, "too few rounds committed")
		})
	}
}
