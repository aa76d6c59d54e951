// Package btisolation quarantines requests that crash targets, for all goroutines of a
// process, and batches the updates for other processes.
//
// Each crash of a target interrupts up to a dozen other requests and, if the target is a
// rank of a group, closes the group for seconds.
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
	// batchDelay is how long updates are collected: all requests that were running at a
	// target are interrupted within milliseconds of each other.
	batchDelay = 5 * time.Millisecond
	// expireInterval is how often expired records are removed.
	expireInterval = 10 * time.Second
)

// Isolation holds a process's register of such requests. It is safe for concurrent use.
type Isolation struct {
	clock btloop.Clock
	log   *slog.Logger
	// wake signals that updates are pending.
	wake chan struct{}

	mu       sync.Mutex
	register *btquarantine.Register
	// pending are the requests whose records other processes must receive.
	pending  map[btquarantine.Fingerprint]bool
	withdraw Withdraw
}

// Withdraw cancels a request at the targets that have it and returns their number. If it
// is only suspected, attempts whose answer is in progress continue, since the request
// crashes targets only when it begins.
type Withdraw func(f btquarantine.Fingerprint, suspected bool) int

// New returns an isolation with an empty register and the policy.
func New(p btquarantine.Policy, clock btloop.Clock, log *slog.Logger) *Isolation {
	register := btquarantine.New(p)
	register.SetObserver(rand.Uint64())
	return &Isolation{
		clock:    clock,
		log:      log,
		wake:     make(chan struct{}, 1),
		register: register,
		pending:  make(map[btquarantine.Fingerprint]bool),
		withdraw: func(btquarantine.Fingerprint, bool) int { return 0 },
	}
}

// OnQuarantine sets the function that withdraws a newly quarantined request from the
// targets that have not begun to run it. It must not call the isolation, and must be set
// before the first request.
func (i *Isolation) OnQuarantine(withdraw Withdraw) { i.withdraw = withdraw }

// SetPolicy replaces the policy, also for the requests in the register.
func (i *Isolation) SetPolicy(p btquarantine.Policy) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.register.SetPolicy(p)
}

// Remaining returns for how long the request is still quarantined, and whether it is.
// The fingerprint is computed only if the register isn't empty.
func (i *Isolation) Remaining(fingerprint func() btquarantine.Fingerprint) (remaining time.Duration, quarantined bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.register.Empty() {
		return 0, false
	}
	now := i.clock()
	remaining = i.register.QuarantinedUntil(now, fingerprint()).Sub(now)
	return remaining, remaining > 0
}

// RecordCrash records that a target crashed while running the request, and announces it
// to other processes. logAttrs are added to the log message.
func (i *Isolation) RecordCrash(f btquarantine.Fingerprint, target string, p btquarantine.Progress, logAttrs ...any) {
	i.mu.Lock()
	defer i.mu.Unlock()
	newly := i.register.RecordCrash(i.clock(), f, btquarantine.TargetID(target), p)
	i.announce(f)
	if newly {
		i.quarantine(f, append([]any{"target", target}, logAttrs...)...)
	}
}

// RecordServed records that a target answered the request completely.
func (i *Isolation) RecordServed(f btquarantine.Fingerprint) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.register.RecordServed(i.clock(), f) {
		i.announce(f)
	}
}

// Merge merges the update of another process and reports whether it changed anything.
func (i *Isolation) Merge(update btquarantine.Update, from string) (changed bool) {
	if len(update.Records) == 0 && len(update.Suspects) == 0 {
		return false
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.clock()
	oldDigest := i.register.Digest()
	suspected, changed := i.register.MergeSuspects(now, update.Suspects)
	quarantined := i.register.Merge(now, update.Records)
	for _, f := range append(suspected, quarantined...) {
		i.quarantine(f, "from", from)
	}
	return changed || i.register.Digest() != oldDigest
}

// Forward announces a received update to other processes.
func (i *Isolation) Forward(update btquarantine.Update) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, r := range update.Records {
		i.announce(r.Fingerprint)
	}
	for _, s := range update.Suspects {
		i.announce(s.Fingerprint)
	}
}

// ExportSuspects returns the suspected requests.
func (i *Isolation) ExportSuspects() btquarantine.Suspects {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.register.ExportSuspects(i.clock())
}

// Digest identifies the contents of the register.
func (i *Isolation) Digest() uint64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.register.Digest()
}

// ExportIfChanged returns the records for a process whose register has the digest; nil
// if that is the digest of this one.
func (i *Isolation) ExportIfChanged(digest uint64) btquarantine.Records {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.register.Digest() == digest {
		return nil
	}
	return i.register.Export(i.clock())
}

// ExportRecord returns the record of one request.
func (i *Isolation) ExportRecord(f btquarantine.Fingerprint) btquarantine.Record {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.register.ExportRecord(i.clock(), f)
}

// Run passes pending updates to send and removes expired records until the context ends.
func (i *Isolation) Run(ctx context.Context, send func(context.Context, btquarantine.Update)) {
	runUpdates(ctx, i.wake, i.expire, func() {
		for update := i.nextUpdate(); len(update.Records) > 0; update = i.nextUpdate() {
			send(ctx, update)
		}
	})
}

// runUpdates calls send a moment after each wake, and expire regularly, until the context
// ends.
func runUpdates(ctx context.Context, wake <-chan struct{}, expire, send func()) {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			expire()
		case <-wake:
			sleep(ctx, batchDelay)
			send()
		}
	}
}

// announce schedules the record of a request for the next update. The caller holds the
// lock.
func (i *Isolation) announce(f btquarantine.Fingerprint) {
	i.pending[f] = true
	select {
	case i.wake <- struct{}{}:
	default:
	}
}

// quarantine logs that a request is quarantined from now on, and withdraws it. The
// caller holds the lock.
func (i *Isolation) quarantine(f btquarantine.Fingerprint, logAttrs ...any) {
	now := i.clock()
	suspected := i.register.Suspected(now, f)
	withdrawn := i.withdraw(f, suspected)
	remaining := i.register.QuarantinedUntil(now, f).Sub(now)
	i.log.Warn("request held", append([]any{"fingerprint", f, "for_ms", remaining.Milliseconds(), "suspected", suspected, "withdrawn", withdrawn}, logAttrs...)...)
}

// nextUpdate returns the pending records, as many as one message holds, and all
// suspects.
func (i *Isolation) nextUpdate() btquarantine.Update {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.clock()
	var records btquarantine.Records
	for f := range i.pending {
		if len(records) == btquarantine.MaxRecordsPerMessage {
			break
		}
		records = append(records, i.register.ExportRecord(now, f))
		delete(i.pending, f)
	}
	return btquarantine.Update{Records: records, Suspects: i.register.ExportSuspects(now)}
}

func (i *Isolation) expire() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.register.Expire(i.clock())
}

// sleep waits for d or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
