package btagent

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"bilberrytide/core/btid"
	"bilberrytide/core/btinventory"
	"bilberrytide/core/btnotice"
	"bilberrytide/core/btqueue"
	"bilberrytide/core/btrequest"
	"bilberrytide/io/btloop"
	"bilberrytide/io/btmetric"
	"bilberrytide/io/bttarget"
)

// Names of the counters of what the target announces in its answers.
const (
	metricRestsRequested = "target_rests.requested"
	metricRestsMalformed = "target_rests.malformed"
	metricLeavingAnswers = "target_leaving.answers"
)

// restartPollInterval is how often an agent checks whether a target that rests or is
// leaving has ended. A target that is replaced takes longer to start.
const restartPollInterval = 100 * time.Millisecond

// targetNotices holds what the target has announced. All requests to it come from this
// agent.
type targetNotices struct {
	log     *slog.Logger
	meter   *btmetric.Meter
	elapsed btloop.Clock

	mu       sync.Mutex
	register *btnotice.Register
	// instance counts the target's starts, so that none inherits what an earlier one has
	// announced.
	instance btinventory.Instance
}

func newTargetNotices(o Options) *targetNotices {
	return &targetNotices{
		log:      o.Log,
		meter:    o.Meter,
		elapsed:  o.Elapsed,
		register: btnotice.NewRegister(),
		instance: btinventory.Instance{ID: btinventory.ID(o.Target), Start: 1},
	}
}

// observe records a notice. It returns the end of a rest and whether the target is
// leaving, if that is new.
func (t *targetNotices) observe(status int, n btnotice.Notice) btnotice.Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	if n.Rest > 0 {
		t.meter.Counter(metricRestsRequested).Inc(1)
	}
	if n.Malformed != "" {
		t.meter.Counter(metricRestsMalformed).Inc(1)
	}
	if n.Leaving {
		t.meter.Counter(metricLeavingAnswers).Inc(1)
	}
	now := t.elapsed()
	c := t.register.Observe(now, t.instance, n)
	if !c.RestUntil.IsZero() {
		t.log.Info("target rests", "status", status, "for_ms", c.RestUntil.Sub(now).Milliseconds())
	}
	if c.Leaving {
		t.log.Info("target leaving", "status", status)
	}
	if c.FirstMalformed {
		t.log.Warn("target rest refused", "status", status, "value", n.Malformed)
	}
	return c
}

// refuses returns the reason for which the target must not be sent a request now, and for
// how long that holds if it is known; an empty reason if it may be.
func (t *targetNotices) refuses() (btrequest.Reason, time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.elapsed()
	if _, leaving := t.register.LeavingSince(t.instance); leaving {
		return btqueue.ReasonLeaving, 0
	}
	if end, rests := t.register.RestEnd(now, t.instance); rests {
		return btqueue.ReasonResting, end.Sub(now)
	}
	return "", 0
}

func (t *targetNotices) leaving() bool {
	reason, _ := t.refuses()
	return reason == btqueue.ReasonLeaving
}

// restart drops what the target has announced, as another start of it is expected. It
// reports whether there was anything.
func (t *targetNotices) restart(cause string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, leaving := t.register.LeavingSince(t.instance)
	_, rests := t.register.RestEnd(t.elapsed(), t.instance)
	t.register = btnotice.NewRegister()
	t.instance.Start += btid.Incarnation(1)
	if leaving || rests {
		t.log.Info("target notices dropped", "cause", cause, "was_leaving", leaving, "rested", rests)
	}
	return leaving || rests
}

// withheldError means that a request was not sent because of what the target has
// announced. It wraps bttarget.ErrNotSent.
type withheldError struct {
	reason     btrequest.Reason
	retryAfter time.Duration
}

// Error returns the reason.
func (e *withheldError) Error() string { return fmt.Sprintf("%v: %s", bttarget.ErrNotSent, e.reason) }

// Unwrap returns bttarget.ErrNotSent.
func (e *withheldError) Unwrap() error { return bttarget.ErrNotSent }

// observeNotice applies what an answer of the target announces to the queue.
func (a *Agent) observeNotice(status int, n btnotice.Notice) {
	c := a.notices.observe(status, n)
	queue := a.currentAdmission()
	if queue == nil {
		return
	}
	if !c.RestUntil.IsZero() {
		queue.loop.Post(btqueue.Rest{Until: c.RestUntil})
	}
	if c.Leaving {
		queue.loop.Post(btqueue.Leaving{})
		a.heartbeat.trigger()
	}
}

// resetNotices drops what an earlier start of the target has announced. Connections to it
// are no longer used: a process that refuses new ones may still answer on them.
func (a *Agent) resetNotices(cause string) {
	if !a.notices.restart(cause) {
		return
	}
	a.mu.Lock()
	if a.client != nil {
		a.client.Close()
		a.client = a.newClient(a.clientEndpoint)
	}
	queue := a.admission
	a.mu.Unlock()
	if queue != nil {
		queue.loop.Post(btqueue.Restarted{})
	}
	a.heartbeat.trigger()
}

// watchRestart drops the rest or the departure of a target once its process has ended,
// which shows in refused connections: the agent sends it no request by which it could
// learn that.
func (a *Agent) watchRestart(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, restartPollInterval)
		a.mu.Lock()
		client := a.client
		a.mu.Unlock()
		if reason, _ := a.notices.refuses(); client != nil && reason != "" && client.RefusesConnections(ctx) {
			a.resetNotices("the target refuses connections")
		}
	}
}
