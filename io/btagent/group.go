package btagent

import (
	"context"
	"math/rand/v2"
	"time"

	"bilberrytide/core/btid"
	"bilberrytide/io/btgroup"
)

// settleWait bounds how long a planned stop waits for a round that holds the
// rank's engine.
const settleWait = 5 * time.Second

// newGroup returns this agent's part in its target's group.
func newGroup(o Options, self btid.Executor) *btgroup.Group {
	options := btgroup.Options{
		Self:      self,
		Node:      o.Node,
		Meter:     o.Meter,
		Decisions: o.Decisions,
		Log:       o.Log,
		Clock:     o.Clock,
		Assert:    o.Assert,
		Random:    rand.New(rand.NewPCG(o.Random.Uint64(), o.Random.Uint64())),
	}
	if o.Platform != nil {
		options.Store = btgroup.NewPlatformStore(o.Platform)
	}
	return btgroup.New(options)
}

// settleGroup lets a round that holds the rank's engine end before the agent
// does.
func (a *Agent) settleGroup(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, settleWait)
	defer cancel()
	a.group.AwaitRelease(ctx)
}
