package btswitch_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btid"
	"bilberrytide/core/btswitch"
)

// killActions are the kills and pauses to apply at a message of a round.
var killActions = map[string]func(s *sim, from *agent, to btid.Target){
	"sender":                func(s *sim, from *agent, _ btid.Target) { s.killAgent(from.host, time.Second) },
	"sender, long downtime": func(s *sim, from *agent, _ btid.Target) { s.killAgent(from.host, 6*time.Second) },
	"receiver":              func(s *sim, _ *agent, to btid.Target) { s.killAgent(s.hosts[to], time.Second) },
	"receiver's engine":     func(s *sim, _ *agent, to btid.Target) { s.killEngine(s.hosts[to], time.Second) },
	"sender paused":         func(s *sim, from *agent, _ btid.Target) { s.pauseAgent(from.host, 4*time.Second) },
	"both": func(s *sim, from *agent, to btid.Target) {
		s.killAgent(from.host, time.Second)
		s.killAgent(s.hosts[to], time.Second)
	},
}

// runKillAt runs one round on a network without faults and applies the kill at the
// message of the given number. It returns whether the round got that far, and the
// longest time between two steps.
func runKillAt(t *testing.T, kind engineKind, kill string, number int, ordersLate time.Duration) (reached bool, longest time.Duration) {
	t.Helper()
	count := -1
	o := simOptions{seed: uint64(number), ranks: 3, kind: kind, orphanDelay: ordersLate, stateInAnswer: number%2 == 0}
	if number%3 == 0 {
		o.maxLoadTime = 20 * time.Millisecond
	}
	o.onSend = func(s *sim, from *agent, to btid.Target, _ btswitch.Message) {
		if count < 0 {
			return
		}
		if count == number {
			killActions[kill](s, from, to)
		}
		count++
	}
	s := newSim(o)
	s.run(2 * time.Second)
	name := fmt.Sprintf("%+v, %s killed at message %d, orders %v late", kind, kill, number, ordersLate)
	assert.Assert(t, s.steps > 0, name)
	count = 0
	s.propose(s.lowestLive())
	s.run(300 * time.Millisecond)
	reached = count > number
	s.run(10 * time.Second)
	assert.Equal(t, s.violation, "", name)
	assert.Assert(t, s.now.Sub(s.lastStepAt) < time.Second, "%s: the last step is %v old", name, s.now.Sub(s.lastStepAt))
	return reached, s.longestStall
}

// A kill at any message of a round must neither let a step run on two maps nor
// leave the group held.
func TestKillAtAnyMessageKeepsSingleMap(t *testing.T) {
	for name, kind := range engineKinds {
		if kind.fencing && *runs < 100 {
			continue // Fencing only adds refusals, so it is covered in long runs only.
		}
		total := 0
		var longest time.Duration
		for kill := range killActions {
			for _, ordersLate := range []time.Duration{0, 2500 * time.Millisecond} {
				number := 0
				for ; ; number++ {
					reached, stall := runKillAt(t, kind, kill, number, ordersLate)
					if !reached {
						break
					}
					longest = max(longest, stall)
				}
				assert.Assert(t, number >= 8*3, "%s: the round has only %d messages", kill, number)
				total += number
			}
		}
		t.Logf("%s: %d kills, longest time without a step %v", name, total, longest)
	}
}
