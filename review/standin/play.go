package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"bilberrytide/platform/btmock"
)

const (
	// drainTime and contactTime are the bounds of the settings that are judged.
	drainTime   = 2 * time.Second
	contactTime = 3 * time.Second
	// calmTime is how long nothing happens before the removal.
	calmTime = 5 * time.Second
	// serveTime is how long the removed target serves after its removal, before it exits.
	serveTime = 2700 * time.Millisecond
	// callInterval is the time between two requests, callerDeadline what callers wait.
	callInterval   = 12 * time.Millisecond
	callerDeadline = 1500 * time.Millisecond
	// pollInterval is the interval at which the watches are looked at.
	pollInterval = time.Millisecond
	// retriedFor is how long the watches after the cut have been waiting when the target's
	// record is removed.
	retriedFor = 430 * time.Millisecond
	// cuts is how often each entry's waiting watch is cut, cutAfter how long it has waited.
	cuts     = 2
	cutAfter = 20 * time.Millisecond
	// waitLimit bounds the attempts to find all entries waiting.
	waitLimit = 30 * time.Second
)

// errNotWaiting means that the entries were not found waiting at the same time.
var errNotWaiting = errors.New("the entries' watches were not waiting at the same time")

// call is a request with its answer.
type call struct {
	id     string
	unsafe bool
	sentAt time.Time
	answer btmock.Answer
}

// load sends requests to the entries in turn until it is stopped.
type load struct {
	d      *deployment
	caller *btmock.Caller
	wait   sync.WaitGroup

	mu    sync.Mutex
	calls map[string]*call
}

func (l *load) run(ctx context.Context) {
	ticker := time.NewTicker(callInterval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			l.wait.Wait()
			return
		case <-ticker.C:
			l.wait.Go(func() { l.send(n) })
		}
	}
}

func (l *load) send(n int) {
	e := l.d.entries[n%len(l.d.entries)]
	c := &call{id: btmock.RequestID("r", n), unsafe: n/len(l.d.entries)%2 == 0}
	request := btmock.Call{
		To: netip.MustParseAddrPort(e.front), Method: http.MethodGet, Host: callerHost,
		Path: "/read/" + c.id, ID: c.id, Key: callerKey, Deadline: callerDeadline,
	}
	if c.unsafe {
		request.Method, request.Path, request.Body = http.MethodPost, "/write/"+c.id, "two seats"
	}
	l.mu.Lock()
	c.sentAt = time.Now()
	l.calls[c.id] = c
	l.mu.Unlock()
	l.d.record.logf("caller: %s %s sent to %s", request.Method, c.id, e.name)
	answer := l.caller.Do(context.Background(), request)
	l.d.record.logf("caller: %s answered %d, complete %t, after %d ms", c.id, answer.Status, answer.Complete, answer.Took.Milliseconds())
	l.mu.Lock()
	c.answer = answer
	l.mu.Unlock()
}

// play runs the case: in calm, the store cuts the waiting watch of each entry twice, and a
// target's record is removed while the entries watch again. The target serves on and exits.
func (d *deployment) play(ctx context.Context, trouble bool) (broken bool, err error) {
	l := &load{d: d, caller: btmock.NewCaller(d.ledger), calls: make(map[string]*call)}
	loadCtx, stopLoad := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() { defer close(ended); l.run(loadCtx) }()
	defer func() { stopLoad(); <-ended }()
	if !sleep(ctx, calmTime) {
		return false, fmt.Errorf("%w: %w", errSetup, ctx.Err())
	}
	cutAt, err := d.cutWatches(ctx, trouble)
	if err != nil {
		return false, err
	}
	removed := d.targets[0]
	d.store.Remove(recordPrefix + removed.ID)
	removedAt := time.Now()
	d.record.logf("store: removal of %s acknowledged, %d ms after the cut", removed.name, removedAt.Sub(cutAt).Milliseconds())
	if !sleep(ctx, serveTime) {
		return false, fmt.Errorf("%w: %w", errSetup, ctx.Err())
	}
	removed.exit()
	exitedAt := time.Now()
	d.record.logf("%s: exits", removed.name)
	if !sleep(ctx, 2*time.Second) {
		return false, fmt.Errorf("%w: %w", errSetup, ctx.Err())
	}
	stopLoad()
	<-ended
	return d.judge(l, removed, cutAt, removedAt, exitedAt), nil
}

// cutWatches cuts the waiting watches of all entries at one moment and waits until they have
// waited again for a while. Without trouble it cuts none.
func (d *deployment) cutWatches(ctx context.Context, trouble bool) (time.Time, error) {
	if !trouble {
		return time.Now(), d.awaitWatches(ctx, func() bool { return d.store.haveWaited(len(d.entries), 0) })
	}
	var cutAt time.Time
	// The first cut is of a connection that was used before, and the HTTP client watches
	// again by itself.
	for range cuts {
		if err := d.awaitWatches(ctx, func() bool { return d.store.cutWaiting(len(d.entries), cutAfter) }); err != nil {
			return cutAt, err
		}
		cutAt = time.Now()
	}
	return cutAt, d.awaitWatches(ctx, func() bool { return d.store.haveWaited(len(d.entries), retriedFor) })
}

func (d *deployment) awaitWatches(ctx context.Context, done func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, waitLimit)
	defer cancel()
	for !done() {
		if !sleep(ctx, pollInterval) {
			return fmt.Errorf("%w: %w", errSetup, errNotWaiting)
		}
	}
	return nil
}

// judge reports whether a request reached the removed target later than the drain time after
// its removal. A request counts if it was sent when the cut was longer ago than the contact
// time.
func (d *deployment) judge(l *load, removed *target, cutAt, removedAt, exitedAt time.Time) bool {
	late, counted, lost := 0, 0, 0
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range removed.arrived() {
		c, known := l.calls[a.id]
		if !known || a.at.Sub(removedAt) <= drainTime {
			continue
		}
		late++
		if c.sentAt.Sub(cutAt) <= contactTime {
			continue
		}
		counted++
		if c.unsafe && !c.answer.Served() && a.at.Before(exitedAt) {
			lost++
		}
		d.record.logf("judge: %s reached %s %d ms after its removal, sent %d ms after the cut, unsafe %t, answered %d", a.id, removed.name,
			a.at.Sub(removedAt).Milliseconds(), c.sentAt.Sub(cutAt).Milliseconds(), c.unsafe, c.answer.Status)
	}
	served := 0
	for _, c := range l.calls {
		if c.answer.Served() {
			served++
		}
	}
	d.record.logf("judge: %d requests, %d served; %d reached %s later than %s after its removal, of these %d with all in touch; %d of these were unsafe and not answered",
		len(l.calls), served, late, removed.name, drainTime, counted, lost)
	for _, v := range d.ledger.Violations() {
		d.record.logf("judge: stand-in notes: %s", v)
	}
	return counted > 0
}
