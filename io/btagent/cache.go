package btagent

import (
	"context"

	"bilberrytide/core/btload"
	"bilberrytide/core/btrequest"
	"bilberrytide/io/btpeer"
	"bilberrytide/io/btprocess"
)

// cacheQueue is how many batches wait for one entry; the next are dropped, and
// the gap in their numbers tells the entry.
const cacheQueue = 4

const reasonCacheDropped btrequest.Reason = "cache_batch_dropped"

// publish sends a batch of cache events to every watcher.
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

// sendBatches carries batches to one entry. The stream opens with the first.
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

// sendBatch returns the stream for the next batch, nil where it broke.
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
