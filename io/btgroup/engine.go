package btgroup

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"bilberrytide/core/btbundle"
	"bilberrytide/core/btswitch"
	"bilberrytide/io/bttarget"
)

// Engine is the client of this rank's engine.
type Engine interface {
	// Order gives an order, once.
	Order(ctx context.Context, o bttarget.Order) error
	// Group reads the state of the engine's rank in its group.
	Group(ctx context.Context) (bttarget.GroupState, error)
	// GroupMap reads the map in use, encoded as in its order; nil if there is none.
	GroupMap(ctx context.Context) ([]byte, error)
}

var _ Engine = (*bttarget.Client)(nil)

// executeOrder gives the engine an order and returns the outcome.
func executeOrder(ctx context.Context, e Engine, o btswitch.Order) btswitch.MemberEvent {
	err := e.Order(ctx, bttarget.Order{
		Fencing: o.Fencing,
		Op:      bttarget.Op(o.Op),
		Version: o.Version.String(),
		Ranks:   o.Ranks,
		Map:     json.RawMessage(o.Map),
	})
	var fenced *bttarget.FencedError
	switch {
	case err == nil:
		return btswitch.OrderDone{Fencing: o.Fencing}
	case errors.As(err, &fenced):
		return btswitch.OrderRefused{Fencing: o.Fencing, LastFencing: fenced.Last}
	case errors.Is(err, bttarget.ErrRefused), errors.Is(err, bttarget.ErrNotSent), errors.Is(err, bttarget.ErrRequest):
		return btswitch.OrderRefused{Fencing: o.Fencing}
	}
	return btswitch.OrderFailed{Fencing: o.Fencing}
}

// stateOf converts the engine's state for the agreement.
func stateOf(g bttarget.GroupState) (btswitch.EngineState, error) {
	s := btswitch.EngineState{
		Held:     g.Held,
		Step:     g.Step,
		StepTime: stepTime(g),
		Fencing:  g.Fencing,
	}
	for _, v := range []struct {
		text string
		to   *btswitch.Version
	}{{g.MapVersion, &s.InForce}, {g.StagedVersion, &s.Staged}, {g.LoadingVersion, &s.Loading}} {
		if err := v.to.UnmarshalText([]byte(v.text)); err != nil {
			return btswitch.EngineState{}, err
		}
	}
	return s, nil
}

// stepTime returns the time of the group's step, or the rank's own part of it if the
// engine reports nothing else.
func stepTime(g bttarget.GroupState) time.Duration {
	if g.GroupStepMillis > 0 {
		return g.GroupStepTime()
	}
	return g.StepTime()
}

// readMap reads the map in use and checks that it is the one named.
func readMap(ctx context.Context, e Engine, digest btbundle.Digest) ([]byte, error) {
	encoded, err := e.GroupMap(ctx)
	if err != nil {
		return nil, err
	}
	if got := btbundle.DigestOf(encoded); got != digest {
		return nil, fmt.Errorf("%w: the engine gave map %s for %s", ErrMap, got, digest)
	}
	return encoded, nil
}
