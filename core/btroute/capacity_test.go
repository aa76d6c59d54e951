package btroute_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btload"
	"bilberrytide/core/btroute"
)

// BenchmarkPickSizes measures the time of a pick and an entry's memory per target
// by the number of targets. Each target's cache view is full.
func BenchmarkPickSizes(b *testing.B) {
	for _, targets := range []int{10, 100, 830} {
		b.Run(fmt.Sprint("targets=", targets), func(b *testing.B) {
			before := heap()
			r := newRouter(targets, 1)
			random := rand.New(rand.NewPCG(1, 1))
			for i := range targets {
				r.Step(epoch, btroute.LoadEvent{Event: btload.Reported{Report: btload.Report{
					Target: targetName(i), Incarnation: 1, Number: 1, Running: i % 16, Slots: 16,
				}}})
				fillCacheView(r, i, random)
			}
			memory := (heap() - before) / float64(targets)
			request := btroute.Request{Service: "s", Tokens: 2048, Prefixes: btload.Prefixes(make([]byte, 32*btload.ChunkBytes))}
			b.ReportAllocs()
			for b.Loop() {
				_, err := r.Pick(epoch, request)
				assert.NilError(b, err)
			}
			b.ReportMetric(memory, "B/target")
		})
	}
}

// fillCacheView reports more stored prefixes than a cache view keeps.
func fillCacheView(r *btroute.Router, target int, random *rand.Rand) {
	for first := 0; first < 3*btload.Defaults().MaxPrefixes; first += btload.MaxCacheEvents {
		batch := btload.CacheEvents{Target: targetName(target), Epoch: 1}
		for i := range btload.MaxCacheEvents {
			batch.Events = append(batch.Events, btload.CacheEvent{Seq: uint64(first + i + 1), Op: btload.Stored, Prefix: random.Uint64()})
		}
		r.Step(epoch, btroute.LoadEvent{Event: btload.CacheReported{Batch: batch}})
	}
}

func heap() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
