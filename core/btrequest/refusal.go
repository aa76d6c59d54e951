package btrequest

import (
	"fmt"
	"time"
)

// Refusal is the error by which a request ends without its answer. It carries
// all that the caller is told.
type Refusal struct {
	// Outcome is NotRun or Unknown.
	Outcome Outcome
	Reason  Reason
	// Message explains the refusal to a person, in one sentence.
	Message string
	// RetryAfter is when the caller should come back; zero where coming back
	// with the same request can't help.
	RetryAfter time.Duration
}

// Error describes the refusal.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Reason, r.Outcome, r.Message)
}

// Refuse returns a refusal of a request that provably did not run.
func Refuse(reason Reason, after time.Duration, format string, args ...any) *Refusal {
	return &Refusal{Outcome: NotRun, Reason: reason, RetryAfter: after, Message: fmt.Sprintf(format, args...)}
}

// RefuseUnknown returns a refusal of a request that may have run.
func RefuseUnknown(reason Reason, after time.Duration, format string, args ...any) *Refusal {
	return &Refusal{Outcome: Unknown, Reason: reason, RetryAfter: after, Message: fmt.Sprintf(format, args...)}
}
