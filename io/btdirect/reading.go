package btdirect

import (
	"context"
	"time"

	"bilberrytide/core/btgossip"
)

// reading is an entry's part in reading the source for all.
type reading struct {
	// rank is the number of other entries before this one in the reading order. The first
	// ones read the source even while they receive the list from others.
	rank int
	// patience is how much longer than peerListTTL the entry waits for a list.
	patience time.Duration
	// substitutes reports whether the entry continues to read if it had to once.
	substitutes bool
}

// awaitRetry waits after a failed read, until another entry has passed the list on or the
// read is to be repeated.
func (sc *sourceCache) awaitRetry(ctx context.Context) {
	rank := sc.reading().rank
	sc.mu.Lock()
	end := sc.clock().Add(btgossip.RetryDelay(rank, listReaders, sc.readFailures))
	sc.mu.Unlock()
	for ctx.Err() == nil && sc.clock().Before(end) && !sc.listedByPeer(sc.clock()) {
		sleep(ctx, min(peerListPoll, end.Sub(sc.clock())))
	}
}
