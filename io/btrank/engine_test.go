package btrank_test

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btround"
	"bilberrytide/io/btrank"
)

// stubEngine is an engine that stays in one state and accepts every order.
type stubEngine struct {
	btrank.Engine
	state btround.State
}

func (s stubEngine) Report(context.Context) (btround.State, error) { return s.state, nil }

func (s stubEngine) Order(context.Context, btround.Command) (btrank.OrderAnswer, error) {
	return btrank.OrderDone, nil
}

// TestAcceptedOrderChangesOnlyWhatItNames guards against a lead that believes a rank to be
// disarmed or released while it is armed for another version or holds another step.
// Engines accept an order for the wrong version or step without effect.
func TestAcceptedOrderChangesOnlyWhatItNames(t *testing.T) {
	state := btround.State{Size: 2, Epoch: 1, Step: 4, Armed: 9, ArmedStep: 6, Held: true, HeldStep: 6}
	for _, c := range []btround.Command{
		{Kind: btround.Disarm, Epoch: 1, Version: 8, Force: true},
		{Kind: btround.Release, Epoch: 1, Step: 5, Force: true},
	} {
		got := btrank.CarryOut(context.Background(), stubEngine{state: state}, c).State
		assert.Equal(t, got.Armed, btround.Version(9), "%s", c.Kind)
		assert.Assert(t, got.Held, "%s", c.Kind)
	}
}
