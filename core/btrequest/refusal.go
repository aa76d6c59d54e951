package btrequest

import (
	"fmt"
	"time"
)

// Refusal is the error of a request that ends without a target's answer. It holds all
// that the caller is answered with.
type Refusal struct {
	// Outcome is NotRun or Unknown.
	Outcome Outcome
	Reason  Reason
	// Message is a description for people, in one sentence.
	Message string
	// RetryAfter is how long the caller should wait before it retries; zero if a retry
	// of the same request can't succeed.
	RetryAfter time.Duration
}

// Error returns the reason, the outcome and the message.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Reason, r.Outcome, r.Message)
}

// Refuse returns a refusal with the outcome NotRun: the request provably did not run.
func Refuse(reason Reason, after time.Duration, format string, args ...any) *Refusal {
	return &Refusal{Outcome: NotRun, Reason: reason, RetryAfter: after, Message: fmt.Sprintf(format, args...)}
}

// RefuseUnknown returns a refusal with the outcome Unknown: the request may have run.
func RefuseUnknown(reason Reason, after time.Duration, format string, args ...any) *Refusal {
	return &Refusal{Outcome: Unknown, Reason: reason, RetryAfter: after, Message: fmt.Sprintf(format, args...)}
}
