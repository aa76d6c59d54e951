// Package btretry decides whether and when to retry a failed attempt.
//
// Retries cost capacity just when it is short, so a budget limits them to a share
// of the requests. A request that must run at most once is retried only with
// evidence that it did not run. An answer that was partly sent is continued only if
// the target can resume it. Backoff has full jitter, from a random source that the
// caller passes in.
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
	// RetryUnknown: the connection to the target was lost, and the request may be
	// repeated.
	RetryUnknown btrequest.Reason = "retry_unknown"
	// RetryResume: the answer was interrupted and the target can resume it.
	RetryResume btrequest.Reason = "retry_resume"
)

// Reasons against a retry.
const (
	// RefusedDone: the answer is complete.
	RefusedDone btrequest.Reason = "retry_refused_done"
	// RefusedKeyed: the request may run only once and may have run.
	RefusedKeyed btrequest.Reason = "retry_refused_keyed"
	// RefusedFirstByte: a part of the answer was sent and can't be resumed.
	RefusedFirstByte btrequest.Reason = "retry_refused_first_byte"
	// RefusedAttempts: the request has used all its attempts.
	RefusedAttempts btrequest.Reason = "retry_refused_attempts"
	// RefusedDeadline: another attempt could not answer before the deadline.
	RefusedDeadline btrequest.Reason = "retry_refused_deadline"
	// RefusedBudget: the retry budget is exhausted.
	RefusedBudget btrequest.Reason = "retry_refused_budget"
)

// Config limits retries.
type Config struct {
	// BudgetShare is the share of requests that may be retries, 0 to 1.
	BudgetShare float64
	// Burst is how many unused retries may accumulate; it is at least 1.
	Burst int
	// FloorRate is the number of retries per second that are allowed in addition to
	// the share, so that a service with few requests can retry at all; zero allows
	// none.
	FloorRate float64
	// MaxAttempts limits the attempts of a request, including the first.
	MaxAttempts int
	// Backoff is the mean wait before the first retry; it doubles with each retry.
	Backoff time.Duration
	// BackoffMax is the longest mean wait.
	BackoffMax time.Duration
}

// DefaultConfig returns the configuration for a service that sets none.
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

// ConfigFromBundle returns the limits in a bundle, with defaults for those that are
// zero.
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
