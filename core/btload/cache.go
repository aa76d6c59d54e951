package btload

import (
	"fmt"

	"bilberrytide/core/btid"
)

// MaxCacheEvents is how many cache events one message may carry.
const MaxCacheEvents = 256

// CacheOp is what happened to a cached prefix.
type CacheOp string

const (
	// Stored means that the target now holds the prefix.
	Stored CacheOp = "stored"
	// Evicted means that the target holds it no longer.
	Evicted CacheOp = "evicted"
)

// CacheEvent is one change of a target's prefix cache. It is written as an array
// to keep batches small.
type CacheEvent struct {
	_      struct{} `cbor:",toarray"`
	Seq    uint64   `json:"seq"`
	Op     CacheOp  `json:"op"`
	Prefix uint64   `json:"prefix"`
}

// CacheEvents is a batch of cache events of one target in order of Seq. Epoch
// changes when the target starts anew with an empty cache.
type CacheEvents struct {
	Target btid.Target  `cbor:"target" json:"target"`
	Epoch  uint64       `cbor:"epoch" json:"epoch"`
	Events []CacheEvent `cbor:"events" json:"events"`
}

// Validate reports a batch that is too long, out of order or of unknown
// operations. The error wraps ErrMessage.
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

// view is what an entry believes of one target's prefix cache: two generations
// of prefixes, so that the oldest half is forgotten at once when it is full.
type view struct {
	recent, older map[uint64]struct{}
	limit         int
	epoch, seq    uint64
}

func newView(limit int) view {
	return view{
		recent: map[uint64]struct{}{},
		older:  map[uint64]struct{}{},
		limit:  max(limit/2, 1),
	}
}

func (v *view) has(prefix uint64) bool {
	if _, ok := v.recent[prefix]; ok {
		return true
	}
	_, ok := v.older[prefix]
	return ok
}

func (v *view) add(prefix uint64) {
	if _, ok := v.recent[prefix]; ok {
		return
	}
	if len(v.recent) >= v.limit {
		v.age()
	}
	v.recent[prefix] = struct{}{}
}

func (v *view) remove(prefix uint64) {
	delete(v.recent, prefix)
	delete(v.older, prefix)
}

// age forgets the older generation and makes the recent one the older.
func (v *view) age() {
	v.recent, v.older = v.older, v.recent
	clear(v.recent)
}

func (v *view) clear() {
	clear(v.recent)
	clear(v.older)
}

func (v *view) size() int { return len(v.recent) + len(v.older) }

// apply takes in a batch and returns how many events are missing before or
// within it. Repeated events are skipped.
func (v *view) apply(batch CacheEvents, maxGap uint64) uint64 {
	if batch.Epoch != v.epoch {
		v.clear()
		v.epoch, v.seq = batch.Epoch, 0
	}
	var missing uint64
	for _, e := range batch.Events {
		if e.Seq <= v.seq {
			continue
		}
		missing += v.gap(e.Seq-v.seq-1, maxGap)
		v.seq = e.Seq
		if e.Op == Stored {
			v.add(e.Prefix)
		} else {
			v.remove(e.Prefix)
		}
	}
	return missing
}

// gap ages the view for a short gap and clears it for a long one. An entry that
// has seen no event yet has nothing to distrust.
func (v *view) gap(missing, maxGap uint64) uint64 {
	if missing == 0 || v.seq == 0 {
		return 0
	}
	if missing > maxGap {
		v.clear()
	} else {
		v.age()
	}
	return missing
}

// hits returns how many chunks of the chain are believed cached. A cached chunk
// implies the chunks before it, so the boundary is found by bisection.
func (v *view) hits(prefixes []uint64) int {
	low, high := 0, len(prefixes)
	for low < high {
		middle := (low + high + 1) / 2
		if v.has(prefixes[middle-1]) {
			low = middle
		} else {
			high = middle - 1
		}
	}
	return low
}
