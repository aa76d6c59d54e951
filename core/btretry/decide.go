package btretry

import (
	"math/rand/v2"
	"time"

	"bilberrytide/core/btrequest"
)

// Attempt is what is known after an attempt has ended without a complete answer.
type Attempt struct {
	// Outcome is whether this attempt ran, as far as known. It isn't yet the
	// caller's answer.
	Outcome btrequest.Outcome
	// Keyed reports that the request may run at most once.
	Keyed bool
	// Number is the number of this attempt, from 1.
	Number int
	// Deadline is the deadline of the request.
	Deadline time.Time
	// MinAnswerTime is the least time that another attempt needs to answer, such as
	// the best target's expected time to first token.
	MinAnswerTime time.Duration
	// FirstByteSent reports that a part of the answer was sent to the caller.
	FirstByteSent bool
	// Resumable reports that the target can continue the answer at an offset.
	Resumable bool
}

// Decision is whether to retry, and the reason.
type Decision struct {
	Retry bool
	// Resume asks to continue the answer at the target that ran it.
	Resume bool
	// At is when to retry.
	At     time.Time
	Reason btrequest.Reason
}

// Decider applies the rules and the budget. It is not safe for concurrent use.
type Decider struct {
	config Config
	budget *Budget
	random *rand.Rand
}

// New returns a decider that takes retries from the budget and jitter from the
// random source.
func New(c Config, budget *Budget, source rand.Source) *Decider {
	return &Decider{config: c, budget: budget, random: rand.New(source)}
}

// Configure replaces the configuration, including that of the budget.
func (d *Decider) Configure(now time.Time, c Config) {
	d.config = c
	d.budget.Configure(now, c)
}

// Decide returns what to do after a failed attempt. It takes from the budget only
// if it returns a retry.
func (d *Decider) Decide(now time.Time, a Attempt) Decision {
	if reason, refused := d.forbidden(a); refused {
		return Decision{Reason: reason}
	}
	at := now.Add(d.backoff(a))
	if at.Add(a.MinAnswerTime).After(a.Deadline) {
		return Decision{Reason: RefusedDeadline}
	}
	if !d.budget.Take(now) {
		return Decision{Reason: RefusedBudget}
	}
	decision := Decision{Retry: true, At: at, Reason: RetryUnknown}
	switch {
	case a.FirstByteSent:
		decision.Resume, decision.Reason = true, RetryResume
	case a.Outcome == btrequest.NotRun:
		decision.Reason = RetryNotRun
	}
	return decision
}

// forbidden returns the reason against a retry whatever the budget, and false if
// there is none.
func (d *Decider) forbidden(a Attempt) (btrequest.Reason, bool) {
	switch {
	case a.Outcome == btrequest.Done:
		return RefusedDone, true
	case a.FirstByteSent && !a.Resumable:
		return RefusedFirstByte, true
	case a.Keyed && a.Outcome != btrequest.NotRun && !a.FirstByteSent:
		return RefusedKeyed, true
	case a.Number >= d.config.MaxAttempts:
		return RefusedAttempts, true
	}
	return "", false
}

// backoff returns a uniformly random duration of up to twice the mean wait, which
// doubles with each attempt. The first retry after a refusal is immediate: it goes to
// another target, so there is nothing to wait for.
func (d *Decider) backoff(a Attempt) time.Duration {
	if a.Outcome == btrequest.NotRun && a.Number <= 1 {
		return 0
	}
	mean := d.config.Backoff
	for range a.Number - 1 {
		mean = min(2*mean, d.config.BackoffMax)
	}
	if mean <= 0 {
		return 0
	}
	return time.Duration(d.random.Int64N(int64(2 * mean)))
}
