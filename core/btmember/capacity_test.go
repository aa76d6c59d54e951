package btmember_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"bilberrytide/core/btassert"
	"bilberrytide/core/btbundle"
	"bilberrytide/core/btid"
	"bilberrytide/core/btmember"
)

// encodedSize returns the encoded size of a message in bytes.
func encodedSize(t testing.TB, message any) int {
	data, err := cbor.Marshal(message)
	assert.NilError(t, err)
	return len(data)
}

func exampleHeartbeat() btmember.Heartbeat {
	load, _ := cbor.Marshal(map[string]int{"running": 64, "waiting": 12, "kv_used_permille": 730})
	return btmember.Heartbeat{
		Target: "engine-dc1-0001", Incarnation: 1893456000000000000, Sequence: 100000,
		SentAt: start, State: btmember.Serving, BundleVersion: 5000,
		BundleDigest: btbundle.DigestOf([]byte("bundle")), Load: load,
	}
}

func exampleSummary(rows int) btmember.Summary {
	s := btmember.Summary{From: "entry-dc1-001", Incarnation: 1893456000000000000, Origin: "dc1", Sequence: 100000, AsOf: start}
	for i := range rows {
		s.Rows = append(s.Rows, btmember.Row{
			Target: btid.Target(fmt.Sprintf("engine-dc1-%04d", i)), Incarnation: 1893456000000000000,
			State: btmember.Serving, Level: 40,
		})
	}
	return s
}

func TestMessagesRoundTrip(t *testing.T) {
	data, err := cbor.Marshal(exampleSummary(3))
	assert.NilError(t, err)
	var s btmember.Summary
	assert.NilError(t, cbor.Unmarshal(data, &s))
	assert.NilError(t, s.Validate())
	assert.Equal(t, len(s.Rows), 3)
	assert.Equal(t, s.Rows[2].Target, btid.Target("engine-dc1-0002"))
	h := exampleHeartbeat()
	assert.NilError(t, h.Validate())
	h.Load = []byte{0xff}
	assert.ErrorIs(t, h.Validate(), btmember.ErrMessage)
	h.Load, h.State = nil, btmember.Unresponsive
	assert.ErrorIs(t, h.Validate(), btmember.ErrMessage)
}

// FuzzValidate guards against valid messages with unexpected content that make a
// Membership panic.
func FuzzValidate(f *testing.F) {
	for _, message := range []any{exampleHeartbeat(), exampleSummary(2), btmember.SummaryAsk{From: "e1", Origin: "dc1"}} {
		data, _ := cbor.Marshal(message)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m, first := newSingleTarget()
		m.Step(start, btmember.HeartbeatReceived{Heartbeat: first})
		var h btmember.Heartbeat
		if cbor.Unmarshal(data, &h) == nil && h.Validate() == nil {
			m.Step(start, btmember.HeartbeatReceived{Heartbeat: h})
		}
		var s btmember.Summary
		if cbor.Unmarshal(data, &s) == nil && s.Validate() == nil {
			m.Step(start, btmember.SummaryReceived{Summary: s})
		}
		m.Step(start, btmember.Tick{})
	})
}

// largeFleet returns a fleet of the size that is planned for: 380 entries and 830
// targets in 7 data centres.
func largeFleet(fanOut btmember.FanOut) ([]btmember.EntryLocation, []btmember.TargetLocation, *btmember.Topology) {
	centre := func(i int) btid.DataCentre { return btid.DataCentre(fmt.Sprintf("dc%d", i%7)) }
	var entries []btmember.EntryLocation
	for i := range 380 {
		entries = append(entries, btmember.EntryLocation{Entry: btid.Entry(fmt.Sprintf("entry-%s-%03d", centre(i), i)), DataCentre: centre(i)})
	}
	var targets []btmember.TargetLocation
	for i := range 830 {
		targets = append(targets, btmember.TargetLocation{Target: btid.Target(fmt.Sprintf("engine-%s-%04d", centre(i), i)), DataCentre: centre(i)})
	}
	return entries, targets, btmember.NewTopology(fanOut, entries, targets)
}

// BenchmarkFanOut computes the bytes per second of each entry in the large fleet
// from encoded sizes: one heartbeat a second for each watched target and one
// summary a second for each link, where each target changes its quantised level
// every ten seconds and comes and goes once a day. Transport headers aren't
// counted.
func BenchmarkFanOut(b *testing.B) {
	const changes = 0.1
	const moves = 2.0 / 86400
	heartbeat := float64(encodedSize(b, exampleHeartbeat()))
	head := float64(encodedSize(b, exampleSummary(0)))
	row := float64(encodedSize(b, exampleSummary(20))-encodedSize(b, exampleSummary(0))) / 20
	levels := exampleSummary(0)
	for i := range 20 {
		levels.Levels = append(levels.Levels, btmember.Level{Number: uint16(300 + i), Level: 40})
	}
	level := (float64(encodedSize(b, levels)) - head) / 20
	fmt.Printf("heartbeat %.0f B, summary %.0f B, %.1f B a row and %.1f B a level, mesh %.0f B/s an entry\n", heartbeat, head, row, level, 830*heartbeat)
	for _, fanOut := range []btmember.FanOut{{Watchers: 2, Branching: 2}, {Watchers: 2, Branching: 3}, {Watchers: 3, Branching: 2}} {
		entries, _, plan := largeFleet(fanOut)
		in, out := map[btid.Entry]float64{}, map[btid.Entry]float64{}
		for _, e := range entries {
			in[e.Entry] += heartbeat * float64(len(plan.Watched(e.Entry)))
			for _, l := range plan.Links(e) {
				bytes := head + (row*moves+level*changes)*float64(len(l.Targets))
				out[e.Entry] += bytes
				in[l.To] += bytes
			}
		}
		var sum, most float64
		for _, e := range entries {
			total := in[e.Entry] + out[e.Entry]
			sum += total
			most = max(most, total)
		}
		fmt.Printf("watchers %d branching %d: mean %.0f B/s, most %.0f B/s an entry, agent out %.0f B/s\n",
			fanOut.Watchers, fanOut.Branching, sum/380, most, heartbeat*float64(fanOut.Watchers))
	}
	for b.Loop() {
		entries, _, plan := largeFleet(btmember.FanOut{Watchers: 2, Branching: 2})
		plan.Links(entries[0])
	}
}

// BenchmarkReceive measures processing a heartbeat, a summary of a whole data
// centre and a tick at an entry with 830 targets.
func BenchmarkReceive(b *testing.B) {
	_, targets, _ := largeFleet(btmember.DefaultFanOut())
	newMember := func() *btmember.Membership {
		m := btmember.New(btmember.DefaultSettings(), btassert.New(btassert.Panic()))
		m.Step(start, btmember.Bundle{Version: 1, Targets: targets})
		return m
	}
	b.Run("heartbeat", func(b *testing.B) {
		m := newMember()
		h := exampleHeartbeat()
		var n int
		for b.Loop() {
			h.Target = targets[n%len(targets)].Target
			h.Sequence = uint64(n + 1)
			m.Step(start, btmember.HeartbeatReceived{Heartbeat: h})
			n++
		}
	})
	b.Run("summary", func(b *testing.B) {
		m := newMember()
		s := exampleSummary(118)
		s.Reset = true
		for i := range s.Rows {
			s.Rows[i].Target = targets[7*i+1].Target
		}
		s.Sequence = 0
		for b.Loop() {
			s.Sequence++
			s.AsOf = s.AsOf.Add(time.Millisecond)
			m.Step(start, btmember.SummaryReceived{Summary: s})
			s.Reset = false
			s.Rows = s.Rows[:12]
		}
	})
	b.Run("tick", func(b *testing.B) {
		m := newMember()
		for b.Loop() {
			m.Step(start, btmember.Tick{})
		}
	})
}
