package btrank

import (
	"context"
	"errors"
	"net/netip"

	"bilberrytide/core/btexpert"
	"bilberrytide/core/btround"
	"bilberrytide/io/btcall"
)

// sendCommand sends a command to a rank's agent, or orders the engine directly if the
// agent is silent or can't be reached.
func (l *lead) sendCommand(ctx context.Context, c btround.Command, engine netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	defer l.commandDone(c)
	var result btround.Result
	var err error
	switch {
	case c.Direct && engine.IsValid():
		result = l.orderDirectly(ctx, c, engine)
	case engine == l.options.Settings.Engine:
		result, err = l.agent.runCommand(ctx, c)
	case !engine.IsValid():
		return
	case l.agentSilent(c.Rank):
		result = carryOut(ctx, l.remoteEngine(engine), c)
	default:
		to := agentOf(engine, l.options.Address.Port())
		result, err = btcall.Call[btround.Result](ctx, l.calls, to, pathCommand, l.instruction(c))
		l.handleRejection(c, err)
		if errors.Is(err, btcall.ErrNotReached) {
			l.log.Info("engine ordered directly", "engine", engine, "kind", c.Kind, "error", err)
			result = carryOut(ctx, l.remoteEngine(engine), c)
			err = nil
		}
	}
	if err != nil {
		l.log.Info("command unanswered", "engine", engine, "kind", c.Kind, "round", c.Round, "error", err)
		l.wake()
		return
	}
	if result.State.Validate() != nil {
		return
	}
	l.mu.Lock()
	l.handleResult(c, result)
	l.mu.Unlock()
	l.wake()
}

// orderDirectly sends an order to the engine on another host without its agent. A read
// from afar returns an old state, so the state is inferred from the order's answer, or
// requested from the agent after a refusal.
func (l *lead) orderDirectly(ctx context.Context, c btround.Command, engine netip.AddrPort) btround.Result {
	result := btround.Result{Round: c.Round, Kind: c.Kind, Verdict: btround.Pending, Ballot: c.Ballot}
	ctx, cancel := context.WithTimeout(ctx, workTimeout)
	defer cancel()
	x := &execution{engine: l.remoteEngine(engine), command: c}
	for ctx.Err() == nil {
		s := l.stateOf(c.Rank)
		switch sendOrder(ctx, x.engine, c) {
		case OrderBegun, OrderDone:
			x.handleAccepted(s, &result)
			return result
		case OrderFenced:
			result.State = s
			result.Verdict = btround.Outranked
			result.Ballot, result.Fenced = c.Ballot.Next(0, 0), true
			return result
		case OrderRefused:
			return l.readAfterRefusal(ctx, c, engine)
		}
	}
	return result
}

// readAfterRefusal asks a rank's agent for the state in which the engine refused an order.
func (l *lead) readAfterRefusal(ctx context.Context, c btround.Command, engine netip.AddrPort) btround.Result {
	read := c
	read.Kind = btround.ReadState
	read.Direct = false
	to := agentOf(engine, l.options.Address.Port())
	result, err := btcall.Call[btround.Result](ctx, l.calls, to, pathCommand, Instruction{Command: read})
	if err != nil {
		l.log.Info("command unanswered", "engine", engine, "kind", read.Kind, "round", c.Round, "error", err)
		result = btround.Result{Round: c.Round, Ballot: c.Ballot, State: l.stateOf(c.Rank)}
	}
	result.Kind = c.Kind
	if result.Verdict == btround.Outranked {
		return result
	}
	result.Verdict = btround.Refused
	if c.Satisfied(result.State) {
		result.Verdict = btround.Reached
	}
	return result
}

// stateOf returns the last known state of a rank.
func (l *lead) stateOf(r btexpert.Rank) btround.State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.State(r)
}

// instruction returns a command as it is sent to its rank.
func (l *lead) instruction(c btround.Command) Instruction {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.planner.instruction(c, l.formOf(c))
}

// handleRejection has the whole map sent to a rank whose agent answered a Prepare with an
// error, as it does if it lacks the map that the command refers to.
func (l *lead) handleRejection(c btround.Command, err error) {
	if c.Kind != btround.Prepare || !errors.Is(err, btcall.ErrStatus) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.clearSending(c)
	if !l.wholeNeeded[c.Rank] {
		l.noteMissingBase(c)
	}
}

// commandDone records that a command is no longer being sent.
func (l *lead) commandDone(c btround.Command) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.clearSending(c)
}

// agentSilent reports whether a rank's agent hasn't reported for silenceTimeout.
func (l *lead) agentSilent(r btexpert.Rank) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.options.Clock().Sub(l.reportedAt[r]) > silenceTimeout
}
