package btbundle_test

import (
	"fmt"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btbundle"
)

// sizedDocument returns the minimal bundle with the given numbers of targets
// and accounts added.
func sizedDocument(targets, accounts int) []byte {
	document := []byte(minimalBundle)
	for i := range targets {
		document = fmt.Appendf(document, "\n[[targets]]\nname = \"m%d\"\nservice = \"lookup\"\nhost = \"hm%d\"\n"+
			"data_centre = \"aarhus\"\naddress = \"10.0.%d.%d:7100\"\nendpoint = \"10.0.%d.%d:7200\"\nslots = 4\nqueue = 8\n",
			i, i, i/250, i%250+1, i/250, i%250+1)
	}
	for i := range accounts {
		document = fmt.Appendf(document, "\n[[accounts]]\nname = \"a%d\"\nkey_hashes = [\"%s\"]\nrate = 10.0\nburst = 20\nconcurrency = 8\nweight = 1.0\n",
			i, btbundle.HashKey(fmt.Sprint(i)))
	}
	return document
}

// BenchmarkVerifySizes measures the time and memory that it takes to parse,
// verify, decode and index a signed file, by its size.
func BenchmarkVerifySizes(b *testing.B) {
	for _, s := range []struct{ targets, accounts int }{{20, 10}, {200, 170}, {830, 690}} {
		b.Run(fmt.Sprintf("targets=%d/accounts=%d", s.targets, s.accounts), func(b *testing.B) {
			file := signed(sizedDocument(s.targets, s.accounts), keyPair(0))
			anchor := approvers(keyPair(0))
			before := liveHeap()
			kept := approve(b, sizedDocument(s.targets, s.accounts))
			memory := liveHeap() - before
			b.ReportAllocs()
			for b.Loop() {
				parsed, err := btbundle.ParseSigned(file)
				assert.NilError(b, err)
				_, err = anchor.Verify(parsed)
				assert.NilError(b, err)
			}
			b.ReportMetric(float64(len(file)), "file_B")
			b.ReportMetric(memory, "kept_B")
			runtime.KeepAlive(kept)
		})
	}
}

func liveHeap() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
