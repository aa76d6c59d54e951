package btrank

import (
	"context"

	"bilberrytide/core/btround"
)

// instruct carries a lead's instruction out.
func (a *Agent) instruct(ctx context.Context, i Instruction) (btround.Result, error) {
	c := i.Command
	if c.Kind == btround.Prepare && len(c.Layers) == 0 {
		layers, found := a.changed(i)
		if !found {
			return btround.Result{}, errBase
		}
		c.Layers = layers
	}
	if c.Kind == btround.Prepare {
		a.remember(c.Version, c.Layers)
	}
	return a.command(ctx, c)
}

// command carries a lead's command out at the own engine.
func (a *Agent) command(ctx context.Context, c btround.Command) (btround.Result, error) {
	if heard, accepted := a.accept(c); !accepted {
		return btround.Result{Round: c.Round, Kind: c.Kind, Verdict: btround.Outranked, Ballot: heard, State: a.own()}, nil
	}
	if c.Kind == btround.StoreRecord || c.Kind == btround.Commit {
		return a.note(ctx, c), nil
	}
	result := carryOut(ctx, a.options.Engine, c)
	result.State.Reader = a.reader
	result.State.ReadCount = a.readings.Add(1)
	a.mu.Lock()
	a.acceptor.RaisePromise(result.Ballot)
	result.Record = a.acceptor.Record()
	a.mu.Unlock()
	if c.Kind == btround.Arm && result.Verdict == btround.Reached {
		a.expect(c.Version)
	}
	if result.Verdict != btround.Reached {
		a.log.Info("command not carried out", "kind", c.Kind, "verdict", result.Verdict, "version", c.Version, "step", c.Step, "ballot", c.Ballot)
	}
	return result, nil
}

// accept tells whether a command's lead is not outranked, and the highest ballot
// heard.
func (a *Agent) accept(c btround.Command) (btround.Ballot, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	accepted := a.acceptor.Accept(c)
	return a.acceptor.Promised(), accepted
}

// note keeps or commits the record of a round, and answers with the engine's
// state of now, by whose step the lead chooses the one to hold.
func (a *Agent) note(ctx context.Context, c btround.Command) btround.Result {
	result := btround.Result{Round: c.Round, Kind: c.Kind, Ballot: c.Ballot, State: a.own()}
	if c.Kind == btround.StoreRecord && a.read(ctx) {
		result.State = a.own()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.Ballot < a.acceptor.Promised() {
		result.Verdict = btround.Outranked
		result.Ballot = a.acceptor.Promised()
		return result
	}
	result.Verdict = a.acceptor.UpdateRecord(c)
	a.log.Info("round recorded", "kind", c.Kind, "verdict", result.Verdict, "lead", c.Lead, "version", c.Version, "ballot", c.Ballot)
	return result
}
