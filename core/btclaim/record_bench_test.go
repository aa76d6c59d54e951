package btclaim_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"bilberrytide/core/btassert"
	"bilberrytide/core/btclaim"
)

// BenchmarkRecordSizes measures, for several numbers of records, the memory of a
// record at a home and at a ledger and the time of a home's grant of a new key and of
// its tick. Run it with -benchtime 1x.
func BenchmarkRecordSizes(b *testing.B) {
	for _, records := range []int{2_000, 20_000, 200_000} {
		b.Run(fmt.Sprint("records=", records), func(b *testing.B) {
			for b.Loop() {
				measureRecords(b, records)
			}
		})
	}
}

func measureRecords(b *testing.B, records int) {
	home, now := newLeasedHome(b, records+records/10)
	ledger := btclaim.NewLedger(now, btclaim.DefaultLedgerSettings(self, singleHomeRules()), btassert.New(btassert.Panic()))
	list := newAcquires(records+records/10, now)
	grants := make([]btclaim.Grant, 0, records)
	empty := heapBytes()
	for _, a := range list[:records] {
		grants = append(grants, *home.Step(now, a)[0].(btclaim.AcquireReply).Grant)
	}
	granted := heapBytes()
	for _, g := range grants {
		ledger.Step(now, btclaim.RunRequested{Grant: g})
	}
	run := heapBytes()
	began := time.Now()
	for _, a := range list[records:] {
		home.Step(now, a)
	}
	took := time.Since(began)
	const ticks = 100
	began = time.Now()
	for i := range ticks {
		home.Step(now.Add(time.Duration(i)*btclaim.TickInterval), btclaim.Tick{})
	}
	ticked := time.Since(began)
	b.ReportMetric((granted-empty)/float64(records), "B/home_record")
	b.ReportMetric((run-granted)/float64(records), "B/ledger_record")
	b.ReportMetric(float64(took.Nanoseconds())/float64(len(list)-records), "ns/grant")
	b.ReportMetric(float64(ticked.Nanoseconds())/ticks, "ns/tick")
	b.ReportMetric(0, "ns/op")
	runtime.KeepAlive(home)
	runtime.KeepAlive(ledger)
	runtime.KeepAlive(list)
	runtime.KeepAlive(grants)
}
