package btclaim

import (
	"fmt"
	"time"

	"bilberrytide/core/btassert"
	"bilberrytide/core/btcore"
	"bilberrytide/core/btid"
	"bilberrytide/core/btrequest"
)

// LedgerSettings are the limits of one ledger.
type LedgerSettings struct {
	Self btid.Executor
	// Retention is how long runs and seals are stored: the bundle's retention.
	Retention time.Duration
	// ClockError is the bundle's.
	ClockError time.Duration
	// MaxRecords limits the runs and seals that are stored.
	MaxRecords int
	// AnswerBytes limits the total size of the kept answers, MaxAnswer the size of
	// one.
	AnswerBytes int
	MaxAnswer   int
}

// DefaultLedgerSettings returns the default settings of a ledger.
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

// LedgerEvent is an input of a Ledger.
type LedgerEvent interface{ ledgerEvent() }

// RunRequested asks to run a grant.
type RunRequested struct{ Grant Grant }

// SealRequested asks never to run a grant, because the agent can't: its queue is full
// or it is draining.
type SealRequested struct {
	Grant  Grant
	Reason btrequest.Reason
}

// RunFinished reports that a started claim ran, and that the caller keeps its answer
// of this size until DropAnswer.
type RunFinished struct {
	Claim Claim
	Bytes int
}

// RunLost reports that a started claim ended without a whole answer.
type RunLost struct{ Claim Claim }

// RunNotSent reports that nothing of a started grant reached the target. Only a
// connection that was never established proves that. It is valid only while the run
// is in progress, in place of RunFinished and RunLost, and is answered by a Refused
// with the grant's seal.
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

// LedgerEffect is an action that a Ledger asks its caller to carry out.
type LedgerEffect interface{ ledgerEffect() }

// Start sends the request to the target, once.
type Start struct{ Grant Grant }

// Replay answers with the kept answer of the claim's run.
type Replay struct {
	Grant Grant
	Bytes int
}

// InProgress answers that the claim is running; its answer can be fetched later.
type InProgress struct{ Grant Grant }

// Refused answers that this ledger doesn't run the grant. It is sent to the entry,
// whose Client takes it as an event.
type Refused struct {
	Claim   Claim            `cbor:"claim" json:"claim"`
	Attempt uint32           `cbor:"attempt" json:"attempt"`
	Reason  btrequest.Reason `cbor:"reason" json:"reason"`
	// RetryAfter is the suggested delay before a repeated request.
	RetryAfter time.Duration `cbor:"retry_after,omitempty" json:"retry_after,omitempty"`
	// Sealed proves that the grant has not run and never will; without it the claim
	// may have run.
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

// DropAnswer deletes the kept answer of a claim.
type DropAnswer struct{ Claim Claim }

func (Start) ledgerEffect()      {}
func (Replay) ledgerEffect()     {}
func (InProgress) ledgerEffect() {}
func (Refused) ledgerEffect()    {}
func (DropAnswer) ledgerEffect() {}

// phase is the state of a claim at this ledger.
type phase uint8

const (
	phaseSealed phase = iota
	phaseRunning
	phaseAnswerKept
	phaseAnswerDropped
	phaseAnswerLost
)

// runRecord is what a ledger stores of one claim.
type runRecord struct {
	claim Claim
	grant Grant // the last attempt
	phase phase
	bytes int
}

// Ledger runs each claim at most once in its incarnation. A start of which nothing
// reached the target doesn't count.
type Ledger struct {
	settings LedgerSettings
	assert   *btassert.Asserter
	clock    clock
	start    time.Time
	runs     *expiringMap[Claim, *runRecord]
	// sealedThrough seals all grants without a record that were issued at or before
	// it.
	sealedThrough time.Time
	// expiredBefore is the time before which grants were issued whose records may
	// have expired under an earlier, shorter retention.
	expiredBefore time.Time
	keptAnswers   []*runRecord
	keptBytes     int
}

var _ btcore.Machine[LedgerEvent, LedgerEffect] = (*Ledger)(nil)

// NewLedger returns a ledger without records that starts at now.
func NewLedger(now time.Time, s LedgerSettings, a *btassert.Asserter) *Ledger {
	l := &Ledger{settings: s, assert: a}
	l.clock.advance(now)
	l.start = l.clock.wall
	l.runs = newExpiringMap[Claim, *runRecord](s.Retention+s.ClockError, s.MaxRecords)
	return l
}

// Step applies one event. An invalid grant changes nothing.
func (l *Ledger) Step(now time.Time, event LedgerEvent) []LedgerEffect {
	l.clock.advance(now)
	effects := l.expire()
	switch e := event.(type) {
	case RunRequested:
		effects = append(effects, l.handleGrant(e.Grant, "")...)
	case SealRequested:
		effects = append(effects, l.handleGrant(e.Grant, e.Reason)...)
	case RunFinished:
		effects = append(effects, l.handleFinished(e)...)
	case RunLost:
		l.handleLost(e.Claim)
	case RunNotSent:
		effects = append(effects, l.handleNotSent(e)...)
	case RulesChanged:
		l.configure(e.Rules)
	}
	l.assert.That(l.runs.withinBounds(l.clock.wall) && l.keptBytes <= l.settings.AnswerBytes,
		RecordBound, "ledger %s: %d records, %d bytes", l.settings.Self, len(l.runs.items), l.keptBytes)
	return effects
}

// configure applies the bundle's retention and clock error. The clock error never
// shrinks.
func (l *Ledger) configure(r Rules) {
	old := l.clock.wall.Add(-l.settings.Retention)
	if r.Retention > l.settings.Retention && old.After(l.expiredBefore) {
		l.expiredBefore = old
	}
	l.settings.Retention = r.Retention
	l.settings.ClockError = max(l.settings.ClockError, r.ClockError)
	l.runs.ttl = l.settings.Retention + l.settings.ClockError
}

func (l *Ledger) expire() []LedgerEffect {
	var effects []LedgerEffect
	l.runs.expire(l.clock.wall, func(r *runRecord) {
		if r.phase == phaseAnswerKept {
			effects = append(effects, l.dropAnswer(r)...)
		}
	})
	return effects
}

// handleGrant runs the grant, or seals it if refuse is set.
func (l *Ledger) handleGrant(g Grant, refuse btrequest.Reason) []LedgerEffect {
	if g.Validate() != nil {
		return nil
	}
	if g.Executor.Target != l.settings.Self.Target {
		return []LedgerEffect{refusal(g, WrongExecutor)}
	}
	r, ok := l.runs.get(g.Claim)
	if ok && r.phase != phaseSealed {
		return []LedgerEffect{r.replyStarted(g)}
	}
	if reason := l.unprovableReason(g); reason != "" {
		return []LedgerEffect{refusal(g, reason)}
	}
	if reason := l.sealedReason(g, r); reason != "" {
		return []LedgerEffect{l.seal(g, reason)}
	}
	if !ok && l.runs.full() {
		l.sealedThrough = g.IssuedAt
		return []LedgerEffect{l.seal(g, LedgerFull)}
	}
	return []LedgerEffect{l.record(g, r, refuse)}
}

// replyStarted answers for a claim that this incarnation has started.
func (r *runRecord) replyStarted(g Grant) LedgerEffect {
	if r.grant.Content != g.Content {
		return refusal(g, KeyReused)
	}
	switch r.phase {
	case phaseRunning:
		return InProgress{Grant: g}
	case phaseAnswerKept:
		return Replay{Grant: g, Bytes: r.bytes}
	case phaseAnswerDropped:
		return refusal(g, AnswerDropped)
	}
	return refusal(g, AnswerLost)
}

// unprovableReason returns why this incarnation can't determine whether the grant ran,
// or "".
func (l *Ledger) unprovableReason(g Grant) btrequest.Reason {
	switch {
	case g.Executor.Incarnation != l.settings.Self.Incarnation && !l.exitedBeforeGrant(g):
		return WrongIncarnation
	case g.IssuedAt.Sub(l.clock.wall) > l.settings.ClockError:
		return GrantInFuture
	case l.clock.wall.Sub(g.IssuedAt) > l.settings.Retention, g.IssuedAt.Before(l.expiredBefore):
		return GrantForgotten
	}
	return ""
}

// exitedBeforeGrant reports whether the incarnation that the grant names had exited
// before the grant was issued, so that it can't have run it.
func (l *Ledger) exitedBeforeGrant(g Grant) bool {
	earlier := g.Executor.Incarnation < l.settings.Self.Incarnation
	return earlier && g.IssuedAt.Sub(l.start) > l.settings.ClockError
}

// sealedReason returns why the grant will never run even without a new record, or "".
func (l *Ledger) sealedReason(g Grant, r *runRecord) btrequest.Reason {
	switch {
	case g.Executor.Incarnation != l.settings.Self.Incarnation:
		return WrongIncarnation
	case r != nil && g.Attempt <= r.grant.Attempt:
		return GrantSealed
	case !g.IssuedAt.After(l.sealedThrough):
		return GrantSealed
	case l.clock.wall.After(g.NotAfter):
		return GrantExpired
	}
	return ""
}

// record stores the start, or the seal if refuse is set, of a grant that has neither.
func (l *Ledger) record(g Grant, r *runRecord, refuse btrequest.Reason) LedgerEffect {
	once := l.assert.That(r == nil || r.phase == phaseSealed && r.grant.Attempt < g.Attempt,
		RunsAtMostOnce, "ledger %s: %s started before", l.settings.Self, g.Claim.Key)
	mine := l.assert.That(g.Executor == l.settings.Self,
		RunsAtMostOnce, "ledger %s: grant is to %s", l.settings.Self, g.Executor)
	if !once || !mine {
		return refusal(g, WrongExecutor)
	}
	if r == nil {
		r = &runRecord{claim: g.Claim}
		l.runs.add(l.clock.wall, g.Claim, r)
	}
	// The retention counts from the last attempt, not from the first.
	l.runs.renew(l.clock.wall, g.Claim)
	r.grant = g
	if refuse != "" {
		return l.seal(g, refuse)
	}
	r.phase = phaseRunning
	return Start{Grant: g}
}

// refusal returns a refusal without proof.
func refusal(g Grant, reason btrequest.Reason) Refused {
	return Refused{Claim: g.Claim, Attempt: g.Attempt, Reason: reason}
}

// seal returns a refusal with proof.
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
