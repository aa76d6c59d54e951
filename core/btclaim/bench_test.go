package btclaim_test

import (
	"encoding/binary"
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btassert"
	"bilberrytide/core/btbundle"
	"bilberrytide/core/btclaim"
	"bilberrytide/core/btid"
)

// counterReader is a deterministic source of distinct random bits for NewKey.
type counterReader struct{ n uint64 }

func (c *counterReader) Read(p []byte) (int, error) {
	c.n++
	clear(p)
	binary.BigEndian.PutUint64(p[len(p)-8:], c.n)
	return len(p), nil
}

// newLeasedHome returns the only home of a service, which holds its lease, and the
// time.
func newLeasedHome(b *testing.B, records int) (*btclaim.Home, time.Time) {
	executor := btid.Executor{Target: "t0", Incarnation: 1}
	s := btclaim.DefaultHomeSettings(executor, service, startTime)
	s.MaxRecords = records
	home, err := btclaim.NewHome(startTime, s, singleHomeRules(), btassert.New(btassert.Panic()))
	assert.NilError(b, err)
	now := startTime.Add(6 * time.Second)
	home.Step(now, btclaim.Tick{})
	return home, now.Add(time.Second)
}

func singleHomeRules() btclaim.Rules {
	return btclaim.Rules{
		Epochs:        []btbundle.HomeEpoch{{Number: 1, Homes: []btid.Target{"t0"}}},
		Retention:     time.Hour,
		ClockError:    100 * time.Millisecond,
		Lease:         2 * time.Second,
		GrantLifetime: time.Minute,
	}
}

func newAcquires(n int, now time.Time) []btclaim.Acquire {
	source := new(counterReader)
	list := make([]btclaim.Acquire, n)
	for i := range list {
		key, _ := btclaim.NewKey(now, source)
		list[i] = btclaim.Acquire{
			Request:  btid.Request{Entry: "e0", Incarnation: 1, Number: uint64(i + 1)},
			Ask:      1,
			Claim:    btclaim.Claim{Service: service, Account: "families", Key: key},
			Executor: self,
			Accepted: now,
		}
	}
	return list
}

// BenchmarkAcquire measures the grant of a new key.
func BenchmarkAcquire(b *testing.B) {
	home, now := newLeasedHome(b, b.N)
	list := newAcquires(b.N, now)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		home.Step(now, list[i])
	}
}

// BenchmarkRecord reports the heap per record at a home and at a ledger, without the
// strings of the claim.
func BenchmarkRecord(b *testing.B) {
	const records = 200_000
	for b.Loop() {
		home, now := newLeasedHome(b, records)
		ledger := btclaim.NewLedger(now, btclaim.DefaultLedgerSettings(self, singleHomeRules()), btassert.New(btassert.Panic()))
		list := newAcquires(records, now)
		grants := make([]btclaim.Grant, 0, records)
		empty := heapBytes()
		for _, a := range list {
			grants = append(grants, *home.Step(now, a)[0].(btclaim.AcquireReply).Grant)
		}
		granted := heapBytes()
		for _, g := range grants {
			ledger.Step(now, btclaim.RunRequested{Grant: g})
		}
		run := heapBytes()
		b.ReportMetric((granted-empty)/records, "B/home_record")
		b.ReportMetric((run-granted)/records, "B/ledger_record")
		runtime.KeepAlive(home)
		runtime.KeepAlive(ledger)
		runtime.KeepAlive(list)
		runtime.KeepAlive(grants)
	}
}

func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkLeaseTraffic reports the messages and bytes per second that one home sends
// for leases, requests and votes.
func BenchmarkLeaseTraffic(b *testing.B) {
	for _, n := range []int{1, 3, 5} {
		b.Run(fmt.Sprintf("%d homes", n), func(b *testing.B) {
			var messages, size int
			const seconds = 100
			for b.Loop() {
				messages, size = leaseTraffic(b, n, seconds)
			}
			b.ReportMetric(float64(messages)/float64(n)/seconds, "sent/s/home")
			b.ReportMetric(float64(size)/float64(n)/seconds, "B/s/home")
		})
	}
}

func leaseTraffic(b *testing.B, n, seconds int) (messages, size int) {
	rules := singleHomeRules()
	rules.Epochs[0].Homes = targets[:n]
	homes := make(map[btid.Target]*btclaim.Home)
	for _, t := range targets[:n] {
		s := btclaim.DefaultHomeSettings(btid.Executor{Target: t, Incarnation: 1}, service, startTime)
		home, err := btclaim.NewHome(startTime, s, rules, btassert.New(btassert.Panic()))
		assert.NilError(b, err)
		homes[t] = home
	}
	var now time.Time
	var deliver func(to btid.Target, e btclaim.HomeEvent)
	deliver = func(to btid.Target, e btclaim.HomeEvent) {
		for _, f := range homes[to].Step(now, e) {
			messages++
			size += len(encode(b, f))
			switch m := f.(type) {
			case btclaim.LeaseAsk:
				deliver(m.To, m)
			case btclaim.LeaseVote:
				deliver(m.To, m)
			}
		}
	}
	for i := range seconds * 10 {
		now = startTime.Add(time.Duration(i) * btclaim.TickInterval)
		for _, t := range targets[:n] {
			deliver(t, btclaim.Tick{})
		}
	}
	for _, h := range homes {
		assert.Assert(b, h.Status().Leased)
	}
	return messages, size
}
