package btrank_test

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btround"
	"bilberrytide/io/btmetric"
	"bilberrytide/io/btrank"
)

// refusingEngine is an engine that refuses every order.
type refusingEngine struct{ btrank.Engine }

func (refusingEngine) Order(context.Context, btround.Command) (btrank.OrderAnswer, error) {
	return btrank.OrderRefused, btround.ErrMessage
}

// TestRefusedOrdersAreCountedAndLogged guards against a loop of refused orders that isn't
// logged, and against one that fills the log.
func TestRefusedOrdersAreCountedAndLogged(t *testing.T) {
	var lines bytes.Buffer
	now := time.Unix(1000, 0)
	meter := btmetric.New(nil)
	engine := btrank.LogRefusals(btrank.Options{
		Meter: meter,
		Log:   slog.New(slog.NewTextHandler(&lines, nil)),
		Clock: func() time.Time { return now },
	}, refusingEngine{})
	order := func(k btround.Kind) {
		answer, err := engine.Order(context.Background(), btround.Command{Kind: k, Step: 7})
		assert.Equal(t, answer, btrank.OrderRefused)
		assert.ErrorIs(t, err, btround.ErrMessage)
	}
	for range 200 {
		order(btround.Hold)
		now = now.Add(4 * time.Millisecond)
	}
	order(btround.Arm)
	now = now.Add(time.Second)
	order(btround.Hold)
	assert.Equal(t, meter.Counter("orders_refused.hold").Count(), int64(201))
	assert.Equal(t, strings.Count(lines.String(), "order refused"), 3, "%s", lines.String())
	assert.Assert(t, strings.Contains(lines.String(), "unlogged=199"), "%s", lines.String())
}
