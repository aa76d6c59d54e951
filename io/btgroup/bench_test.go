package btgroup_test

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"bilberrytide/core/btassert"
	"bilberrytide/core/btbundle"
	"bilberrytide/core/btexpert"
	"bilberrytide/core/btid"
	"bilberrytide/io/btgroup"
	"bilberrytide/io/btkeys"
	"bilberrytide/io/btmetric"
	"bilberrytide/io/btpeer"
	"bilberrytide/io/btprocess"
	"bilberrytide/io/btstandin"
)

func benchShape(ranks, layers int) btexpert.Shape {
	return btexpert.Shape{Ranks: ranks, Layers: layers, Experts: 64, Slots: max(2, 2*64/ranks), ExpertBytes: 1}
}

// BenchmarkMapSizes reports the size of an encoded map, and the time to encode and
// decode it, by ranks and layers.
func BenchmarkMapSizes(b *testing.B) {
	for _, s := range []btexpert.Shape{benchShape(16, 8), benchShape(32, 8), benchShape(64, 8), benchShape(64, 58)} {
		b.Run(fmt.Sprintf("ranks=%d/layers=%d", s.Ranks, s.Layers), func(b *testing.B) {
			m := btexpert.Uniform(s)
			size := 0
			for b.Loop() {
				encoded := btgroup.EncodeMap(m)
				size = len(encoded)
				_, err := btgroup.DecodeMap(s, encoded)
				assert.NilError(b, err)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}

// benchReport returns a rank's report with a window of the rank's experts.
func benchReport(s btexpert.Shape, rank int) btgroup.Report {
	w := &btgroup.Window{Steps: 1000, Own: 4 * time.Millisecond, Group: 5 * time.Millisecond}
	for l := range s.Layers {
		layer := btgroup.LayerCounts{Experts: btexpert.Uniform(s).Layers[l].Ranks[rank]}
		for range layer.Experts {
			layer.Tokens = append(layer.Tokens, 1<<20)
		}
		w.Counts = append(w.Counts, layer)
	}
	return btgroup.Report{
		Group: "assistant", Members: btbundle.DigestOf([]byte("members")),
		From:   btid.Executor{Target: btid.Target(fmt.Sprintf("assistant-%02d", rank)), Incarnation: 1 << 60},
		Window: w,
	}
}

// BenchmarkLeadWindows measures the lead's work for one window of every rank, which is
// decoding and summing, and reports the sizes of a report without and with a window.
func BenchmarkLeadWindows(b *testing.B) {
	for _, s := range []btexpert.Shape{benchShape(16, 8), benchShape(32, 8), benchShape(64, 8), benchShape(64, 58)} {
		b.Run(fmt.Sprintf("ranks=%d/layers=%d", s.Ranks, s.Layers), func(b *testing.B) {
			var encodedReports [][]byte
			for r := range s.Ranks {
				data, err := cbor.Marshal(benchReport(s, r))
				assert.NilError(b, err)
				encodedReports = append(encodedReports, data)
			}
			idle := benchReport(s, 0)
			idle.Window = nil
			encodedIdle, err := cbor.Marshal(idle)
			assert.NilError(b, err)
			aggregator := btgroup.NewAggregator(s)
			for b.Loop() {
				for r, data := range encodedReports {
					var report btgroup.Report
					assert.NilError(b, cbor.Unmarshal(data, &report))
					assert.NilError(b, report.Validate())
					assert.NilError(b, aggregator.Add(r, report.Window))
				}
				_, _, _, complete := aggregator.Collect()
				assert.Assert(b, complete)
			}
			b.ReportMetric(float64(len(encodedReports[0])), "report_B")
			b.ReportMetric(float64(len(encodedIdle)), "alive_B")
		})
	}
}

// BenchmarkGroupTraffic reports the traffic of a group's lead and of its other ranks, in
// bytes per second in both directions together, with UDP and IPv4 headers. The
// connections are real, in one process. Moves are too expensive for the map to change;
// there is one heartbeat per second, and windows follow from a placement interval of ten
// seconds. Run it with -benchtime 1x.
func BenchmarkGroupTraffic(b *testing.B) {
	for _, ranks := range []int{8, 16, 32, 64} {
		b.Run(fmt.Sprint("ranks=", ranks), func(b *testing.B) {
			for b.Loop() {
				measureGroup(b, ranks)
			}
		})
	}
}

func measureGroup(b *testing.B, ranks int) {
	const warmup, window = 14 * time.Second, 12 * time.Second
	s := benchShape(ranks, 8)
	engines, err := btstandin.NewGroup(btstandin.GroupOptions{
		Name: "g", Barrier: true, Step: 5 * time.Millisecond, Engine: btstandin.EngineOptions{Clock: btstandin.SystemClock{}},
		Shape: btstandin.GroupShape{Ranks: s.Ranks, Layers: s.Layers, Experts: s.Experts, SlotsPerRank: s.Slots},
	})
	assert.NilError(b, err)
	ctx, cancel := context.WithCancel(b.Context())
	var running sync.WaitGroup
	running.Go(func() { _ = engines.Run(ctx) })
	authority, err := btkeys.NewAuthority("fleet", time.Now(), time.Hour)
	assert.NilError(b, err)
	group := btbundle.Group{Name: "g", Service: "s", Layers: s.Layers, Experts: s.Experts, SlotsPerRank: s.Slots, ExpertBytes: 1, Barrier: true}
	span := func(d time.Duration) btbundle.Duration { return btbundle.Duration{Duration: d} }
	bundle := &btbundle.Bundle{
		Version:   1,
		Timeouts:  btbundle.Timeouts{Heartbeat: span(time.Second), TargetLease: span(3 * time.Second)},
		Placement: btbundle.Placement{SkewWeight: 1, MoveWeight: 1e9, Interval: span(10 * time.Second), Horizon: span(time.Minute)},
	}
	var nodes []*btpeer.Node
	var agents []*btgroup.Group
	for r := range ranks {
		server := httptest.NewServer(engines.Rank(r))
		b.Cleanup(server.Close)
		node, agent := newBenchAgent(b, authority, r)
		running.Go(func() { _ = node.Serve(ctx) })
		running.Go(func() { _ = agent.Run(ctx) })
		nodes, agents = append(nodes, node), append(agents, agent)
		group.Ranks = append(group.Ranks, name(r))
		bundle.Targets = append(bundle.Targets, btbundle.Target{
			Name: name(r), Service: "s", Address: node.Address(), Endpoint: netip.MustParseAddrPort(server.Listener.Addr().String()),
		})
	}
	bundle.Groups = []btbundle.Group{group}
	approved := &btbundle.Approved{Bundle: bundle, Index: btbundle.NewIndex(bundle)}
	for _, a := range agents {
		a.Configure(approved)
	}
	time.Sleep(warmup)
	before := make([]float64, ranks)
	for r, n := range nodes {
		before[r] = wireBytes(n)
	}
	steps := engines.Totals().Steps
	time.Sleep(window)
	var others float64
	for r, n := range nodes {
		rate := (wireBytes(n) - before[r]) / window.Seconds()
		if r == 0 {
			b.ReportMetric(rate, "lead_wire_B/s")
			continue
		}
		others += rate / float64(ranks-1)
	}
	assert.Check(b, engines.Totals().Steps > steps, "the group does not step")
	b.ReportMetric(others, "rank_wire_B/s")
	b.ReportMetric(0, "ns/op")
	cancel()
	for _, n := range nodes {
		_ = n.Close(ctx)
	}
	running.Wait()
}

// newBenchAgent returns a rank's node and Group, with the production settings.
func newBenchAgent(b *testing.B, authority *btkeys.Authority, rank int) (*btpeer.Node, *btgroup.Group) {
	issued, err := authority.Issue(btprocess.AgentIdentity(name(rank)), time.Now(), time.Hour)
	assert.NilError(b, err)
	files, err := issued.Write(b.TempDir())
	assert.NilError(b, err)
	keys, err := btkeys.New(btkeys.Options{Files: files})
	assert.NilError(b, err)
	node, err := btpeer.New(btpeer.Options{Listen: netip.MustParseAddrPort("127.0.0.1:0"), Keys: keys})
	assert.NilError(b, err)
	log := slog.New(slog.DiscardHandler)
	return node, btgroup.New(btgroup.Options{
		Self:      btid.Executor{Target: name(rank), Incarnation: btid.Incarnation(time.Now().UnixNano())},
		Node:      node,
		Meter:     btmetric.New(nil),
		Decisions: btmetric.NewDecisions(btmetric.DefaultDecisions, log),
		Log:       log,
		Clock:     time.Now,
		Assert:    btassert.New(btassert.SinkFunc(func(v btassert.Violation) { b.Error(v) })),
		Random:    rand.New(rand.NewPCG(1, uint64(rank))),
	})
}

// wireBytes returns the bytes that a node sent and received, with UDP and IPv4 headers.
func wireBytes(n *btpeer.Node) float64 {
	const headers = 28
	s := n.Stats()
	return float64(s.BytesSent+s.BytesReceived) + headers*float64(s.PacketsSent+s.PacketsReceived)
}
