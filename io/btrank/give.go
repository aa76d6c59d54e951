package btrank

import (
	"context"
	"errors"
	"net/netip"

	"bilberrytide/core/btexpert"
	"bilberrytide/core/btround"
	"bilberrytide/io/btcall"
)

// give gives a command to a rank's agent, or to the engine where the agent
// can't be reached.
func (l *lead) give(ctx context.Context, c btround.Command, engine netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, commandTime)
	defer cancel()
	defer l.done(c)
	var result btround.Result
	var err error
	switch {
	case c.Direct && engine.IsValid():
		result = l.direct(ctx, c, engine)
	case engine == l.options.Settings.Engine:
		result, err = l.agent.command(ctx, c)
	case !engine.IsValid():
		return
	case l.away(c.Rank):
		result = carryOut(ctx, l.remote(engine), c)
	default:
		to := agentOf(engine, l.options.Address.Port())
		result, err = btcall.Call[btround.Result](ctx, l.calls, to, pathCommand, l.instruction(c))
		l.lacks(c, err)
		if errors.Is(err, btcall.ErrNotReached) {
			l.log.Info("engine ordered directly", "engine", engine, "kind", c.Kind, "error", err)
			result = carryOut(ctx, l.remote(engine), c)
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
	l.answered(c, result)
	l.mu.Unlock()
	l.wake()
}

// direct orders another host's engine. What its reports tell from afar is old, so
// its state is taken from the order's answer, and after a refusal from its agent.
func (l *lead) direct(ctx context.Context, c btround.Command, engine netip.AddrPort) btround.Result {
	result := btround.Result{Round: c.Round, Kind: c.Kind, Verdict: btround.Pending, Ballot: c.Ballot}
	ctx, cancel := context.WithTimeout(ctx, workTime)
	defer cancel()
	w := &work{engine: l.remote(engine), command: c}
	for ctx.Err() == nil {
		s := l.stateOf(c.Rank)
		switch order(ctx, w.engine, c) {
		case OrderBegun, OrderDone:
			w.accepted(s, &result)
			return result
		case OrderFenced:
			result.State = s
			result.Verdict = btround.Outranked
			result.Ballot = c.Ballot.Next(0, 0)
			return result
		case OrderRefused:
			return l.lookAfterRefusal(ctx, c, engine)
		}
	}
	return result
}

// lookAfterRefusal reads the state that an engine's refusal is due to.
func (l *lead) lookAfterRefusal(ctx context.Context, c btround.Command, engine netip.AddrPort) btround.Result {
	look := c
	look.Kind = btround.ReadState
	look.Direct = false
	to := agentOf(engine, l.options.Address.Port())
	result, err := btcall.Call[btround.Result](ctx, l.calls, to, pathCommand, Instruction{Command: look})
	if err != nil {
		l.log.Info("command unanswered", "engine", engine, "kind", look.Kind, "round", c.Round, "error", err)
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

// instruction returns a command as it travels to its rank.
func (l *lead) instruction(c btround.Command) Instruction {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.planner.instruction(c, l.form(c))
}

// lacks notes that a rank could not follow a command as it lacks the map that its
// changes refer to.
func (l *lead) lacks(c btround.Command, err error) {
	if c.Kind != btround.Prepare || !errors.Is(err, btcall.ErrStatus) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent(c)
	if !l.whole[c.Rank] {
		l.refused(c)
	}
}

// done notes that a command is no longer on its way.
func (l *lead) done(c btround.Command) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent(c)
}

// away tells whether a rank's agent hasn't reported of late.
func (l *lead) away(r btexpert.Rank) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.options.Clock().Sub(l.at[r]) > leadFor
}
