package btrank

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"bilberrytide/core/btround"
	"bilberrytide/io/btloop"
	"bilberrytide/io/btmetric"
)

// refusalLogInterval is the minimum interval between log lines about refused orders of one
// kind.
const refusalLogInterval = time.Second

// refusalLogger counts the orders that engines refuse, and logs the first of each kind and
// then at most one a second. It is safe for concurrent use.
type refusalLogger struct {
	meter *btmetric.Meter
	log   *slog.Logger
	clock btloop.Clock

	mu     sync.Mutex
	byKind map[btround.Kind]refusalStats
}

// refusalStats describes the refused orders of one kind.
type refusalStats struct {
	// loggedAt is when one was last logged, unlogged counts the refusals since.
	loggedAt time.Time
	unlogged int
}

func newRefusalLogger(o Options) *refusalLogger {
	return &refusalLogger{meter: o.Meter, log: o.Log, clock: o.Clock, byKind: make(map[btround.Kind]refusalStats)}
}

// record counts and may log an order that an engine has refused.
func (l *refusalLogger) record(c btround.Command, answer OrderAnswer, err error) {
	l.meter.Counter("orders_" + string(answer) + "." + string(c.Kind)).Inc(1)
	now := l.clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.byKind[c.Kind]
	if !r.loggedAt.IsZero() && now.Sub(r.loggedAt) < refusalLogInterval {
		r.unlogged++
		l.byKind[c.Kind] = r
		return
	}
	l.log.Info("order refused", "kind", c.Kind, "answer", answer, "rank", c.Rank, "version", c.Version, "step", c.Step, "ballot", c.Ballot, "epoch", c.Epoch, "unlogged", r.unlogged, "error", err)
	l.byKind[c.Kind] = refusalStats{loggedAt: now}
}

// loggedEngine is an engine whose refusals are counted and logged.
type loggedEngine struct {
	Engine
	refusals *refusalLogger
}

// Order sends the engine an order.
func (e loggedEngine) Order(ctx context.Context, c btround.Command) (OrderAnswer, error) {
	answer, err := e.Engine.Order(ctx, c)
	if answer == OrderRefused || answer == OrderFenced {
		e.refusals.record(c, answer, err)
	}
	return answer, err
}
