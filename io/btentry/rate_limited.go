package btentry

import (
	"errors"
	"time"

	"bilberrytide/core/btid"
	"bilberrytide/core/btqueue"
	"bilberrytide/core/btroute"
)

// rateLimitedError means that all targets that could run the request have used up the
// request rate that they accept. It wraps the router's error.
type rateLimitedError struct {
	// RetryAfter is the time until one of them is expected to accept a request.
	RetryAfter time.Duration
	err        error
}

// Error returns the reason and the router's error.
func (e *rateLimitedError) Error() string {
	return string(btqueue.ReasonRateLimited) + ": " + e.err.Error()
}

// Unwrap returns the router's error.
func (e *rateLimitedError) Unwrap() error { return e.err }

// rateLimitedTargets returns the targets whose agents have reported that their request
// rate is used up, and removes those for which this has passed. The caller holds the
// lock.
func (f *fleet) rateLimitedTargets(now time.Time) []btid.Target {
	var names []btid.Target
	for name, until := range f.rateLimitedUntil {
		if !now.Before(until) {
			delete(f.rateLimitedUntil, name)
			continue
		}
		names = append(names, name)
	}
	return names
}

// noTargetError returns err, as a rateLimitedError if only request rates prevent a pick.
// The caller holds the lock.
func (f *fleet) noTargetError(now time.Time, request btroute.Request, err error) error {
	choice, pickErr := f.router.Pick(now, request)
	until, limited := f.rateLimitedUntil[choice.Target]
	if pickErr != nil || !limited {
		return err
	}
	return &rateLimitedError{RetryAfter: until.Sub(now), err: err}
}

// rateLimitRetryAfter reports whether only the request rates of targets prevent the
// request from being sent, and for how long.
func rateLimitRetryAfter(err error) (after time.Duration, limited bool) {
	var e *rateLimitedError
	if !errors.As(err, &e) {
		return 0, false
	}
	return e.RetryAfter, true
}
