package btrank_test

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btround"
	"bilberrytide/io/btrank"
)

// scripted is an engine in one state that accepts every order.
type scripted struct {
	btrank.Engine
	state btround.State
}

func (s scripted) Report(context.Context) (btround.State, error) { return s.state, nil }

func (s scripted) Order(context.Context, btround.Command) (btrank.OrderAnswer, error) {
	return btrank.OrderDone, nil
}

// TestAnAcceptedOrderChangesOnlyWhatItNames guards against a lead that takes a rank for
// disarmed, or released, which is armed for another version or holds another step:
// engines accept such an order without effect.
func TestAnAcceptedOrderChangesOnlyWhatItNames(t *testing.T) {
	state := btround.State{Size: 2, Epoch: 1, Step: 4, Armed: 9, ArmedStep: 6, Held: true, HeldStep: 6}
	for _, c := range []btround.Command{
		{Kind: btround.Disarm, Epoch: 1, Version: 8, Force: true},
		{Kind: btround.Release, Epoch: 1, Step: 5, Force: true},
	} {
		got := btrank.CarryOut(context.Background(), scripted{state: state}, c).State
		assert.Equal(t, got.Armed, btround.Version(9), "%s", c.Kind)
		assert.Assert(t, got.Held, "%s", c.Kind)
	}
}
