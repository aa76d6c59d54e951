package btagent

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"bilberrytide/core/btbundle"
	"bilberrytide/core/btid"
	"bilberrytide/core/btload"
	"bilberrytide/core/btrequest"
	"bilberrytide/io/btmetric"
	"bilberrytide/io/bttarget"
)

const (
	// enginePoll is the interval at which the engine is asked for its load and
	// its cache events.
	enginePoll = 500 * time.Millisecond
	// engineWait bounds one question to the engine.
	engineWait = time.Second
	// engineStale is the age from which a load of the engine is not passed on.
	engineStale = 3 * time.Second
	// engineRefusals is how many refused connections in a row say that the
	// engine is gone.
	engineRefusals = 3
	// cachePending bounds the cache events that wait for entries.
	cachePending = 256
	// cacheRate and cacheBurst bound the events sent to each entry: 8 a second
	// of at most 23 bytes each keep the eight watchers' copies under 1.5 KB/s.
	cacheRate  = 8
	cacheBurst = 128

	reasonEngineSilent btrequest.Reason = "engine_silent"
	reasonEngineGone   btrequest.Reason = "engine_refused_connection"
	reasonCacheGap     btrequest.Reason = "engine_cache_events_lost"
)

// engine follows the own word of a model target: its load, its cache events,
// and whether it is there at all.
type engine struct {
	options Options
	client  func() (*bttarget.Client, bool)
	publish func(btload.CacheEvents)
	// changed is called when the engine goes or comes back.
	changed func()
	outbox  *btload.Outbox
	allowed *rate.Limiter
	// sequence is the engine's number of the last event taken.
	sequence uint64
	// restarted has an empty batch sent, which tells of an empty cache.
	restarted bool
	// last is the client asked last.
	last *bttarget.Client

	mu       sync.Mutex
	load     bttarget.Load
	sampled  time.Time
	refusals int
}

func newEngine(o Options, self btid.Executor, client func() (*bttarget.Client, bool), publish func(btload.CacheEvents), changed func()) *engine {
	return &engine{
		options: o,
		client:  client,
		publish: publish,
		changed: changed,
		outbox:  btload.NewOutbox(self.Target, uint64(self.Incarnation), cachePending),
		allowed: rate.NewLimiter(cacheRate, cacheBurst),
	}
}

// run asks the engine at each interval until the context ends.
func (e *engine) run(ctx context.Context) {
	for ctx.Err() == nil {
		if client, model := e.client(); model {
			e.follow(client)
			e.poll(ctx, client)
		}
		pause(ctx, enginePoll)
	}
}

// follow begins anew where the bundle has moved the target's endpoint.
func (e *engine) follow(client *bttarget.Client) {
	if e.last != nil && e.last != client {
		e.restart()
	}
	e.last = client
}

func (e *engine) restart() {
	e.sequence = 0
	e.outbox.Reset()
	e.restarted = true
}

func (e *engine) poll(ctx context.Context, client *bttarget.Client) {
	ctx, cancel := context.WithTimeout(ctx, engineWait)
	defer cancel()
	load, err := client.Load(ctx)
	if err != nil {
		e.failed(err)
		return
	}
	e.answered(load)
	events, err := client.CacheEvents(ctx, e.sequence)
	if err != nil {
		e.options.Meter.Refused(reasonEngineSilent)
		return
	}
	e.take(events)
}

// failed counts refused connections. An engine that is slow to answer may yet
// be at work, and is for ejection to judge.
func (e *engine) failed(err error) {
	if !errors.Is(err, bttarget.ErrNotSent) {
		e.options.Meter.Refused(reasonEngineSilent)
		return
	}
	e.options.Meter.Refused(reasonEngineGone)
	e.mu.Lock()
	e.refusals++
	went := e.refusals == engineRefusals
	e.mu.Unlock()
	if !went {
		return
	}
	e.decide("engine_gone", fmt.Sprintf("%d connections refused in a row: %v", engineRefusals, err), "entries send it no new work until it answers again")
	e.changed()
}

// answered takes a load. An engine whose count of steps has fallen has
// restarted, and its cache is empty.
func (e *engine) answered(load bttarget.Load) {
	e.mu.Lock()
	returned := e.refusals >= engineRefusals
	restarted := e.refusals > 0 || load.Steps < e.load.Steps
	e.load = load
	e.sampled = e.options.Clock()
	e.refusals = 0
	e.mu.Unlock()
	if restarted {
		e.restart()
	}
	if returned {
		e.decide("engine_back", "it answers again", "entries send it work")
		e.changed()
	}
}

// take passes on what the rate allows.
func (e *engine) take(events []bttarget.CacheEvent) {
	for _, event := range events {
		if event.Sequence <= e.sequence {
			continue
		}
		if lost := event.Sequence - e.sequence - 1; lost > 0 && e.sequence > 0 {
			e.options.Meter.Refused(reasonCacheGap)
			e.outbox.MarkLost(lost)
		}
		e.sequence = event.Sequence
		e.outbox.Add(opOf(event.Op), btload.EnginePrefixHash(event.Prefix))
	}
	now := e.options.Clock()
	count := min(e.outbox.Len(), int(e.allowed.TokensAt(now)))
	if count == 0 && !e.restarted {
		return
	}
	e.allowed.AllowN(now, count)
	e.restarted = false
	e.publish(e.outbox.Take(count))
}

func opOf(op bttarget.CacheOp) btload.CacheOp {
	if op == bttarget.Stored {
		return btload.Stored
	}
	return btload.Evicted
}

// fill adds what only the engine knows. The counts of requests stay the
// queue's: the agent is the only way to the engine, so it knows them without
// the engine's lag, and the report's age stays that of the queue. An engine
// load that is too old is left out.
func (e *engine) fill(report *btload.Report) {
	e.mu.Lock()
	defer e.mu.Unlock()
	report.Draining = report.Draining || e.refusals >= engineRefusals
	if e.sampled.IsZero() || e.options.Clock().Sub(e.sampled) > engineStale {
		return
	}
	report.KVUsed = e.load.KVUsed
	if report.StepTime == 0 {
		report.StepTime = e.load.StepTime()
	}
}

func (e *engine) decide(act, evidence, expected string) {
	e.options.Decisions.Add(btmetric.Decision{
		Time:     e.options.Clock(),
		Act:      act,
		Subject:  "target " + string(e.options.Target),
		Cause:    "the agent asks its engine for its load twice a second",
		Evidence: evidence,
		Expected: expected,
	})
}

// modelClient returns the client of a model target, false for other kinds and
// before the first bundle.
func (a *Agent) modelClient() (*bttarget.Client, bool) {
	a.mu.Lock()
	client, service := a.client, a.service
	a.mu.Unlock()
	current := a.options.Bundles.Current()
	if client == nil || current == nil {
		return nil, false
	}
	s, found := current.Index.Service(service)
	return client, found && s.Kind == btbundle.Model
}
