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
	// levelChanges is how often a second a target's quantised load changes.
	levelChanges = 0.1
	// ackRate is how many of an agent's heartbeats are answered.
	ackRate = 0.25
	// cacheEvents and cacheBatches are the most that an agent sends a second to
	// each entry that watches it.
	cacheEvents  = 8.0
	cacheBatches = 2.0
)

// The bytes that the transport adds to a message sent alone, to a call, and to
// each connection in a second, both ways, with the headers of UDP and IPv4, as
// BenchmarkLone and BenchmarkIdle of io/btpeer give them.
const (
	messageOverhead    = 125
	callOverhead       = 283
	connectionOverhead = 117
)

// sizedBundle is a fleet of that size, spread evenly.
func sizedBundle(entries, targets, accounts, centres int) *btbundle.Approved {
	centre := func(i int) btid.DataCentre { return btid.DataCentre(fmt.Sprintf("dc-%d", i%centres)) }
	b := draft()
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

// traffic is what a process sends and receives a second: messages, their encoded
// bytes, and those with the transport's, keep-alives apart.
type traffic struct{ messages, bytes, wire float64 }

func (t *traffic) add(rate, size, overhead float64) {
	t.messages += rate
	t.bytes += rate * size
	t.wire += rate * (size + overhead)
}

// entryLoad is one entry's control traffic, both ways, and whom it has a
// connection with for it.
type entryLoad struct {
	traffic
	// cache is the part that tells of prefix caches, at its bound.
	cache traffic
	peers map[string]bool
}

func sizeOf(b *testing.B, message any) float64 {
	b.Helper()
	data, err := cbor.Marshal(message)
	assert.NilError(b, err)
	return float64(len(data))
}

// sizes are the encoded sizes of the messages.
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

// loads works out what every entry sends and receives, by the plan in use.
func loads(a *btbundle.Approved, s sizes) map[btid.Entry]*entryLoad {
	all := map[btid.Entry]*entryLoad{}
	for _, e := range a.Bundle.Entries {
		all[e.Name] = &entryLoad{peers: map[string]bool{}}
	}
	plan := btprocess.TopologyOf(a)
	for _, t := range btprocess.LocationsOf(a) {
		for _, name := range plan.Watchers(t) {
			e := all[name]
			e.add(1, s.heartbeat, messageOverhead)
			e.add(ackRate, s.ack, messageOverhead)
			e.cache.add(cacheBatches, s.batch+cacheEvents/cacheBatches*s.event, messageOverhead)
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
		for _, l := range plan.Links(btmember.EntryLocation{Entry: e.Name, DataCentre: e.DataCentre}) {
			both(e.Name, l.To, 1, s.summary+levelChanges*float64(len(l.Targets))*s.level, messageOverhead)
		}
		// One call a round, whose answer is as large.
		near := btprocess.Neighbours(a, btprocess.EntryIdentity(e.Name), e.DataCentre)
		for _, n := range near {
			both(e.Name, btid.Entry(n.Identity.Name), 2/float64(len(near)), s.exchange, callOverhead/2)
		}
	}
	return all
}

// fleetSizes are those that scripts/scale.sh runs as processes, in one data
// centre and without load, from there to the size to come, and that with fewer
// entries.
var fleetSizes = []struct{ entries, targets, accounts, centres int }{
	{2, 4, 1, 1}, {10, 48, 1, 1}, {24, 96, 1, 1}, {40, 90, 73, 7}, {120, 260, 218, 7}, {380, 830, 690, 7},
	{12, 830, 690, 7}, {40, 830, 690, 7}, {120, 830, 690, 7},
}

// BenchmarkFleetPlan works out the control traffic of entries at several sizes
// from the plan in use and the encoded sizes of its messages, and measures the
// time in which an entry makes its part of the plan.
func BenchmarkFleetPlan(b *testing.B) {
	s := messageSizes(b)
	fmt.Printf("encoded bytes: %+v\n", s)
	for _, f := range fleetSizes {
		b.Run(fmt.Sprintf("entries=%d/targets=%d/centres=%d", f.entries, f.targets, f.centres), func(b *testing.B) {
			a := sizedBundle(f.entries, f.targets, f.accounts, f.centres)
			var sum, most, cache traffic
			var peers, mostPeers int
			for _, e := range loads(a, s) {
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
				plan := btprocess.TopologyOf(a)
				plan.Links(btmember.EntryLocation{Entry: self.Name, DataCentre: self.DataCentre})
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

// BenchmarkHomesPlan gives how many accounts one entry is the home of, the mean
// and the most, and the time in which a home is found.
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

// BenchmarkViewSizes measures an entry's tick over its targets, and the memory
// of one, by how many it knows.
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
