package btload_test

import (
	"errors"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bilberrytide/core/btload"
)

func validReport() btload.Report {
	return btload.Report{Target: "t1", Incarnation: 1, Number: 1, Slots: 4, QueueCapacity: 8}
}

// TestReportValidate checks that each invalid field is rejected and named.
func TestReportValidate(t *testing.T) {
	assert.NilError(t, validReport().Validate())
	for name, corrupt := range map[string]func(r *btload.Report){
		"target":             func(r *btload.Report) { r.Target = "Not A Name" },
		"incarnation":        func(r *btload.Report) { r.Incarnation = 0 },
		"running":            func(r *btload.Report) { r.Running = -1 },
		"waiting":            func(r *btload.Report) { r.Waiting = math.MaxInt },
		"slots":              func(r *btload.Report) { r.Slots = -1 },
		"queue_capacity":     func(r *btload.Report) { r.QueueCapacity = -1 },
		"age":                func(r *btload.Report) { r.Age = -time.Second },
		"kv_used":            func(r *btload.Report) { r.KVUsed = math.NaN() },
		"step_time":          func(r *btload.Report) { r.StepTime = time.Hour },
		"expert_load":        func(r *btload.Report) { r.ExpertLoad = math.Inf(1) },
		"outstanding_tokens": func(r *btload.Report) { r.OutstandingTokens = -1 },
	} {
		r := validReport()
		corrupt(&r)
		err := r.Validate()
		assert.ErrorIs(t, err, btload.ErrMessage)
		assert.ErrorContains(t, err, name)
	}
}

// TestCacheEventsValidate checks that each kind of malformed batch is rejected.
func TestCacheEventsValidate(t *testing.T) {
	good := btload.CacheEvents{Target: "t1", Events: []btload.CacheEvent{{Seq: 1, Op: btload.Stored}, {Seq: 3, Op: btload.Evicted}}}
	assert.NilError(t, good.Validate())
	bad := []btload.CacheEvents{
		{Target: ""},
		{Target: "t1", Events: make([]btload.CacheEvent, btload.MaxCacheEvents+1)},
		{Target: "t1", Events: []btload.CacheEvent{{Seq: 2, Op: btload.Stored}, {Seq: 2, Op: btload.Stored}}},
		{Target: "t1", Events: []btload.CacheEvent{{Seq: 1, Op: "moved"}}},
	}
	for _, c := range bad {
		assert.ErrorIs(t, c.Validate(), btload.ErrMessage)
	}
}

// FuzzReport decodes arbitrary bytes: a report that decodes and validates must be
// accepted by the tracker and give a positive estimate.
func FuzzReport(f *testing.F) {
	for _, r := range []btload.Report{validReport(), {}, {Target: "t1", Incarnation: 1, Running: math.MaxInt}} {
		data, err := cbor.Marshal(r)
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Add([]byte{0xbf, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		var r btload.Report
		if cbor.Unmarshal(data, &r) != nil || r.Validate() != nil {
			return
		}
		tracker := btload.New(btload.Defaults())
		target := tracker.Target("s", r.Target)
		tracker.Step(epoch, btload.Reported{Report: r})
		assert.Assert(t, target.Estimate(epoch, 1000, nil).FirstToken > 0)
	})
}

// FuzzCacheEvents decodes arbitrary bytes: a batch that decodes and validates must not
// add more prefixes than it has events.
func FuzzCacheEvents(f *testing.F) {
	good := btload.CacheEvents{Target: "t1", Epoch: 1, Events: []btload.CacheEvent{{Seq: 1, Op: btload.Stored, Prefix: 7}}}
	data, err := cbor.Marshal(good)
	assert.NilError(f, err)
	f.Add(data)
	f.Add([]byte{0x80})
	f.Fuzz(func(t *testing.T, data []byte) {
		var c btload.CacheEvents
		if cbor.Unmarshal(data, &c) != nil || c.Validate() != nil {
			return
		}
		tracker := btload.New(btload.Defaults())
		target := tracker.Target("s", c.Target)
		tracker.Step(epoch, btload.CacheReported{Batch: c})
		assert.Assert(t, target.CachedPrefixes() <= len(c.Events))
	})
}

// TestPrefixesOfCommonStart guards against prompts with a common start getting
// different hashes for it, or different chunks getting the same hash.
func TestPrefixesOfCommonStart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		common := rapid.SliceOfN(rapid.Byte(), 0, 2000).Draw(t, "common")
		a := append(append([]byte{}, common...), 'a')
		b := append(append([]byte{}, common...), 'b')
		pa, pb := btload.Prefixes(a), btload.Prefixes(b)
		for i := range len(common) / btload.ChunkBytes {
			assert.Equal(t, pa[i], pb[i])
		}
		if len(a)%btload.ChunkBytes == 0 {
			assert.Assert(t, pa[len(pa)-1] != pb[len(pb)-1])
		}
	})
}

// TestPrefixesAreBounded guards against hashing the whole of a long prompt.
func TestPrefixesAreBounded(t *testing.T) {
	assert.Equal(t, len(btload.Prefixes(make([]byte, 1<<20))), btload.MaxChunks)
}

func ExamplePrefixes() {
	prompt := make([]byte, 3*btload.ChunkBytes+10)
	longer := append(prompt, make([]byte, btload.ChunkBytes)...)
	short, long := btload.Prefixes(prompt), btload.Prefixes(longer)
	fmt.Println(len(short), len(long), short[2] == long[2])
	// Output: 3 4 true
}

func ExampleReport_Validate() {
	err := btload.Report{Target: "t1", Incarnation: 1, KVUsed: 2}.Validate()
	fmt.Println(errors.Is(err, btload.ErrMessage), err)
	// Output: true malformed load message: report kv_used is 2
}
