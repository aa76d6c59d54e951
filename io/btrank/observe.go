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

// refusalsEvery bounds the lines on refused orders: one a second for each kind.
const refusalsEvery = time.Second

// observer counts the orders that engines refuse, and logs the first of each kind and
// then at most one a second. It is safe for concurrent use.
type observer struct {
	meter *btmetric.Meter
	log   *slog.Logger
	clock btloop.Clock

	mu   sync.Mutex
	seen map[btround.Kind]refusals
}

// refusals are those of one kind.
type refusals struct {
	// logged is when a line was written, unlogged counts the refusals since.
	logged   time.Time
	unlogged int
}

func newObserver(o Options) *observer {
	return &observer{meter: o.Meter, log: o.Log, clock: o.Clock, seen: make(map[btround.Kind]refusals)}
}

// refused notes an order that an engine has refused.
func (o *observer) refused(c btround.Command, answer OrderAnswer, err error) {
	o.meter.Counter("orders_" + string(answer) + "." + string(c.Kind)).Inc(1)
	now := o.clock()
	o.mu.Lock()
	defer o.mu.Unlock()
	r := o.seen[c.Kind]
	if !r.logged.IsZero() && now.Sub(r.logged) < refusalsEvery {
		r.unlogged++
		o.seen[c.Kind] = r
		return
	}
	o.log.Info("order refused", "kind", c.Kind, "answer", answer, "rank", c.Rank, "version", c.Version, "step", c.Step, "ballot", c.Ballot, "epoch", c.Epoch, "unlogged", r.unlogged, "error", err)
	o.seen[c.Kind] = refusals{logged: now}
}

// observedEngine is an engine whose refusals are observed.
type observedEngine struct {
	Engine
	observer *observer
}

// Order gives the engine an order.
func (e observedEngine) Order(ctx context.Context, c btround.Command) (OrderAnswer, error) {
	answer, err := e.Engine.Order(ctx, c)
	if answer == OrderRefused || answer == OrderFenced {
		e.observer.refused(c, answer, err)
	}
	return answer, err
}
