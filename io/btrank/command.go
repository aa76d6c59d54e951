package btrank

import (
	"context"

	"bilberrytide/core/btround"
)

// handleInstruction carries out a lead's instruction. It returns errBaseUnknown if the
// agent lacks the map that the instruction refers to.
func (a *Agent) handleInstruction(ctx context.Context, i Instruction) (btround.Result, error) {
	c := i.Command
	if c.Kind == btround.Prepare && len(c.Layers) == 0 {
		layers, found := a.applyChanges(i)
		if !found {
			return btround.Result{}, errBaseUnknown
		}
		c.Layers = layers
	}
	if c.Kind == btround.Prepare {
		a.cacheMap(c.Version, c.Layers)
	}
	return a.runCommand(ctx, c)
}

// runCommand carries out a lead's command at the own engine, or updates the agent's record.
func (a *Agent) runCommand(ctx context.Context, c btround.Command) (btround.Result, error) {
	if promised, accepted := a.accept(c); !accepted {
		return btround.Result{Round: c.Round, Kind: c.Kind, Verdict: btround.Outranked, Ballot: promised, State: a.ownState()}, nil
	}
	if c.Kind == btround.StoreRecord || c.Kind == btround.Commit {
		return a.updateRecord(ctx, c), nil
	}
	result := carryOut(ctx, a.options.Engine, c)
	result.State.Reader = a.reader
	result.State.ReadCount = a.readCount.Add(1)
	a.mu.Lock()
	a.acceptor.RaisePromise(result.Ballot)
	result.Record = a.acceptor.Record()
	a.mu.Unlock()
	if c.Kind == btround.Arm && result.Verdict == btround.Reached {
		a.awaitSwitch(c.Version)
	}
	if result.Verdict != btround.Reached {
		a.log.Info("command not carried out", "kind", c.Kind, "verdict", result.Verdict, "version", c.Version, "step", c.Step, "ballot", c.Ballot)
	}
	return result, nil
}

// accept reports whether a command may be carried out, and returns the promised ballot.
func (a *Agent) accept(c btround.Command) (btround.Ballot, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	accepted := a.acceptor.Accept(c)
	return a.acceptor.Promised(), accepted
}

// updateRecord stores or commits the record of a round. The answer to StoreRecord has a
// state that was just read, since the lead chooses the step to hold by it.
func (a *Agent) updateRecord(ctx context.Context, c btround.Command) btround.Result {
	result := btround.Result{Round: c.Round, Kind: c.Kind, Ballot: c.Ballot, State: a.ownState()}
	if c.Kind == btround.StoreRecord && a.updateState(ctx) {
		result.State = a.ownState()
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
