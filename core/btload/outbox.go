package btload

import (
	"slices"

	"bilberrytide/core/btid"
)

// Outbox queues an agent's cache events for the entries. It is bounded: if it
// overflows, the oldest events are dropped and leave a gap in the sequence numbers, so
// entries know that their view is incomplete. It is not safe for concurrent use.
type Outbox struct {
	target btid.Target
	epoch  uint64
	limit  int
	// nextSeq is the sequence number of the next event sent.
	nextSeq uint64
	pending []CacheEvent
}

// NewOutbox returns an empty outbox that holds at most limit events.
func NewOutbox(target btid.Target, epoch uint64, limit int) *Outbox {
	return &Outbox{target: target, epoch: epoch, limit: limit, nextSeq: 1}
}

// Add queues a change. It replaces a queued change of the same prefix.
func (o *Outbox) Add(op CacheOp, prefix uint64) {
	o.pending = slices.DeleteFunc(o.pending, func(e CacheEvent) bool { return e.Prefix == prefix })
	o.pending = append(o.pending, CacheEvent{Op: op, Prefix: prefix})
	if len(o.pending) > o.limit {
		o.pending = o.pending[1:]
		o.MarkLost(1)
	}
}

// MarkLost leaves a gap in the sequence numbers for changes that are not known.
func (o *Outbox) MarkLost(count uint64) { o.nextSeq += count }

// Reset starts a new epoch with an empty cache.
func (o *Outbox) Reset() {
	o.epoch++
	o.nextSeq = 1
	o.pending = nil
}

// Len returns how many events are queued.
func (o *Outbox) Len() int { return len(o.pending) }

// Take removes the newest events, at most count, and returns them as a batch. Older
// events stay queued.
func (o *Outbox) Take(count int) CacheEvents {
	count = min(count, len(o.pending), MaxCacheEvents)
	kept := len(o.pending) - count
	batch := CacheEvents{Target: o.target, Epoch: o.epoch, Events: slices.Clone(o.pending[kept:])}
	o.pending = slices.Clip(o.pending[:kept])
	for i := range batch.Events {
		batch.Events[i].Seq = o.nextSeq
		o.nextSeq++
	}
	return batch
}
