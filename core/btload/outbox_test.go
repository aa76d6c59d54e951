package btload_test

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bilberrytide/core/btload"
)

// TestOutboxAndCacheView applies random changes, losses and resets. It guards against
// invalid batches, and against an entry that has received everything still counting a
// prefix as cached after its eviction.
func TestOutboxAndCacheView(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		outbox := btload.NewOutbox("t1", 1, 16)
		r := btload.New(btload.Defaults())
		target := r.Target("s", "t1")
		evicted := map[uint64]bool{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				batch := outbox.Take(rapid.IntRange(0, 8).Draw(t, "count"))
				assert.NilError(t, batch.Validate())
				r.Step(epoch, btload.CacheReported{Batch: batch})
			case 1:
				outbox.MarkLost(uint64(rapid.IntRange(1, 100).Draw(t, "lost")))
			case 2:
				outbox.Reset()
				clear(evicted)
			default:
				prefix := rapid.Uint64Range(1, 12).Draw(t, "prefix")
				op := btload.Stored
				if evicted[prefix] = rapid.Bool().Draw(t, "evicted"); evicted[prefix] {
					op = btload.Evicted
				}
				outbox.Add(op, prefix)
			}
			assert.Assert(t, outbox.Len() <= 16)
		}
		// The limit is above the number of prefixes, so the outbox did not overflow.
		for outbox.Len() > 0 {
			r.Step(epoch, btload.CacheReported{Batch: outbox.Take(8)})
		}
		r.Step(epoch, btload.CacheReported{Batch: outbox.Take(0)})
		for prefix, gone := range evicted {
			if gone {
				assert.Equal(t, target.Estimate(epoch, 1000, []uint64{prefix}).CachedTokens, 0)
			}
		}
	})
}

// TestOutboxOverflowLeavesGap guards against dropping events without a gap in the
// sequence numbers, which would leave entries with a wrong cache view.
func TestOutboxOverflowLeavesGap(t *testing.T) {
	outbox := btload.NewOutbox("t1", 1, 4)
	outbox.Add(btload.Stored, 1)
	assert.Equal(t, outbox.Take(1).Events[0].Seq, uint64(1))
	for prefix := range uint64(6) {
		outbox.Add(btload.Stored, 10+prefix)
	}
	batch := outbox.Take(4)
	assert.Equal(t, batch.Events[0].Seq, uint64(4))
	assert.Equal(t, batch.Events[3].Prefix, uint64(15))
}

// TestCacheEventSize fixes the encoded size of an event, from which the agents' rate
// of events was chosen.
func TestCacheEventSize(t *testing.T) {
	data, err := cbor.Marshal(btload.CacheEvent{Seq: 1 << 20, Op: btload.Evicted, Prefix: 1 << 63})
	assert.NilError(t, err)
	assert.Equal(t, len(data), 23)
}
