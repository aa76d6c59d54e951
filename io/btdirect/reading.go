package btdirect

import (
	"context"
	"errors"
	"time"

	"bilberrytide/core/btgossip"
	"bilberrytide/core/btinventory"
)

// reading is an entry's part in reading the source for all.
type reading struct {
	// rank is the number of other entries before this one in the reading order. The first
	// ones read the source even while they receive the list from others.
	rank int
	// extraWait is how much longer than peerListTTL the entry waits for a list.
	extraWait time.Duration
	// substitutes reports whether the entry continues to read if it had to once.
	substitutes bool
}

// readResult is the result of a read.
type readResult struct {
	read   btinventory.Read
	update Update
	err    error
}

// run reads the source until the context ends.
func (sc *sourceCache) run(ctx context.Context) {
	for ctx.Err() == nil {
		sc.readRound(ctx)
	}
}

// readRound reads the source until a read is answered, and cancels the others in flight.
func (sc *sourceCache) readRound(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan readResult)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		timer.Reset(sc.startReads(ctx, results))
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case r := <-results:
			if sc.finishRead(r) {
				return
			}
		}
	}
}

// startReads starts the reads that are due, and returns the time until it is to be called
// again.
func (sc *sourceCache) startReads(ctx context.Context, results chan<- readResult) time.Duration {
	for {
		now := sc.clock()
		if sc.listedByPeer(now) {
			return peerListPoll
		}
		r, wait := sc.nextRead(now)
		if wait > 0 {
			return wait
		}
		go func() {
			update, err := sc.read(ctx, r)
			select {
			case results <- readResult{read: r.Read, update: update, err: err}:
			case <-ctx.Done():
			}
		}()
	}
}

// scheduledRead is a read and the position from which it reads.
type scheduledRead struct {
	btinventory.Read
	from btinventory.Position
}

// nextRead returns the next read if it is due, or the time until it may be.
func (sc *sourceCache) nextRead(now time.Time) (scheduledRead, time.Duration) {
	rank := sc.reading().rank
	sc.mu.Lock()
	defer sc.mu.Unlock()
	known := btinventory.KnownList{HasPosition: sc.hasList && !sc.historyGone, ReadAt: sc.listedAt}
	kind, due, ok := sc.schedule.Next(now, known, btgossip.RetryDelay(rank, listReaders, sc.schedule.Failures()))
	wait := readInterval
	if ok {
		wait = due.Sub(now)
	}
	if rank >= listReaders {
		// Meanwhile the list may be received from another entry.
		wait = min(wait, peerListPoll)
	}
	if !ok || wait > 0 {
		return scheduledRead{}, wait
	}
	sc.meter.Counter(metricReads).Inc(1)
	if kind == btinventory.Poll {
		sc.meter.Counter(metricPolls).Inc(1)
	}
	return scheduledRead{Read: sc.schedule.Send(now, kind), from: sc.position}, 0
}

// read reads the source once.
func (sc *sourceCache) read(ctx context.Context, r scheduledRead) (Update, error) {
	switch r.Kind {
	case btinventory.ReadAll:
		return sc.source.Snapshot(ctx)
	case btinventory.Poll:
		return sc.source.Changes(ctx, r.from, 0)
	}
	return sc.source.Changes(ctx, r.from, changesTimeout)
}

// finishRead records the result of a read, and reports whether the other reads in flight are
// no longer needed.
func (sc *sourceCache) finishRead(r readResult) bool {
	if r.err == nil {
		sc.mu.Lock()
		sc.register.Interrupted(sc.schedule.Succeeded(r.read))
		sc.mu.Unlock()
		sc.apply(r.update)
		return true
	}
	sc.meter.Counter(metricReadErrors).Inc(1)
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if errors.Is(r.err, ErrHistoryGone) {
		// The list is valid until it is replaced, and other entries receive it meanwhile.
		sc.historyGone = true
		sc.schedule.HistoryGone()
		sc.log.Info("history gone", "position", sc.position.String(), "outcome", "read in full", "error", r.err)
		return true
	}
	sc.schedule.Failed(r.read)
	sc.register.Interrupted(r.read.SentAt)
	if r.read.Kind != btinventory.Watch && !sc.storeLost {
		sc.storeLost = true
		sc.log.Warn("dependency lost", "dependency", "store", "position", sc.position.String(), "age_ms", sc.readAge().Milliseconds(), "error", r.err)
	}
	return false
}

// sleep waits for the duration or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
