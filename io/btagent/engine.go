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
	// enginePollInterval is how often the engine's load and cache events are fetched.
	enginePollInterval = 500 * time.Millisecond
	// engineTimeout limits one poll of the engine.
	engineTimeout = time.Second
	// maxEngineLoadAge is the age above which the engine's load is left out of reports.
	maxEngineLoadAge = 3 * time.Second
	// goneAfterRefusals is the number of consecutive refused connections after which
	// the engine counts as gone.
	goneAfterRefusals = 3
	// maxPendingCacheEvents limits the cache events that wait to be sent.
	maxPendingCacheEvents = 256
	// cacheRate, per second, and cacheBurst limit the events sent to each entry: 8 per
	// second, of at most 23 bytes each, keep the copies for eight watchers under
	// 1.5 KB/s.
	cacheRate  = 8
	cacheBurst = 128

	reasonEngineSilent btrequest.Reason = "engine_silent"
	reasonEngineGone   btrequest.Reason = "engine_refused_connection"
	reasonCacheGap     btrequest.Reason = "engine_cache_events_lost"
)

// engineMonitor polls the engine of a model target for its load and cache events, and
// detects that it is gone.
type engineMonitor struct {
	options Options
	client  func() (*bttarget.Client, bool)
	publish func(btload.CacheEvents)
	// changed is called when the engine goes or comes back.
	changed func()
	outbox  *btload.Outbox
	limiter *rate.Limiter
	// sequence is the engine's sequence number of the last event handled.
	sequence uint64
	// announceRestart is set until a batch has been sent after a restart. It causes an
	// empty batch if need be, which tells entries that the cache is empty.
	announceRestart bool
	// lastClient is the client used last.
	lastClient *bttarget.Client

	mu       sync.Mutex
	load     bttarget.Load
	loadTime time.Time
	refusals int
}

func newEngineMonitor(o Options, self btid.Executor, client func() (*bttarget.Client, bool), publish func(btload.CacheEvents), changed func()) *engineMonitor {
	return &engineMonitor{
		options: o,
		client:  client,
		publish: publish,
		changed: changed,
		outbox:  btload.NewOutbox(self.Target, uint64(self.Incarnation), maxPendingCacheEvents),
		limiter: rate.NewLimiter(cacheRate, cacheBurst),
	}
}

// run polls the engine until the context ends.
func (e *engineMonitor) run(ctx context.Context) {
	for ctx.Err() == nil {
		if client, model := e.client(); model {
			e.detectMove(client)
			e.poll(ctx, client)
		}
		pause(ctx, enginePollInterval)
	}
}

// detectMove resets the cache's state if the bundle has changed the target's endpoint.
func (e *engineMonitor) detectMove(client *bttarget.Client) {
	if e.lastClient != nil && e.lastClient != client {
		e.resetCache()
	}
	e.lastClient = client
}

func (e *engineMonitor) resetCache() {
	e.sequence = 0
	e.outbox.Reset()
	e.announceRestart = true
}

func (e *engineMonitor) poll(ctx context.Context, client *bttarget.Client) {
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	load, err := client.Load(ctx)
	if err != nil {
		e.handleFailure(err)
		return
	}
	e.handleLoad(load)
	events, err := client.CacheEvents(ctx, e.sequence)
	if err != nil {
		e.options.Meter.Refused(reasonEngineSilent)
		return
	}
	e.handleCacheEvents(events)
}

// handleFailure counts refused connections. An engine that has asked for rest, or a slow engine may still be working and is
// left to ejection.
func (e *engineMonitor) handleFailure(err error) {
	if !errors.Is(err, bttarget.ErrNotSent) || errors.Is(err, bttarget.ErrResting) {
		e.options.Meter.Refused(reasonEngineSilent)
		return
	}
	e.options.Meter.Refused(reasonEngineGone)
	e.mu.Lock()
	e.refusals++
	gone := e.refusals == goneAfterRefusals
	e.mu.Unlock()
	if !gone {
		return
	}
	e.recordDecision("engine_gone", fmt.Sprintf("%d connections refused in a row: %v", goneAfterRefusals, err), "entries send it no new work until it answers again")
	e.changed()
}

// handleLoad stores the engine's load. An engine that refused connections before, or
// whose step count has fallen, counts as restarted with an empty cache.
func (e *engineMonitor) handleLoad(load bttarget.Load) {
	e.mu.Lock()
	returned := e.refusals >= goneAfterRefusals
	restarted := e.refusals > 0 || load.Steps < e.load.Steps
	e.load = load
	e.loadTime = e.options.Clock()
	e.refusals = 0
	e.mu.Unlock()
	if restarted {
		e.resetCache()
	}
	if returned {
		e.recordDecision("engine_back", "it answers again", "entries send it work")
		e.changed()
	}
}

// handleCacheEvents queues new events and publishes as many as the rate limit allows.
func (e *engineMonitor) handleCacheEvents(events []bttarget.CacheEvent) {
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
	count := min(e.outbox.Len(), int(e.limiter.TokensAt(now)))
	if count == 0 && !e.announceRestart {
		return
	}
	e.limiter.AllowN(now, count)
	e.announceRestart = false
	e.publish(e.outbox.Take(count))
}

func opOf(op bttarget.CacheOp) btload.CacheOp {
	if op == bttarget.Stored {
		return btload.Stored
	}
	return btload.Evicted
}

// addTo adds the values that only the engine knows, unless they are too old. The
// request counts stay those of the queue: all requests to the engine pass through the
// agent, so its counts don't lag as the engine's do, and the age of the report stays
// that of the queue.
func (e *engineMonitor) addTo(report *btload.Report) {
	e.mu.Lock()
	defer e.mu.Unlock()
	report.Draining = report.Draining || e.refusals >= goneAfterRefusals
	if e.loadTime.IsZero() || e.options.Clock().Sub(e.loadTime) > maxEngineLoadAge {
		return
	}
	report.KVUsed = e.load.KVUsed
	if report.StepTime == 0 {
		report.StepTime = e.load.StepTime()
	}
}

func (e *engineMonitor) recordDecision(act, evidence, expected string) {
	e.options.Decisions.Add(btmetric.Decision{
		Time:     e.options.Clock(),
		Act:      act,
		Subject:  "target " + string(e.options.Target),
		Cause:    "the agent asks its engine for its load twice a second",
		Evidence: evidence,
		Expected: expected,
	})
}

// modelClient returns the client of a model target. It returns false for other kinds
// and before the first bundle.
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
