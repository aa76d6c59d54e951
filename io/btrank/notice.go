package btrank

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"bilberrytide/core/btnotice"
	"bilberrytide/core/btround"
	"bilberrytide/io/btloop"
	"bilberrytide/io/btmetric"
)

// ErrResting means that a call was not sent because the engine has asked for rest.
var ErrResting = errors.New("engine has asked for rest")

// metricCallsWithheld counts the calls that were not sent because the engine rests.
const metricCallsWithheld = "engine_rests.withheld"

// noticedEngine withholds calls while the engine rests. Only answers to such calls count:
// a rest that an engine asks of a host that sends it requests leaves the group's rounds
// alone.
type noticedEngine struct {
	Engine
	clock btloop.Clock
	log   *slog.Logger
	meter *btmetric.Meter

	mu        sync.Mutex
	restEnd   time.Time
	leaving   bool
	malformed bool
}

func newNoticedEngine(e Engine, o Options) *noticedEngine {
	n := &noticedEngine{Engine: e, clock: o.Clock, log: o.Log, meter: o.Meter}
	e.OnNotice(n.observe)
	return n
}

// observe records a notice. A departure changes nothing here, as the rank takes part in its
// group's rounds until it ends.
func (e *noticedEngine) observe(status int, n btnotice.Notice) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock()
	if end := now.Add(n.Rest); n.Rest > 0 && end.After(e.restEnd) {
		e.restEnd = end
		e.log.Info("engine rests", "status", status, "for_ms", n.Rest.Milliseconds())
	}
	if n.Leaving && !e.leaving {
		e.leaving = true
		e.log.Info("engine leaving", "status", status)
	}
	if n.Malformed != "" && !e.malformed {
		e.malformed = true
		e.log.Warn("engine rest refused", "status", status, "value", n.Malformed)
	}
}

// checkRest returns an error that wraps ErrResting while the engine rests.
func (e *noticedEngine) checkRest() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if left := e.restEnd.Sub(e.clock()); left > 0 {
		e.meter.Counter(metricCallsWithheld).Inc(1)
		return fmt.Errorf("%w for %s more", ErrResting, left)
	}
	return nil
}

// Report reads the engine's state.
func (e *noticedEngine) Report(ctx context.Context) (btround.State, error) {
	if err := e.checkRest(); err != nil {
		return btround.State{}, err
	}
	return e.Engine.Report(ctx)
}

// Counts reads the engine's expert counts.
func (e *noticedEngine) Counts(ctx context.Context) (Counts, error) {
	if err := e.checkRest(); err != nil {
		return Counts{}, err
	}
	return e.Engine.Counts(ctx)
}

// Held reads the experts that the rank holds.
func (e *noticedEngine) Held(ctx context.Context) (Held, error) {
	if err := e.checkRest(); err != nil {
		return Held{}, err
	}
	return e.Engine.Held(ctx)
}

// Order sends the command's order.
func (e *noticedEngine) Order(ctx context.Context, c btround.Command) (OrderAnswer, error) {
	if err := e.checkRest(); err != nil {
		return "", err
	}
	return e.Engine.Order(ctx, c)
}
