// Package btretry decides whether and when a failed attempt is tried again.
//
// Retries cost capacity just when it is short, so a budget holds them to a
// share of the requests. A request that may not be repeated is retried only
// with evidence that it was not run; an answer of which a byte went out is
// continued only where the target can resume it. Waits have full jitter, from a
// source that is passed in.
//
// The state is one budget per entry; a new process starts with a full burst.
package btretry

import (
	"time"

	"bilberrytide/core/btbundle"
	"bilberrytide/core/btrequest"
)

// Reasons for a retry.
const (
	// RetryNotRun: the attempt was refused, so another target may run it.
	RetryNotRun btrequest.Reason = "retry_not_run"
	// RetryUnknown: contact was lost, and the request may be repeated.
	RetryUnknown btrequest.Reason = "retry_unknown"
	// RetryResume: the answer was cut and the target can resume it.
	RetryResume btrequest.Reason = "retry_resume"
)

// Reasons against a retry.
const (
	// RefusedDone: the answer is whole.
	RefusedDone btrequest.Reason = "retry_refused_done"
	// RefusedKeyed: the request may run only once and may have run.
	RefusedKeyed btrequest.Reason = "retry_refused_keyed"
	// RefusedFirstByte: a part of the answer went out and can't be resumed.
	RefusedFirstByte btrequest.Reason = "retry_refused_first_byte"
	// RefusedAttempts: the request had all the attempts that it may have.
	RefusedAttempts btrequest.Reason = "retry_refused_attempts"
	// RefusedDeadline: another attempt could not answer in time.
	RefusedDeadline btrequest.Reason = "retry_refused_deadline"
	// RefusedBudget: too many recent requests were retries already.
	RefusedBudget btrequest.Reason = "retry_refused_budget"
)

// Config bounds retries.
type Config struct {
	// BudgetShare is the share of requests that may be retries, 0 to 1.
	BudgetShare float64
	// Burst is how many retries may be saved up; it is at least 1.
	Burst int
	// FloorRate is retries a second allowed beside the share, so that a service
	// with few requests can retry at all; zero allows none.
	FloorRate float64
	// MaxAttempts counts the first attempt too.
	MaxAttempts int
	// Backoff is the mean wait before the first retry; it doubles each time.
	Backoff time.Duration
	// BackoffMax is the longest mean wait.
	BackoffMax time.Duration
}

// DefaultConfig returns the configuration for a service that states none.
func DefaultConfig() Config {
	return Config{
		BudgetShare: 0.1,
		Burst:       10,
		FloorRate:   0.2,
		MaxAttempts: 3,
		Backoff:     20 * time.Millisecond,
		BackoffMax:  2 * time.Second,
	}
}

// ConfigFromBundle returns the limits that a bundle states, with the defaults for those
// that it leaves at zero.
func ConfigFromBundle(b btbundle.Retry) Config {
	c := DefaultConfig()
	if b.BudgetShare > 0 {
		c.BudgetShare = min(b.BudgetShare, 1)
	}
	if b.MaxAttempts > 0 {
		c.MaxAttempts = b.MaxAttempts
	}
	if b.Backoff.Duration > 0 {
		c.Backoff = b.Backoff.Duration
		c.BackoffMax = max(c.BackoffMax, c.Backoff)
	}
	return c
}
