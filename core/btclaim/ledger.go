package btclaim

import (
	"fmt"
	"time"

	"bilberrytide/core/btassert"
	"bilberrytide/core/btcore"
	"bilberrytide/core/btid"
	"bilberrytide/core/btrequest"
)

// LedgerSettings are one ledger's own limits.
type LedgerSettings struct {
	Self btid.Executor
	// Retention is how long runs and seals are remembered: the bundle's retention.
	Retention time.Duration
	// ClockError is the bundle's.
	ClockError time.Duration
	// MaxRecords bounds the number of runs and seals remembered.
	MaxRecords int
	// AnswerBytes bounds all kept answers together, MaxAnswer each one.
	AnswerBytes int
	MaxAnswer   int
}

// DefaultLedgerSettings returns the settings of a ledger with usual limits.
func DefaultLedgerSettings(self btid.Executor, r Rules) LedgerSettings {
	return LedgerSettings{
		Self:        self,
		Retention:   r.Retention,
		ClockError:  r.ClockError,
		MaxRecords:  200_000,
		AnswerBytes: 32 << 20,
		MaxAnswer:   1 << 20,
	}
}

// LedgerEvent is what happens to a Ledger.
type LedgerEvent interface{ ledgerEvent() }

// RunRequested asks to run a grant.
type RunRequested struct{ Grant Grant }

// SealRequested asks never to run a grant, since the agent can't: its queue is full
// or it drains.
type SealRequested struct {
	Grant  Grant
	Reason btrequest.Reason
}

// RunFinished tells that a started claim ran and its answer of so many bytes is
// kept by the caller until DropAnswer.
type RunFinished struct {
	Claim Claim
	Bytes int
}

// RunLost tells that a started claim ended without a whole answer.
type RunLost struct{ Claim Claim }

// RunNotSent tells that nothing of a started grant reached the target, which
// only a connection that never came about proves. The answer is a Refused with
// its seal. It is told while the run is under way, in place of RunFinished and
// RunLost.
type RunNotSent struct {
	Grant  Grant
	Reason btrequest.Reason
}

func (Tick) ledgerEvent()          {}
func (RulesChanged) ledgerEvent()  {}
func (RunRequested) ledgerEvent()  {}
func (SealRequested) ledgerEvent() {}
func (RunFinished) ledgerEvent()   {}
func (RunLost) ledgerEvent()       {}
func (RunNotSent) ledgerEvent()    {}

// LedgerEffect is what a Ledger wants done.
type LedgerEffect interface{ ledgerEffect() }

// Start hands the request to the target, once.
type Start struct{ Grant Grant }

// Replay answers with the kept answer of the claim's run.
type Replay struct {
	Grant Grant
	Bytes int
}

// InProgress answers that the claim runs now; its answer will be there later.
type InProgress struct{ Grant Grant }

// Refused answers that this ledger doesn't run the grant. It travels to the
// entry, whose Client takes it as an event.
type Refused struct {
	Claim   Claim            `cbor:"claim" json:"claim"`
	Attempt uint32           `cbor:"attempt" json:"attempt"`
	Reason  btrequest.Reason `cbor:"reason" json:"reason"`
	// RetryAfter is when a repeated request may fare better.
	RetryAfter time.Duration `cbor:"retry_after,omitempty" json:"retry_after,omitempty"`
	// Sealed proves that the grant has not run and never will; without it the
	// claim may have run.
	Sealed *Sealed `cbor:"sealed,omitempty" json:"sealed,omitempty"`
}

// Validate reports a malformed message. The error wraps ErrMessage.
func (r Refused) Validate() error {
	if err := r.Claim.Validate(); err != nil {
		return err
	}
	if r.Attempt == 0 || r.RetryAfter < 0 {
		return fmt.Errorf("%w: attempt %d, retry after %s", ErrMessage, r.Attempt, r.RetryAfter)
	}
	if err := validateRefusal(btrequest.Unknown, r.Reason); err != nil {
		return err
	}
	if r.Sealed == nil {
		return nil
	}
	if r.Sealed.Claim != r.Claim || r.Sealed.Attempt != r.Attempt {
		return fmt.Errorf("%w: seal of another grant", ErrMessage)
	}
	return r.Sealed.Validate()
}

// DropAnswer frees the kept answer of a claim.
type DropAnswer struct{ Claim Claim }

func (Start) ledgerEffect()      {}
func (Replay) ledgerEffect()     {}
func (InProgress) ledgerEffect() {}
func (Refused) ledgerEffect()    {}
func (DropAnswer) ledgerEffect() {}

// phase is how far a claim came at this ledger.
type phase uint8

const (
	phaseSealed phase = iota
	phaseRunning
	phaseKept
	phaseDropped
	phaseLost
)

// run is a ledger's memory of one claim.
type run struct {
	claim Claim
	grant Grant // the last attempt
	phase phase
	bytes int
}

// Ledger runs each claim at most once in its incarnation; a start of which the
// target saw nothing is none.
type Ledger struct {
	settings LedgerSettings
	assert   *btassert.Asserter
	clock    clock
	start    time.Time
	runs     *expiring[Claim, *run]
	// sealedUpTo seals every grant issued up to then that has no record.
	sealedUpTo time.Time
	// forgotten is up to when grants were issued whose records may be gone,
	// since a shorter memory was in force then.
	forgotten time.Time
	kept      []*run
	keptBytes int
}

var _ btcore.Machine[LedgerEvent, LedgerEffect] = (*Ledger)(nil)

// NewLedger returns a ledger that starts at now with nothing remembered.
func NewLedger(now time.Time, s LedgerSettings, a *btassert.Asserter) *Ledger {
	l := &Ledger{settings: s, assert: a}
	l.clock.read(now)
	l.start = l.clock.wall
	l.runs = newExpiring[Claim, *run](s.Retention+s.ClockError, s.MaxRecords)
	return l
}

// Step applies one event. A grant that doesn't validate changes nothing.
func (l *Ledger) Step(now time.Time, event LedgerEvent) []LedgerEffect {
	l.clock.read(now)
	effects := l.expire()
	switch e := event.(type) {
	case RunRequested:
		effects = append(effects, l.take(e.Grant, "")...)
	case SealRequested:
		effects = append(effects, l.take(e.Grant, e.Reason)...)
	case RunFinished:
		effects = append(effects, l.finish(e)...)
	case RunLost:
		l.lose(e.Claim)
	case RunNotSent:
		effects = append(effects, l.unsend(e)...)
	case RulesChanged:
		l.configure(e.Rules)
	}
	l.assert.That(l.runs.bounded(l.clock.wall) && l.keptBytes <= l.settings.AnswerBytes,
		RecordBound, "ledger %s: %d records, %d bytes", l.settings.Self, len(l.runs.items), l.keptBytes)
	return effects
}

// configure follows the bundle's retention and clock error.
func (l *Ledger) configure(r Rules) {
	old := l.clock.wall.Add(-l.settings.Retention)
	if r.Retention > l.settings.Retention && old.After(l.forgotten) {
		l.forgotten = old
	}
	l.settings.Retention = r.Retention
	l.settings.ClockError = max(l.settings.ClockError, r.ClockError)
	l.runs.ttl = l.settings.Retention + l.settings.ClockError
}

func (l *Ledger) expire() []LedgerEffect {
	var effects []LedgerEffect
	l.runs.expire(l.clock.wall, func(r *run) {
		if r.phase == phaseKept {
			effects = append(effects, l.drop(r)...)
		}
	})
	return effects
}

// take runs the grant, or seals it where a reason to refuse is given.
func (l *Ledger) take(g Grant, refuse btrequest.Reason) []LedgerEffect {
	if g.Validate() != nil {
		return nil
	}
	if g.Executor.Target != l.settings.Self.Target {
		return []LedgerEffect{refusal(g, WrongExecutor)}
	}
	r, ok := l.runs.get(g.Claim)
	if ok && r.phase != phaseSealed {
		return []LedgerEffect{r.answer(g)}
	}
	if reason := l.unprovable(g); reason != "" {
		return []LedgerEffect{refusal(g, reason)}
	}
	if reason := l.sealedAlready(g, r); reason != "" {
		return []LedgerEffect{l.seal(g, reason)}
	}
	if !ok && l.runs.full() {
		l.sealedUpTo = g.IssuedAt
		return []LedgerEffect{l.seal(g, LedgerFull)}
	}
	return []LedgerEffect{l.record(g, r, refuse)}
}

// answer tells of a claim that this incarnation of the executor started.
func (r *run) answer(g Grant) LedgerEffect {
	if r.grant.Content != g.Content {
		return refusal(g, KeyReused)
	}
	switch r.phase {
	case phaseRunning:
		return InProgress{Grant: g}
	case phaseKept:
		return Replay{Grant: g, Bytes: r.bytes}
	case phaseDropped:
		return refusal(g, AnswerDropped)
	}
	return refusal(g, AnswerLost)
}

// unprovable tells why this incarnation can't say whether the grant ran.
func (l *Ledger) unprovable(g Grant) btrequest.Reason {
	switch {
	case g.Executor.Incarnation != l.settings.Self.Incarnation && !l.outlived(g):
		return WrongIncarnation
	case g.IssuedAt.Sub(l.clock.wall) > l.settings.ClockError:
		return GrantInFuture
	case l.clock.wall.Sub(g.IssuedAt) > l.settings.Retention, g.IssuedAt.Before(l.forgotten):
		return GrantForgotten
	}
	return ""
}

// outlived tells whether the incarnation that the grant names was over before
// the grant was issued, so that it can't have run it.
func (l *Ledger) outlived(g Grant) bool {
	earlier := g.Executor.Incarnation < l.settings.Self.Incarnation
	return earlier && g.IssuedAt.Sub(l.start) > l.settings.ClockError
}

// sealedAlready tells why the grant will never run, without a new record.
func (l *Ledger) sealedAlready(g Grant, r *run) btrequest.Reason {
	switch {
	case g.Executor.Incarnation != l.settings.Self.Incarnation:
		return WrongIncarnation
	case r != nil && g.Attempt <= r.grant.Attempt:
		return GrantSealed
	case !g.IssuedAt.After(l.sealedUpTo):
		return GrantSealed
	case l.clock.wall.After(g.NotAfter):
		return GrantExpired
	}
	return ""
}

// record notes the start or the seal of a grant that is neither yet.
func (l *Ledger) record(g Grant, r *run, refuse btrequest.Reason) LedgerEffect {
	once := l.assert.That(r == nil || r.phase == phaseSealed && r.grant.Attempt < g.Attempt,
		RunsAtMostOnce, "ledger %s: %s started before", l.settings.Self, g.Claim.Key)
	mine := l.assert.That(g.Executor == l.settings.Self,
		RunsAtMostOnce, "ledger %s: grant is to %s", l.settings.Self, g.Executor)
	if !once || !mine {
		return refusal(g, WrongExecutor)
	}
	if r == nil {
		r = &run{claim: g.Claim}
		l.runs.add(l.clock.wall, g.Claim, r)
	}
	// The memory of an attempt counts from the attempt, not from the first one.
	l.runs.renew(l.clock.wall, g.Claim)
	r.grant = g
	if refuse != "" {
		return l.seal(g, refuse)
	}
	r.phase = phaseRunning
	return Start{Grant: g}
}

// refusal answers without proof.
func refusal(g Grant, reason btrequest.Reason) Refused {
	return Refused{Claim: g.Claim, Attempt: g.Attempt, Reason: reason}
}

// seal answers with proof.
func (l *Ledger) seal(g Grant, reason btrequest.Reason) Refused {
	refused := refusal(g, reason)
	refused.Sealed = &Sealed{
		Claim:    g.Claim,
		Attempt:  g.Attempt,
		Executor: g.Executor,
		By:       l.settings.Self,
	}
	return refused
}
