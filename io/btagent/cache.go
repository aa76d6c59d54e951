package btagent

import (
	"context"

	"bilberrytide/core/btload"
	"bilberrytide/core/btrequest"
	"bilberrytide/io/btpeer"
	"bilberrytide/io/btprocess"
)

// cacheBatchCapacity limits the batches that wait for one entry. Further batches are
// dropped; the entry detects the loss by the gap in the sequence numbers.
const cacheBatchCapacity = 4

const reasonCacheDropped btrequest.Reason = "cache_batch_dropped"

// publish queues a batch of cache events for every watcher.
func (h *heartbeat) publish(batch btload.CacheEvents) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, w := range h.watchers {
		select {
		case w.batches <- batch:
		default:
			h.options.Meter.Refused(reasonCacheDropped)
		}
	}
}

// sendBatches sends batches to one entry. It opens the stream with the first batch.
func (h *heartbeat) sendBatches(ctx context.Context, w *watcher) {
	var s *btpeer.Stream
	for {
		select {
		case <-ctx.Done():
			closeStream(s)
			return
		case batch := <-w.batches:
			s = h.sendBatch(ctx, w, s, batch)
		}
	}
}

// sendBatch sends a batch and returns the stream for the next one, nil if it failed.
func (h *heartbeat) sendBatch(ctx context.Context, w *watcher, s *btpeer.Stream, batch btload.CacheEvents) *btpeer.Stream {
	if s == nil {
		opened, err := h.options.Node.Open(ctx, w.endpoint, btprocess.KindCache)
		if err != nil {
			h.options.Meter.Refused(reasonCacheDropped)
			return nil
		}
		s = opened
	}
	if err := btpeer.Send(s, batch); err != nil {
		h.options.Meter.Refused(reasonCacheDropped)
		s.Close()
		return nil
	}
	return s
}

func closeStream(s *btpeer.Stream) {
	if s != nil {
		s.Close()
	}
}
