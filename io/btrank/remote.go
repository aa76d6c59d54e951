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

// readSilentEngines reads the states of engines whose agents are silent. It finds them by
// the engines' addresses, because an agent that has just begun to lead doesn't know their
// ranks. The lock must be held.
func (l *lead) readSilentEngines(ctx context.Context, now time.Time) {
	if len(l.machine.StaleRanks(now)) == 0 {
		return
	}
	reporting := make(map[netip.AddrPort]bool, len(l.engines))
	for r, engine := range l.engines {
		reporting[engine] = now.Sub(l.reportedAt[r]) <= btrelay.DirectReadInterval
	}
	silent := slices.DeleteFunc(l.agent.directory.engines(l.machine.Group()), func(e netip.AddrPort) bool { return reporting[e] })
	for _, engine := range l.directReader.Due(now, silent) {
		go l.readDirectly(ctx, engine)
	}
}

// readDirectly reads the state of an engine on another host.
func (l *lead) readDirectly(ctx context.Context, engine netip.AddrPort) {
	remote := l.remoteEngine(engine)
	s, err := readState(ctx, remote)
	if err != nil {
		l.options.Meter.Counter("remote_reports_failed").Inc(1)
		return
	}
	if l.handleDirectState(engine, s) {
		l.readHeldDirectly(ctx, remote, s.Rank)
	}
}

// handleDirectState processes the state of an engine whose agent is silent, and reports
// whether it isn't known what the rank holds.
func (l *lead) handleDirectState(engine netip.AddrPort, s btround.State) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.machine.HandleReport(l.options.Clock(), s, 0)
	if s.Group != l.machine.Group() || s.Epoch != l.machine.Epoch() {
		return false
	}
	l.engines[s.Rank] = engine
	return l.planner.needsHeld(s.Rank, s.Map)
}

// readHeldDirectly reads from a rank's engine which experts it holds.
func (l *lead) readHeldDirectly(ctx context.Context, remote Engine, r btexpert.Rank) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	h, err := remote.Held(ctx)
	if err != nil {
		l.options.Meter.Counter("remote_reports_failed").Inc(1)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if h.Epoch == l.machine.Epoch() {
		l.planner.setHeld(r, h)
	}
}

// remoteEngine returns a client of an engine on another host.
func (l *lead) remoteEngine(engine netip.AddrPort) Engine {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, found := l.remoteEngines[engine]
	if !found {
		e = l.options.Remote(engine)
		l.remoteEngines[engine] = e
	}
	return e
}
