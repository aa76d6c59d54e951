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
	faultyTime = 40 * time.Second
	lateMost   = 60 * time.Second
)

// mixed returns the faults of a run, of six sorts by the seed.
func mixed(seed uint64, kind engineKind) simOptions {
	o := chaos(seed, kind)
	switch seed / 3 % 4 {
	case 1:
		lateCommits(&o)
	case 2:
		lateMessages(&o)
	case 3:
		lateCalls(&o)
	}
	return o
}

// chaos returns the faults of a run, of three sorts by the seed: all kinds at
// moderate rates; processes that die with something in flight; late messages.
func chaos(seed uint64, kind engineKind) simOptions {
	o := simOptions{
		seed: seed, ranks: 2 + int(seed/3%3), spares: 1, kind: kind, lateMost: lateMost,
		loss: 0.01, repeat: 0.02, late: 0.02, lateCall: 0.01, killAtOrder: 0.01,
		killAtSend: 0.002, wrongView: 0.2, drift: time.Second, pace: time.Duration(1+seed/3%4) * time.Second,
	}
	o.stateInAnswer = seed/2%2 == 0
	if seed%4 == 3 {
		o.loadTime = 300 * time.Millisecond
	}
	switch seed % 3 {
	case 1:
		o.killAtOrder, o.killAtSend, o.wrongView = 0.03, 0.01, 0.05
	case 2:
		o.repeat, o.late, o.wrongView = 0.2, 0.3, 0.05
	}
	return o
}

// runFaulty lets the faults happen.
func runFaulty(o simOptions) *sim {
	s := newSim(o)
	s.run(5 * time.Second)
	s.faulty = true
	s.after(0, s.fault)
	s.after(0, s.drift)
	s.run(faultyTime)
	s.faulty = false
	clear(s.cut)
	return s
}

// checkRecovery asserts that, some time after the last fault, the group steps
// and a proposed map comes into force.
func checkRecovery(t *testing.T, s *sim) {
	t.Helper()
	s.run(lateMost + 30*time.Second)
	assert.Equal(t, s.violation, "")
	assert.Assert(t, s.now.Sub(s.lastStep) < time.Second, "seed %d: the last step is %v old", s.o.seed, s.now.Sub(s.lastStep))
	digest := s.propose(s.lowestLive())
	s.run(5 * time.Second)
	assert.Equal(t, s.violation, "")
	for _, r := range s.members.Ranks {
		assert.Equal(t, s.hosts[r].engine.state.InForce.Map, digest, "seed %d: %s", s.o.seed, r)
	}
	assert.Assert(t, s.now.Sub(s.lastStep) < time.Second)
}

var kinds = map[string]engineKind{
	"barrier":            {barrier: true, versions: true},
	"barrier, fencing":   {barrier: true, versions: true, fencing: true},
	"no barrier":         {versions: true},
	"no barrier, fenced": {versions: true, fencing: true},
}

func TestEveryStepHasOneMapUnderFaults(t *testing.T) {
	for name, kind := range kinds {
		t.Run(name, func(t *testing.T) {
			steps, committed, other := 0, 0, 0
			reasons := make(map[string]int)
			for seed := range uint64(*runs) {
				s := runFaulty(mixed(seed, kind))
				checkRecovery(t, s)
				steps += s.steps
				for _, d := range s.decided {
					reasons[string(d.Outcome)+" "+string(d.Reason)]++
					if d.Outcome == btswitch.Committed {
						committed++
					} else {
						other++
					}
				}
			}
			t.Logf("%d runs, %d steps, %d rounds committed, %d not: %v", *runs, steps, committed, other, reasons)
			assert.Assert(t, committed > *runs, "the runs hardly committed any round")
		})
	}
}
