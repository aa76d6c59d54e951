package btswitch_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btid"
	"bilberrytide/core/btswitch"
	"bilberrytide/core/btwire"
)

// BenchmarkRound measures rounds without faults. Metrics in ms are in simulated
// time, in which messages and engine calls take 0.5 to 2 ms one way. ns/op is the
// CPU time of all agents and the simulation together.
func BenchmarkRound(b *testing.B) {
	for _, ranks := range []int{16, 64} {
		for _, kind := range []string{"barrier", "no barrier"} {
			for _, stateInAnswer := range []bool{true, false} {
				name := fmt.Sprintf("%d ranks, %s, state in answer %t", ranks, kind, stateInAnswer)
				b.Run(name, func(b *testing.B) {
					benchmarkRound(b, simOptions{seed: 1, ranks: ranks, kind: engineKinds[kind], stateInAnswer: stateInAnswer})
				})
			}
		}
	}
}

func benchmarkRound(b *testing.B, o simOptions) {
	messages, bytes := 0, 0
	s := newSim(o)
	s.run(5 * time.Second)
	s.o.onSend = func(_ *sim, _ *agent, _ btid.Target, m btswitch.Message) {
		data, err := btwire.Encode(m)
		assert.NilError(b, err)
		messages++
		bytes += len(data)
	}
	s.results = nil
	b.ResetTimer()
	for range b.N {
		s.propose("t00")
		s.run(100 * time.Millisecond)
	}
	b.StopTimer()
	assert.Equal(b, len(s.results), b.N)
	var took, held time.Duration
	for _, d := range s.results {
		assert.Equal(b, d.Outcome, btswitch.Committed)
		took += d.Duration
		held += d.HoldDuration
	}
	rounds := float64(b.N)
	b.ReportMetric(float64(messages)/rounds, "messages/round")
	b.ReportMetric(float64(bytes)/rounds, "bytes/round")
	b.ReportMetric(float64(took.Microseconds())/1000/rounds, "took_ms/round")
	b.ReportMetric(float64(held.Microseconds())/1000/rounds, "held_ms/round")
}

// BenchmarkEncode reports the encoded size of each message of a 64-rank group. The
// stage message carries a map of 1,024 bytes.
func BenchmarkEncode(b *testing.B) {
	for name, m := range messages(64) {
		b.Run(name, func(b *testing.B) {
			size := 0
			for range b.N {
				data, err := btwire.Encode(m)
				assert.NilError(b, err)
				size = len(data)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
