package btload

import (
	"fmt"

	"bilberrytide/core/btid"
)

// MaxCacheEvents is the largest number of cache events in one message.
const MaxCacheEvents = 256

// CacheOp is a change of a cached prefix.
type CacheOp string

const (
	// Stored means that the prefix was added to the target's cache.
	Stored CacheOp = "stored"
	// Evicted means that the prefix was removed from the target's cache.
	Evicted CacheOp = "evicted"
)

// CacheEvent is one change of a target's prefix cache. It is encoded as an array to
// keep batches small.
type CacheEvent struct {
	_      struct{} `cbor:",toarray"`
	Seq    uint64   `json:"seq"`
	Op     CacheOp  `json:"op"`
	Prefix uint64   `json:"prefix"`
}

// CacheEvents is a batch of one target's cache events, ordered by Seq. Epoch changes
// when the target restarts with an empty cache.
type CacheEvents struct {
	Target btid.Target  `cbor:"target" json:"target"`
	Epoch  uint64       `cbor:"epoch" json:"epoch"`
	Events []CacheEvent `cbor:"events" json:"events"`
}

// Validate rejects batches that are too long, out of order or have an unknown
// operation. The error wraps ErrMessage.
func (c CacheEvents) Validate() error {
	if err := btid.CheckName(string(c.Target)); err != nil {
		return fmt.Errorf("%w: cache events target: %w", ErrMessage, err)
	}
	if len(c.Events) > MaxCacheEvents {
		return fmt.Errorf("%w: %d cache events, at most %d", ErrMessage, len(c.Events), MaxCacheEvents)
	}
	var last uint64
	for i, e := range c.Events {
		if e.Seq <= last {
			return fmt.Errorf("%w: cache event %d: seq %d after %d", ErrMessage, i, e.Seq, last)
		}
		if e.Op != Stored && e.Op != Evicted {
			return fmt.Errorf("%w: cache event %d: op %q", ErrMessage, i, e.Op)
		}
		last = e.Seq
	}
	return nil
}

// cacheView approximates the content of one target's prefix cache. It keeps two
// generations of prefixes and discards the older one when the recent one is full.
type cacheView struct {
	recent, older   map[uint64]struct{}
	generationLimit int
	epoch, seq      uint64
}

func newCacheView(limit int) cacheView {
	return cacheView{
		recent:          map[uint64]struct{}{},
		older:           map[uint64]struct{}{},
		generationLimit: max(limit/2, 1),
	}
}

func (v *cacheView) contains(prefix uint64) bool {
	if _, ok := v.recent[prefix]; ok {
		return true
	}
	_, ok := v.older[prefix]
	return ok
}

func (v *cacheView) add(prefix uint64) {
	if _, ok := v.recent[prefix]; ok {
		return
	}
	if len(v.recent) >= v.generationLimit {
		v.rotate()
	}
	v.recent[prefix] = struct{}{}
}

func (v *cacheView) remove(prefix uint64) {
	delete(v.recent, prefix)
	delete(v.older, prefix)
}

// rotate discards the older generation and replaces it by the recent one.
func (v *cacheView) rotate() {
	v.recent, v.older = v.older, v.recent
	clear(v.recent)
}

func (v *cacheView) clear() {
	clear(v.recent)
	clear(v.older)
}

func (v *cacheView) size() int { return len(v.recent) + len(v.older) }

// apply applies a batch and returns how many events are missing before or within
// it. Events that were already applied are skipped.
func (v *cacheView) apply(batch CacheEvents, maxGap uint64) uint64 {
	if batch.Epoch != v.epoch {
		v.clear()
		v.epoch, v.seq = batch.Epoch, 0
	}
	var missing uint64
	for _, e := range batch.Events {
		if e.Seq <= v.seq {
			continue
		}
		missing += v.handleGap(e.Seq-v.seq-1, maxGap)
		v.seq = e.Seq
		if e.Op == Stored {
			v.add(e.Prefix)
		} else {
			v.remove(e.Prefix)
		}
	}
	return missing
}

// handleGap rotates the view for a short gap and clears it for a long one. Before
// the first event there is nothing that a gap could have invalidated.
func (v *cacheView) handleGap(missing, maxGap uint64) uint64 {
	if missing == 0 || v.seq == 0 {
		return 0
	}
	if missing > maxGap {
		v.clear()
	} else {
		v.rotate()
	}
	return missing
}

// cachedChunks returns how many chunks of the chain are expected to be cached. A
// cached chunk implies the chunks before it, so a binary search finds the last one.
func (v *cacheView) cachedChunks(prefixes []uint64) int {
	low, high := 0, len(prefixes)
	for low < high {
		middle := (low + high + 1) / 2
		if v.contains(prefixes[middle-1]) {
			low = middle
		} else {
			high = middle - 1
		}
	}
	return low
}
