package btrank_test

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btnotice"
	"bilberrytide/core/btround"
	"bilberrytide/io/btmetric"
	"bilberrytide/io/btrank"
)

// sheddingEngine refuses every call and asks for a rest.
type sheddingEngine struct {
	btrank.Engine
	notify func(int, btnotice.Notice)
	calls  int
}

func (s *sheddingEngine) OnNotice(notify func(int, btnotice.Notice)) { s.notify = notify }

func (s *sheddingEngine) Report(context.Context) (btround.State, error) {
	s.calls++
	s.notify(503, btnotice.Notice{Rest: time.Second})
	return btround.State{}, context.DeadlineExceeded
}

// Guards against an agent that goes on reading the state of an engine, or sends it orders,
// after the engine has asked it for rest.
func TestRestingEngineGetsNoCalls(t *testing.T) {
	now := time.Unix(1000, 0)
	shedding := &sheddingEngine{}
	e := btrank.NewNoticedEngine(shedding, btrank.Options{Clock: func() time.Time { return now }, Log: slog.New(slog.DiscardHandler), Meter: btmetric.New(nil)})
	ctx := context.Background()
	_, err := e.Report(ctx)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	for range 3 {
		now = now.Add(300 * time.Millisecond)
		_, err = e.Report(ctx)
		assert.ErrorIs(t, err, btrank.ErrResting)
		answer, err := e.Order(ctx, btround.Command{Kind: btround.Hold})
		assert.ErrorIs(t, err, btrank.ErrResting)
		assert.Equal(t, answer, btrank.OrderAnswer(""))
	}
	assert.Equal(t, shedding.calls, 1)
	now = now.Add(100 * time.Millisecond)
	_, err = e.Report(ctx)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	assert.Equal(t, shedding.calls, 2)
}
