package btentry

import (
	"errors"
	"time"

	"bilberrytide/core/btid"
	"bilberrytide/core/btqueue"
	"bilberrytide/core/btroute"
)

// limitedError means that all targets which could take a request name a rate that is used
// up; the error of the router is wrapped.
type limitedError struct {
	// After is when the next place is expected.
	After time.Duration
	err   error
}

// Error tells the router's error and why.
func (e *limitedError) Error() string {
	return string(btqueue.ReasonRateLimited) + ": " + e.err.Error()
}

// Unwrap returns the router's error.
func (e *limitedError) Unwrap() error { return e.err }

// limitedNow returns the targets that are passed over, as their agents have said that
// their rate of requests is used up. Others that were are forgotten. The lock is held.
func (f *fleet) limitedNow(now time.Time) []btid.Target {
	var names []btid.Target
	for name, until := range f.limited {
		if !now.Before(until) {
			delete(f.limited, name)
			continue
		}
		names = append(names, name)
	}
	return names
}

// noTarget adds to the router's error whether only rates are in the way. The lock is held.
func (f *fleet) noTarget(now time.Time, request btroute.Request, err error) error {
	choice, otherwise := f.router.Pick(now, request)
	until, limited := f.limited[choice.Target]
	if otherwise != nil || !limited {
		return err
	}
	return &limitedError{After: until.Sub(now), err: err}
}

// isLimited tells whether only the rates that targets name are in a request's way.
func isLimited(err error) (after time.Duration, limited bool) {
	var e *limitedError
	if !errors.As(err, &e) {
		return 0, false
	}
	return e.After, true
}
