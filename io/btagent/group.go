package btagent

import (
	"context"
	"math/rand/v2"
	"time"

	"bilberrytide/core/btid"
	"bilberrytide/core/btnotice"
	"bilberrytide/io/btgroup"
)

// groupReleaseTimeout limits how long a planned stop waits for a round that holds the
// rank's engine.
const groupReleaseTimeout = 5 * time.Second

// newGroup returns the agent's side of the agreement on its group's expert map.
func newGroup(o Options, self btid.Executor, onNotice func(int, btnotice.Notice)) *btgroup.Group {
	options := btgroup.Options{
		Self:      self,
		Node:      o.Node,
		Meter:     o.Meter,
		Decisions: o.Decisions,
		Log:       o.Log,
		Clock:     o.Clock,
		Assert:    o.Assert,
		OnNotice:  onNotice,
		Random:    rand.New(rand.NewPCG(o.Random.Uint64(), o.Random.Uint64())),
	}
	if o.Platform != nil {
		options.Store = btgroup.NewPlatformStore(o.Platform)
	}
	return btgroup.New(options)
}

// awaitGroupRelease waits, for a limited time, until no round holds the rank's engine.
func (a *Agent) awaitGroupRelease(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, groupReleaseTimeout)
	defer cancel()
	a.group.AwaitRelease(ctx)
}
