package btload

import (
	"slices"

	"bilberrytide/core/btid"
)

// Outbox holds the cache events that an agent has yet to send to entries. It is
// bounded, so that what entries hear of a busy cache is a part of it: where it
// overflows, the oldest events are lost, and the numbering says so. It is not
// safe for concurrent use.
type Outbox struct {
	target btid.Target
	epoch  uint64
	limit  int
	// next is the number of the next event sent.
	next    uint64
	pending []CacheEvent
}

// NewOutbox returns an empty outbox that holds at most limit events.
func NewOutbox(target btid.Target, epoch uint64, limit int) *Outbox {
	return &Outbox{target: target, epoch: epoch, limit: limit, next: 1}
}

// Add notes a change. Only the last one of a prefix is sent.
func (o *Outbox) Add(op CacheOp, prefix uint64) {
	o.pending = slices.DeleteFunc(o.pending, func(e CacheEvent) bool { return e.Prefix == prefix })
	o.pending = append(o.pending, CacheEvent{Op: op, Prefix: prefix})
	if len(o.pending) > o.limit {
		o.pending = o.pending[1:]
		o.MarkLost(1)
	}
}

// MarkLost notes that so many changes are not known.
func (o *Outbox) MarkLost(count uint64) { o.next += count }

// Reset begins anew with an empty cache.
func (o *Outbox) Reset() {
	o.epoch++
	o.next = 1
	o.pending = nil
}

// Len returns how many events wait.
func (o *Outbox) Len() int { return len(o.pending) }

// Take returns the newest events, at most count of them, as one batch. The
// others stay until there is room for them.
func (o *Outbox) Take(count int) CacheEvents {
	count = min(count, len(o.pending), MaxCacheEvents)
	kept := len(o.pending) - count
	batch := CacheEvents{Target: o.target, Epoch: o.epoch, Events: slices.Clone(o.pending[kept:])}
	o.pending = slices.Clip(o.pending[:kept])
	for i := range batch.Events {
		batch.Events[i].Seq = o.next
		o.next++
	}
	return batch
}
