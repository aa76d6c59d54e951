package btswitch_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btid"
	"bilberrytide/core/btswitch"
	"bilberrytide/core/btwire"
)

// Encoded sizes of maps of 8 and 58 layers with 64 experts on 64 ranks and two
// slots per rank, as reported by BenchmarkMapSizes in io/btgroup.
const (
	mapBytes     = 3_964
	deepMapBytes = 28_664
)

// BenchmarkLeadRound reports what the lead and what another rank sends and receives
// in a round that stages a map, by number of ranks and size of the map. Messages of
// an agent to itself are not counted.
func BenchmarkLeadRound(b *testing.B) {
	for _, c := range []struct{ ranks, bytes int }{
		{4, mapBytes}, {16, mapBytes}, {32, mapBytes}, {64, mapBytes}, {64, 1 << 10}, {64, deepMapBytes},
	} {
		b.Run(fmt.Sprintf("ranks=%d/map=%d", c.ranks, c.bytes), func(b *testing.B) {
			benchmarkLeadRound(b, c.ranks, c.bytes)
		})
	}
}

func benchmarkLeadRound(b *testing.B, ranks, size int) {
	s := newSim(simOptions{seed: 1, ranks: ranks, kind: engineKinds["barrier"], stateInAnswer: true})
	s.run(5 * time.Second)
	lead := s.targets[0]
	var messages, out, in int
	s.o.onSend = func(_ *sim, from *agent, to btid.Target, m btswitch.Message) {
		if from.self.Target == to {
			return
		}
		data, err := btwire.Encode(m)
		assert.NilError(b, err)
		messages++
		switch lead {
		case from.self.Target:
			out += len(data)
		case to:
			in += len(data)
		}
	}
	s.results = nil
	b.ResetTimer()
	for n := range b.N {
		encoded := append(bytes.Repeat([]byte{byte('a' + n%26)}, size-8), fmt.Sprintf("%08d", n)...)
		a := s.hosts[lead].agent
		a.do(func() { a.leadStep(btswitch.Propose{Map: encoded, Cause: "drift"}) })
		s.run(100 * time.Millisecond)
	}
	b.StopTimer()
	assert.Equal(b, len(s.results), b.N)
	rounds := float64(b.N)
	b.ReportMetric(float64(messages)/rounds, "messages/round")
	b.ReportMetric(float64(out)/rounds, "lead_out_B/round")
	b.ReportMetric(float64(in)/rounds, "lead_in_B/round")
	b.ReportMetric(float64(out+in)/rounds/float64(ranks-1), "rank_B/round")
}
