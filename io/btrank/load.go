package btrank

import (
	"context"
	"math"
	"net/netip"
	"sync"
	"time"

	"bilberrytide/core/btexpert"
	"bilberrytide/core/btrelay"
	"bilberrytide/io/btcall"
	"bilberrytide/io/btdirect"
)

const (
	// loadInterval is the interval at which the load is sent to the entries. It also
	// bounds the wait for an entry's answer.
	loadInterval = 200 * time.Millisecond
	// minLoadPace is the pace from which on a rank's pace is sent to the entries. A choice
	// of targets by pace can't distinguish smaller differences from chance.
	minLoadPace = 1.05
	// senderSkipDuration is how long an agent that didn't answer isn't asked to send the
	// load.
	senderSkipDuration = 2 * time.Second
)

// sendLoad sends the group's load to the entries: to a few itself, to many through other
// agents. The lock must be held.
func (l *lead) sendLoad(ctx context.Context, now time.Time) {
	if now.Sub(l.loadSentAt) < loadInterval {
		return
	}
	l.loadSentAt = now
	load := l.load(now)
	entries := l.agent.directory.loadReceivers()
	if len(entries) <= btrelay.EntriesPerSender {
		for _, entry := range entries {
			go l.sendLoadTo(ctx, load, entry)
		}
		return
	}
	senders := btrelay.LoadSenders(l.machine.Size(), int(l.machine.Self()), len(entries), func(rank int) bool {
		r := btexpert.Rank(rank)
		return now.Sub(l.reportedAt[r]) <= recentReportAge && !now.Before(l.skippedUntil[r])
	})
	if len(senders) == 0 {
		l.options.Meter.Counter("load_untold").Inc(int64(len(entries)))
		return
	}
	for i, rank := range senders {
		r := btexpert.Rank(rank)
		n := LoadNotice{Load: load, Entries: btrelay.Share(entries, i, len(senders))}
		go l.sendLoadThrough(ctx, r, agentOf(l.engines[r], l.options.Address.Port()), n)
	}
}

// load returns the group's load. The lock must be held.
func (l *lead) load(now time.Time) btdirect.LoadReport {
	load := btdirect.LoadReport{
		Service:  l.options.Settings.Service,
		Group:    l.machine.Group(),
		Epoch:    l.machine.Epoch(),
		Open:     l.machine.AllRanksOpen(now),
		Requests: make([]byte, l.machine.Size()),
	}
	for r := range load.Requests {
		load.Requests[r] = btdirect.LoadUnknown
	}
	for _, s := range l.machine.RecentStates(now) {
		load.Requests[s.Rank] = byte(min(s.Running+s.Waiting, btdirect.LoadUnknown-1))
		if s.Pace >= minLoadPace {
			load.Paces = append(load.Paces, btdirect.RankPace{Rank: int(s.Rank), Pace: float32(min(s.Pace, math.MaxFloat32))})
		}
	}
	return load
}

// sendLoadThrough has an agent send the load to the entries of a notice.
func (l *lead) sendLoadThrough(ctx context.Context, r btexpert.Rank, agent netip.AddrPort, n LoadNotice) {
	bounded, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	latencyRatio, err := btcall.Call[btdirect.LatencyRatio](bounded, l.calls, agent, pathLoadNotice, n)
	if err != nil {
		l.options.Meter.Counter("load_untold").Inc(int64(len(n.Entries)))
		l.mu.Lock()
		l.skippedUntil[r] = l.options.Clock().Add(senderSkipDuration)
		l.mu.Unlock()
		return
	}
	l.recordLatencyRatio(agent, latencyRatio)
}

// sendLoadTo sends the load to one entry.
func (l *lead) sendLoadTo(ctx context.Context, load btdirect.LoadReport, entry netip.AddrPort) {
	latencyRatio, err := postLoad(ctx, l.calls, load, entry)
	if err != nil {
		l.options.Meter.Counter("load_untold").Inc(1)
		return
	}
	l.recordLatencyRatio(entry, latencyRatio)
}

// postLoad sends the load to one entry, and returns the latency ratio that it answers with.
func postLoad(ctx context.Context, calls *btcall.Client, load btdirect.LoadReport, entry netip.AddrPort) (btdirect.LatencyRatio, error) {
	bounded, cancel := context.WithTimeout(ctx, loadInterval)
	defer cancel()
	return btcall.Call[btdirect.LatencyRatio](bounded, calls, entry, btdirect.PathLoad, load)
}

// handleLoadNotice sends the load to entries for the lead, and returns the mean of their
// latency ratios, weighted by their streams.
func (r *relay) handleLoadNotice(ctx context.Context, n LoadNotice) (btdirect.LatencyRatio, error) {
	var mu sync.Mutex
	var all meanLatencyRatio
	var wg sync.WaitGroup
	for _, entry := range n.Entries {
		wg.Go(func() {
			latencyRatio, err := postLoad(ctx, r.agent.calls, n.Load, entry)
			if err != nil {
				r.agent.options.Meter.Counter("load_untold").Inc(1)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			all.add(latencyRatio)
		})
	}
	wg.Wait()
	return all.latencyRatio(), nil
}
