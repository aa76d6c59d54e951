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
	// tellEvery is how often entries are told of the group's load.
	tellEvery = 200 * time.Millisecond
	// toldPace is the pace from which on entries are told of it: a choice of targets
	// by pace doesn't tell smaller differences from chance.
	toldPace = 1.05
	// tellerAway is how long an agent is not asked again that did not answer.
	tellerAway = 2 * time.Second
)

// tell has the entries told of the group's load: a few by the lead itself, many by
// other agents.
func (l *lead) tell(ctx context.Context, now time.Time) {
	if now.Sub(l.told) < tellEvery {
		return
	}
	l.told = now
	load := l.load(now)
	entries := l.agent.directory.listeners()
	if len(entries) <= btrelay.EntriesPerSender {
		for _, entry := range entries {
			go l.tellEntry(ctx, load, entry)
		}
		return
	}
	tellers := btrelay.LoadSenders(l.machine.Size(), int(l.machine.Self()), len(entries), func(rank int) bool {
		r := btexpert.Rank(rank)
		return now.Sub(l.at[r]) <= holderFresh && !now.Before(l.tellersAway[r])
	})
	if len(tellers) == 0 {
		l.options.Meter.Counter("load_untold").Inc(int64(len(entries)))
		return
	}
	for i, rank := range tellers {
		r := btexpert.Rank(rank)
		n := Notice{Load: load, Entries: btrelay.Share(entries, i, len(tellers))}
		go l.tellThrough(ctx, r, agentOf(l.engines[r], l.options.Address.Port()), n)
	}
}

// load returns the group's load. The lock is held.
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
		if s.Pace >= toldPace {
			load.Paces = append(load.Paces, btdirect.RankPace{Rank: int(s.Rank), Pace: float32(min(s.Pace, math.MaxFloat32))})
		}
	}
	return load
}

// tellThrough has an agent tell entries.
func (l *lead) tellThrough(ctx context.Context, r btexpert.Rank, agent netip.AddrPort, n Notice) {
	bounded, cancel := context.WithTimeout(ctx, answerTime)
	defer cancel()
	strain, err := btcall.Call[btdirect.Strain](bounded, l.calls, agent, pathTell, n)
	if err != nil {
		l.options.Meter.Counter("load_untold").Inc(int64(len(n.Entries)))
		l.mu.Lock()
		l.tellersAway[r] = l.options.Clock().Add(tellerAway)
		l.mu.Unlock()
		return
	}
	l.strained(agent, strain)
}

// tellEntry tells one entry.
func (l *lead) tellEntry(ctx context.Context, load btdirect.LoadReport, entry netip.AddrPort) {
	strain, err := tellOne(ctx, l.calls, load, entry)
	if err != nil {
		l.options.Meter.Counter("load_untold").Inc(1)
		return
	}
	l.strained(entry, strain)
}

// tellOne tells one entry, and returns what it says of the service's answers.
func tellOne(ctx context.Context, calls *btcall.Client, load btdirect.LoadReport, entry netip.AddrPort) (btdirect.Strain, error) {
	bounded, cancel := context.WithTimeout(ctx, tellEvery)
	defer cancel()
	return btcall.Call[btdirect.Strain](bounded, calls, entry, btdirect.PathLoad, load)
}

// tell tells entries for the lead, and returns the mean of what they say of the
// service's answers, each by its streams.
func (r *relay) tell(ctx context.Context, n Notice) (btdirect.Strain, error) {
	var mu sync.Mutex
	var all meanStrain
	var told sync.WaitGroup
	for _, entry := range n.Entries {
		told.Go(func() {
			strain, err := tellOne(ctx, r.agent.calls, n.Load, entry)
			if err != nil {
				r.agent.options.Meter.Counter("load_untold").Inc(1)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			all.add(strain)
		})
	}
	told.Wait()
	return all.strain(), nil
}
