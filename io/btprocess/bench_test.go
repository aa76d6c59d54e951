package btprocess_test

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"bilberrytide/core/btannounce"
	"bilberrytide/core/btassert"
	"bilberrytide/core/btbundle"
	"bilberrytide/core/btid"
	"bilberrytide/core/btlimit"
	"bilberrytide/core/btload"
	"bilberrytide/core/btmember"
	"bilberrytide/io/btprocess"
)

const (
	// levelChangeRate is how often per second a target's quantised load changes.
	levelChangeRate = 0.1
	// ackRate is the fraction of an agent's heartbeats that are acknowledged.
	ackRate = 0.25
	// cacheEventRate and cacheBatchRate are the most cache events and batches of them per
	// second that an agent sends to each entry that watches it.
	cacheEventRate = 8.0
	cacheBatchRate = 2.0
)

// The bytes that the transport adds to a message that is sent alone, to a call, and per
// second to each connection, in both directions and with the headers of UDP and IPv4, as
// measured by BenchmarkLone and BenchmarkIdle of io/btpeer.
const (
	messageOverhead    = 125
	callOverhead       = 283
	connectionOverhead = 117
)

// sizedBundle returns a bundle for a fleet of this size, spread evenly over the data
// centres.
func sizedBundle(entries, targets, accounts, centres int) *btbundle.Approved {
	centre := func(i int) btid.DataCentre { return btid.DataCentre(fmt.Sprintf("dc-%d", i%centres)) }
	b := testBundle()
	b.Targets = nil
	for i := range entries {
		b.Entries = append(b.Entries, btbundle.Entry{
			Name: btid.Entry(fmt.Sprintf("entry-%03d", i)), Host: btid.Host(fmt.Sprintf("edge-%03d", i)),
			DataCentre: centre(i), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7001),
		})
	}
	for i := range targets {
		b.Targets = append(b.Targets, btbundle.Target{
			Name: btid.Target(fmt.Sprintf("assistant-%03d", i)), Service: "pages", Host: btid.Host(fmt.Sprintf("gpu-%03d", i)),
			DataCentre: centre(i), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 7101),
		})
	}
	b.Accounts = nil
	for i := range accounts {
		b.Accounts = append(b.Accounts, btbundle.Account{Name: btid.Account(fmt.Sprintf("account-%03d", i))})
	}
	return &btbundle.Approved{Bundle: &b, Index: btbundle.NewIndex(&b)}
}

// traffic is what a process sends and receives per second: the number of messages, their
// encoded bytes, and the bytes with the transport's overhead but without keep-alives.
type traffic struct{ messages, bytes, wire float64 }

func (t *traffic) add(rate, size, overhead float64) {
	t.messages += rate
	t.bytes += rate * size
	t.wire += rate * (size + overhead)
}

// entryTraffic is the control traffic of one entry in both directions, and the peers
// that it needs connections with for it.
type entryTraffic struct {
	traffic
	// cache is the traffic of cache events at its highest rate; it isn't part of traffic.
	cache traffic
	peers map[string]bool
}

func sizeOf(b *testing.B, message any) float64 {
	b.Helper()
	data, err := cbor.Marshal(message)
	assert.NilError(b, err)
	return float64(len(data))
}

// sizes are the encoded sizes of the messages, in bytes.
type sizes struct{ heartbeat, ack, summary, level, exchange, batch, event float64 }

func messageSizes(b *testing.B) sizes {
	b.Helper()
	now := time.Date(2026, 1, 1, 0, 0, 0, 1, time.UTC)
	order := btbundle.Revision{Version: 5000, Digest: btbundle.DigestOf([]byte("bundle"))}
	load, err := cbor.Marshal(btload.Report{
		Target: "assistant-000", Incarnation: 1 << 60, Number: 1e6, Age: time.Millisecond, Running: 64, Waiting: 12,
		Slots: 64, QueueCapacity: 128, KVUsed: 0.73, StepTime: 4500 * time.Microsecond, ExpertLoad: 1.07, OutstandingTokens: 1e5,
	})
	assert.NilError(b, err)
	heartbeat := btmember.Heartbeat{
		Target: "assistant-000", Incarnation: 1 << 60, Sequence: 1e6, SentAt: now, State: btmember.Serving,
		BundleVersion: 5000, BundleDigest: order.Digest, Load: load,
	}
	summary := btmember.Summary{From: "entry-000", Incarnation: 1 << 60, Origin: "dc-0", Sequence: 1e6, AsOf: now}
	const levels = 20
	changed := summary
	for i := range levels {
		changed.Levels = append(changed.Levels, btmember.Level{Number: uint16(300 + i), Level: 40})
	}
	exchange := btannounce.Announcement{Revision: order}
	for i := range btannounce.MaxReads / 2 {
		exchange.Reads = append(exchange.Reads, btannounce.Read{Reader: btbundle.Peer(fmt.Sprintf("entry/entry-%03d", i)), Age: time.Second})
	}
	batch := btload.CacheEvents{Target: "assistant-000", Epoch: 1 << 60}
	event := batch
	event.Events = []btload.CacheEvent{{Seq: 1e6, Op: btload.Evicted, Prefix: 1 << 63}}
	return sizes{
		heartbeat: sizeOf(b, heartbeat), ack: sizeOf(b, btannounce.Announcement{Revision: order}),
		summary: sizeOf(b, summary), level: (sizeOf(b, changed) - sizeOf(b, summary)) / levels, exchange: sizeOf(b, exchange),
		batch: sizeOf(b, batch), event: sizeOf(b, event) - sizeOf(b, batch),
	}
}

// entryLoads computes what every entry sends and receives, by the topology in use.
func entryLoads(a *btbundle.Approved, s sizes) map[btid.Entry]*entryTraffic {
	all := map[btid.Entry]*entryTraffic{}
	for _, e := range a.Bundle.Entries {
		all[e.Name] = &entryTraffic{peers: map[string]bool{}}
	}
	topology := btprocess.TopologyOf(a)
	for _, t := range btprocess.LocationsOf(a) {
		for _, name := range topology.Watchers(t) {
			e := all[name]
			e.add(1, s.heartbeat, messageOverhead)
			e.add(ackRate, s.ack, messageOverhead)
			e.cache.add(cacheBatchRate, s.batch+cacheEventRate/cacheBatchRate*s.event, messageOverhead)
			e.peers["agent/"+string(t.Target)] = true
		}
	}
	both := func(from, to btid.Entry, rate, size, overhead float64) {
		all[from].add(rate, size, overhead)
		all[to].add(rate, size, overhead)
		all[from].peers["entry/"+string(to)] = true
		all[to].peers["entry/"+string(from)] = true
	}
	for _, e := range a.Bundle.Entries {
		for _, l := range topology.Links(btmember.EntryLocation{Entry: e.Name, DataCentre: e.DataCentre}) {
			both(e.Name, l.To, 1, s.summary+levelChangeRate*float64(len(l.Targets))*s.level, messageOverhead)
		}
		// One call in each round, whose answer is as large as the request.
		near := btprocess.Neighbours(a, btprocess.EntryIdentity(e.Name), e.DataCentre)
		for _, n := range near {
			both(e.Name, btid.Entry(n.Identity.Name), 2/float64(len(near)), s.exchange, callOverhead/2)
		}
	}
	return all
}

// fleetSizes are the fleets that scripts/scale.sh runs as processes, in one data centre
// and without load; then sizes up to the largest planned fleet; then that fleet with
// fewer entries.
var fleetSizes = []struct{ entries, targets, accounts, centres int }{
	{2, 4, 1, 1}, {10, 48, 1, 1}, {24, 96, 1, 1}, {40, 90, 73, 7}, {120, 260, 218, 7}, {380, 830, 690, 7},
	{12, 830, 690, 7}, {40, 830, 690, 7}, {120, 830, 690, 7},
}

// BenchmarkFleetPlan computes the control traffic of entries at several fleet sizes from
// the topology in use and the encoded sizes of the messages. It measures the time in
// which an entry computes the topology and its links.
func BenchmarkFleetPlan(b *testing.B) {
	s := messageSizes(b)
	fmt.Printf("encoded bytes: %+v\n", s)
	for _, f := range fleetSizes {
		b.Run(fmt.Sprintf("entries=%d/targets=%d/centres=%d", f.entries, f.targets, f.centres), func(b *testing.B) {
			a := sizedBundle(f.entries, f.targets, f.accounts, f.centres)
			var sum, most, cache traffic
			var peers, mostPeers int
			for _, e := range entryLoads(a, s) {
				sum.messages += e.messages
				sum.bytes += e.bytes
				cache.wire += e.cache.wire
				wire := e.wire + connectionOverhead*float64(len(e.peers))
				sum.wire += wire
				most.wire = max(most.wire, wire)
				most.messages = max(most.messages, e.messages)
				peers += len(e.peers)
				mostPeers = max(mostPeers, len(e.peers))
			}
			self := a.Bundle.Entries[0]
			for b.Loop() {
				topology := btprocess.TopologyOf(a)
				topology.Links(btmember.EntryLocation{Entry: self.Name, DataCentre: self.DataCentre})
			}
			entries := float64(f.entries)
			b.ReportMetric(sum.messages/entries, "mean_messages/s")
			b.ReportMetric(most.messages, "most_messages/s")
			b.ReportMetric(sum.bytes/entries, "mean_payload_B/s")
			b.ReportMetric(cache.wire/entries, "cache_wire_B/s")
			b.ReportMetric(sum.wire/entries, "mean_wire_B/s")
			b.ReportMetric(most.wire, "most_wire_B/s")
			b.ReportMetric(float64(peers)/entries, "mean_peers")
			b.ReportMetric(float64(mostPeers), "most_peers")
		})
	}
}

// BenchmarkHomesPlan reports the mean and the highest number of client accounts whose
// home is one entry, and measures the time in which a home is found.
func BenchmarkHomesPlan(b *testing.B) {
	for _, f := range fleetSizes {
		b.Run(fmt.Sprintf("entries=%d/accounts=%d", f.entries, f.accounts), func(b *testing.B) {
			a := sizedBundle(f.entries, f.targets, f.accounts, f.centres)
			var names []btid.Entry
			for _, e := range a.Bundle.Entries {
				names = append(names, e.Name)
			}
			homes := map[btid.Entry]int{}
			for _, c := range a.Bundle.Accounts {
				home, _ := btlimit.Home(c.Name, names)
				homes[home]++
			}
			most := 0
			for _, n := range homes {
				most = max(most, n)
			}
			for b.Loop() {
				btlimit.Home(a.Bundle.Accounts[0].Name, names)
			}
			b.ReportMetric(float64(f.accounts)/float64(f.entries), "mean_accounts")
			b.ReportMetric(float64(most), "most_accounts")
		})
	}
}

// BenchmarkViewSizes measures the time of an entry's tick and the memory for each target,
// by the number of targets.
func BenchmarkViewSizes(b *testing.B) {
	for _, targets := range []int{10, 100, 830} {
		b.Run(fmt.Sprint("targets=", targets), func(b *testing.B) {
			places := btprocess.LocationsOf(sizedBundle(10, targets, 0, 1))
			now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
			before := liveHeap()
			m := btmember.New(btmember.DefaultSettings(), btassert.New(btassert.Panic()))
			m.Step(now, btmember.Bundle{Version: 1, Targets: places})
			load := make([]byte, 64)
			for _, p := range places {
				m.Step(now, btmember.HeartbeatReceived{Heartbeat: btmember.Heartbeat{
					Target: p.Target, Incarnation: 1, Sequence: 1, SentAt: now, State: btmember.Serving, BundleVersion: 1, Load: append([]byte(nil), load...),
				}})
			}
			memory := (liveHeap() - before) / float64(targets)
			for b.Loop() {
				m.Step(now, btmember.Tick{})
			}
			b.ReportMetric(memory, "B/target")
		})
	}
}

func liveHeap() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
