package btrank

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"bilberrytide/core/btexpert"
	"bilberrytide/core/btrelay"
	"bilberrytide/core/btround"
)

// lookAtStale reads the states of engines whose agents are away. An agent that
// has only just begun to lead doesn't know their ranks, so it goes by the list.
func (l *lead) lookAtStale(ctx context.Context, now time.Time) {
	if len(l.machine.StaleRanks(now)) == 0 {
		return
	}
	heard := make(map[netip.AddrPort]bool, len(l.engines))
	for r, engine := range l.engines {
		heard[engine] = now.Sub(l.at[r]) <= btrelay.DirectReadInterval
	}
	silent := slices.DeleteFunc(l.agent.directory.engines(l.machine.Group()), func(e netip.AddrPort) bool { return heard[e] })
	for _, engine := range l.looker.Due(now, silent) {
		go l.look(ctx, engine)
	}
}

// look reads one engine's state from afar.
func (l *lead) look(ctx context.Context, engine netip.AddrPort) {
	remote := l.remote(engine)
	s, err := report(ctx, remote)
	if err != nil {
		l.options.Meter.Counter("remote_reports_failed").Inc(1)
		return
	}
	if l.takeRemote(engine, s) {
		l.holdRemote(ctx, remote, s.Rank)
	}
}

// takeRemote takes the state of an engine in whose agent is away, and tells
// whether it isn't known what the rank holds.
func (l *lead) takeRemote(engine netip.AddrPort, s btround.State) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.machine.HandleReport(l.options.Clock(), s, 0)
	if s.Group != l.machine.Group() || s.Epoch != l.machine.Epoch() {
		return false
	}
	l.engines[s.Rank] = engine
	return l.planner.wants(s.Rank, s.Map)
}

// holdRemote reads what a rank holds from its engine.
func (l *lead) holdRemote(ctx context.Context, remote Engine, r btexpert.Rank) {
	ctx, cancel := context.WithTimeout(ctx, reportTime)
	defer cancel()
	h, err := remote.Held(ctx)
	if err != nil {
		l.options.Meter.Counter("remote_reports_failed").Inc(1)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if h.Epoch == l.machine.Epoch() {
		l.planner.hold(r, h)
	}
}

// remote returns a client of another host's engine.
func (l *lead) remote(engine netip.AddrPort) Engine {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, found := l.remotes[engine]
	if !found {
		e = l.options.Remote(engine)
		l.remotes[engine] = e
	}
	return e
}
