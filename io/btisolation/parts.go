package btisolation

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"bilberrytide/core/btquarantine"
	"bilberrytide/io/btloop"
)

// Fleet is what the quarantine of parts needs to know about the other processes.
type Fleet interface {
	// Rank returns the order in which this process may probe a restriction.
	Rank(restriction btquarantine.RestrictionID) int
	// Others returns the number of other processes.
	Others() int
}

// PartOptions are the dependencies of Parts.
type PartOptions struct {
	Clock btloop.Clock
	Log   *slog.Logger
	// Gauge shows the number of restrictions in force.
	Gauge metrics.Gauge
	Fleet Fleet
	// Withdraw cancels the requests in progress that a restriction applies to, but for
	// those with output, and returns their number. It must not call the Parts.
	Withdraw func(btquarantine.Restriction) int
}

// Parts keeps requests away from targets that have a part in their prompts which crashes
// targets, for all goroutines of a process. It is safe for concurrent use.
type Parts struct {
	options PartOptions
	// wake signals that other processes lack something.
	wake chan struct{}

	mu       sync.Mutex
	register *btquarantine.PartRegister
}

// NewParts returns a Parts with an empty register.
func NewParts(o PartOptions) *Parts {
	register := btquarantine.NewPartRegister()
	register.SetObserver(rand.Uint64())
	return &Parts{options: o, wake: make(chan struct{}, 1), register: register}
}

// Arrive decides on a request that has just arrived; see PartRegister.Arrive.
func (p *Parts) Arrive(prompt btquarantine.Prompt) btquarantine.Verdict {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.register.Empty() {
		return btquarantine.Verdict{}
	}
	return p.register.Arrive(p.options.Clock(), prompt, p.options.Fleet.Rank)
}

// Check decides again on a request that waits or is to be sent once more.
func (p *Parts) Check(prompt btquarantine.Prompt, probe *btquarantine.Probe) btquarantine.Verdict {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.register.Empty() {
		return btquarantine.Verdict{}
	}
	return p.register.Check(p.options.Clock(), prompt, probe, p.options.Fleet.Rank)
}

// Release ends a probe; probe may be nil.
func (p *Parts) Release(probe *btquarantine.Probe) {
	if probe == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.register.Release(p.options.Clock(), probe)
}

// RecordCrash records that a target crashed after a request was sent to it. logAttrs are
// added to the log message.
func (p *Parts) RecordCrash(prompt btquarantine.Prompt, target string, progress btquarantine.Progress, logAttrs ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	changes := p.register.RecordCrash(p.options.Clock(), prompt, btquarantine.TargetID(target), progress)
	p.apply(changes, append([]any{"target", target}, logAttrs...)...)
}

// RecordOutput records that a target has produced output for a request.
func (p *Parts) RecordOutput(prompt btquarantine.Prompt, logAttrs ...any) {
	if len(prompt.Parts) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.apply(p.register.RecordOutput(p.options.Clock(), prompt), append([]any{"evidence", "output"}, logAttrs...)...)
}

// Merge merges the update of another process and reports whether it changed anything.
func (p *Parts) Merge(u btquarantine.PartUpdate, from string) (changed bool) {
	if u.Empty() {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	changes := p.register.Merge(p.options.Clock(), u)
	p.log(changes, "from", from)
	if changes.CanAdd {
		time.AfterFunc(p.addDelay(), p.addOwnOutputs)
	}
	return changes.Changed
}

// addDelayPerProcess spreads the reports of earlier outputs: where many processes know
// such, few of them report it before the others have received that.
const addDelayPerProcess = time.Millisecond

func (p *Parts) addDelay() time.Duration {
	return time.Duration(rand.Int64N(int64(addDelayPerProcess) * int64(p.options.Fleet.Others()+1)))
}

func (p *Parts) addOwnOutputs() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.apply(p.register.AddOwnOutputs(p.options.Clock()), "evidence", "earlier output")
}

// Announce sends what the register has to other processes.
func (p *Parts) Announce() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// Digest identifies what the register knows; zero if it is empty.
func (p *Parts) Digest() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.register.Digest()
}

// ExportIfChanged returns what the register knows for a process whose register has the
// digest; an empty update if that is the digest of this one.
func (p *Parts) ExportIfChanged(digest uint64) btquarantine.PartUpdate {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.register.Digest() == digest {
		return btquarantine.PartUpdate{}
	}
	return p.register.Export(p.options.Clock())
}

// Run passes updates to send and removes expired records until the context ends.
func (p *Parts) Run(ctx context.Context, send func(context.Context, btquarantine.PartUpdate)) {
	runUpdates(ctx, p.wake, p.expire, func() {
		if u := p.ExportIfChanged(0); !u.Empty() {
			send(ctx, u)
		}
	})
}

func (p *Parts) expire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.log(p.register.Expire(p.options.Clock()), "evidence", "age")
}

// apply logs and announces changes that this process has seen itself. The caller holds the
// lock.
func (p *Parts) apply(c btquarantine.PartChanges, logAttrs ...any) {
	p.log(c, logAttrs...)
	if c.Changed {
		p.Announce()
	}
}

// log logs which restrictions have begun or ended, and withdraws the requests that they
// apply to. The caller holds the lock.
func (p *Parts) log(c btquarantine.PartChanges, logAttrs ...any) {
	if len(c.Restricted) > 0 || len(c.Released) > 0 {
		p.options.Gauge.Update(int64(len(p.register.Restrictions())))
	}
	for _, r := range c.Restricted {
		withdrawn := p.options.Withdraw(r)
		p.options.Log.Warn("part quarantined", append(restrictionAttrs(r), append([]any{"withdrawn", withdrawn}, logAttrs...)...)...)
	}
	for _, r := range c.Released {
		p.options.Log.Info("part released", append(restrictionAttrs(r), logAttrs...)...)
	}
}

// restrictionAttrs returns the log attributes of a restriction. Its targets are those of
// the lines on crashed targets.
func restrictionAttrs(r btquarantine.Restriction) []any {
	return []any{"restriction", r.ID, "parts", r.Parts, "all_accounts", r.AnyAccount, "crashes", r.Crashes, "last_target_id", r.LastTarget}
}
