// Package btisolation keeps requests that end targets from them, for all goroutines of
// a process, and gathers what other processes are to be told of them.
//
// Each end of a target takes along up to a dozen other requests and, where the target
// is a rank of a group, closes the group for seconds.
package btisolation

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"bilberrytide/core/btquarantine"
	"bilberrytide/io/btloop"
)

const (
	// gather is how long news is gathered: all requests that were at a target break
	// off within some milliseconds of each other.
	gather = 5 * time.Millisecond
	// expireEvery is how often what is of no more use is dropped.
	expireEvery = 10 * time.Second
)

// Isolation is what a process knows of such requests. It is safe for concurrent use.
type Isolation struct {
	clock btloop.Clock
	log   *slog.Logger
	// woken is filled when there is news.
	woken chan struct{}

	mu       sync.Mutex
	register *btquarantine.Register
	// news are the requests of which others are to be told.
	news     map[btquarantine.Fingerprint]bool
	withdraw Withdraw
}

// Withdraw takes a request back from the targets that have it, and returns from how many.
// One that is only suspected is left where its answer goes on: it doesn't end that target
// as it begins.
type Withdraw func(f btquarantine.Fingerprint, suspected bool) int

// New returns one that knows of no request and goes by the policy.
func New(p btquarantine.Policy, clock btloop.Clock, log *slog.Logger) *Isolation {
	register := btquarantine.New(p)
	register.SetObserver(rand.Uint64())
	return &Isolation{
		clock:    clock,
		log:      log,
		woken:    make(chan struct{}, 1),
		register: register,
		news:     make(map[btquarantine.Fingerprint]bool),
		withdraw: func(btquarantine.Fingerprint, bool) int { return 0 },
	}
}

// OnQuarantine sets what withdraws a request from the targets that have it, before they begin
// to run it. It must not call the isolation, and is to be set before the first request.
func (i *Isolation) OnQuarantine(withdraw Withdraw) { i.withdraw = withdraw }

// SetPolicy has it go by another policy, also for what is known.
func (i *Isolation) SetPolicy(p btquarantine.Policy) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.register.SetPolicy(p)
}

// Remaining returns for how long the request is still kept from targets, if it is. The
// fingerprint is asked for only where any request is remembered.
func (i *Isolation) Remaining(fingerprint func() btquarantine.Fingerprint) (left time.Duration, held bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.register.Empty() {
		return 0, false
	}
	now := i.clock()
	left = i.register.QuarantinedUntil(now, fingerprint()).Sub(now)
	return left, left > 0
}

// RecordCrash notes that a target ended with the request at work, and has others know; details
// are for the log.
func (i *Isolation) RecordCrash(f btquarantine.Fingerprint, target string, p btquarantine.Progress, details ...any) {
	i.mu.Lock()
	defer i.mu.Unlock()
	newly := i.register.RecordCrash(i.clock(), f, btquarantine.TargetID(target), p)
	i.tell(f)
	if newly {
		i.hold(f, append([]any{"target", target}, details...)...)
	}
}

// RecordServed notes that a target answered the request whole.
func (i *Isolation) RecordServed(f btquarantine.Fingerprint) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.register.RecordServed(i.clock(), f) {
		i.tell(f)
	}
}

// Merge takes in what another process tells, and tells whether that was new.
func (i *Isolation) Merge(n btquarantine.Update, from string) (changed bool) {
	if len(n.Records) == 0 && len(n.Suspects) == 0 {
		return false
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.clock()
	before := i.register.Digest()
	suspected, changed := i.register.MergeSuspects(now, n.Suspects)
	held := i.register.Merge(now, n.Records)
	for _, f := range append(suspected, held...) {
		i.hold(f, "from", from)
	}
	return changed || i.register.Digest() != before
}

// Forward has others told of what was heard.
func (i *Isolation) Forward(n btquarantine.Update) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, r := range n.Records {
		i.tell(r.Fingerprint)
	}
	for _, s := range n.Suspects {
		i.tell(s.Fingerprint)
	}
}

// ExportSuspects returns the requests that are suspected.
func (i *Isolation) ExportSuspects() btquarantine.Suspects {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.register.ExportSuspects(i.clock())
}

// Digest identifies what is known.
func (i *Isolation) Digest() uint64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.register.Digest()
}

// ExportIfChanged returns what is known, for a process that knows what the digest identifies.
func (i *Isolation) ExportIfChanged(digest uint64) btquarantine.Records {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.register.Digest() == digest {
		return nil
	}
	return i.register.Export(i.clock())
}

// ExportRecord returns what is known of one request.
func (i *Isolation) ExportRecord(f btquarantine.Fingerprint) btquarantine.Record {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.register.ExportRecord(i.clock(), f)
}

// Run hands news to tell, and drops what is of no more use, until the context ends.
func (i *Isolation) Run(ctx context.Context, tell func(context.Context, btquarantine.Update)) {
	expire := time.NewTicker(expireEvery)
	defer expire.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-expire.C:
			i.expire()
		case <-i.woken:
			pause(ctx, gather)
			for news := i.takeNews(); len(news.Records) > 0; news = i.takeNews() {
				tell(ctx, news)
			}
		}
	}
}

// tell has the teller tell of a request. The lock is held.
func (i *Isolation) tell(f btquarantine.Fingerprint) {
	i.news[f] = true
	select {
	case i.woken <- struct{}{}:
	default:
	}
}

// hold logs that a request is kept from targets from now on, and withdraws it. The lock
// is held.
func (i *Isolation) hold(f btquarantine.Fingerprint, evidence ...any) {
	now := i.clock()
	suspected := i.register.Suspected(now, f)
	withdrawn := i.withdraw(f, suspected)
	left := i.register.QuarantinedUntil(now, f).Sub(now)
	i.log.Warn("request held", append([]any{"fingerprint", f, "for_ms", left.Milliseconds(), "suspected", suspected, "withdrawn", withdrawn}, evidence...)...)
}

// takeNews returns what others are to be told, as much as one message holds, with all
// suspects.
func (i *Isolation) takeNews() btquarantine.Update {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.clock()
	var records btquarantine.Records
	for f := range i.news {
		if len(records) == btquarantine.MaxRecordsPerMessage {
			break
		}
		records = append(records, i.register.ExportRecord(now, f))
		delete(i.news, f)
	}
	return btquarantine.Update{Records: records, Suspects: i.register.ExportSuspects(now)}
}

func (i *Isolation) expire() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.register.Expire(i.clock())
}

// pause waits, unless the context ends before.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
