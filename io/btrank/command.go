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
	a.mu.Lock()
	if c.Ballot < a.heard {
		result := btround.Result{Round: c.Round, Kind: c.Kind, Verdict: btround.Outranked, Ballot: a.heard, State: a.state}
		a.mu.Unlock()
		return result, nil
	}
	a.heard = c.Ballot
	a.mu.Unlock()
	result := carryOut(ctx, a.options.Engine, c)
	result.State.Reader = a.reader
	result.State.Reading = a.readings.Add(1)
	a.mu.Lock()
	a.heard = max(a.heard, result.Ballot)
	a.mu.Unlock()
	if c.Kind == btround.Arm && result.Verdict == btround.Reached {
		a.expect(c.Version)
	}
	if result.Verdict != btround.Reached {
		a.log.Info("command not carried out", "kind", c.Kind, "verdict", result.Verdict, "version", c.Version, "step", c.Step, "ballot", c.Ballot)
	}
	return result, nil
}
