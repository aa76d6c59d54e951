// Package btplatform reads what the platform publishes: a configuration value,
// the list of hosts and the experts' weights.
//
// It only reads; there is no way to write through it. Every call counts
// against a rate that all readers share, so calls are bounded, a watch waits
// at the service, and what the service says about coming back is honoured.
package btplatform

import (
	"errors"
	"fmt"
	"time"

	"bilberrytide/core/btid"
)

var (
	// ErrUnavailable is wrapped when the service can't be reached or fails.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrLimited is wrapped by LimitedError.
	ErrLimited = errors.New("platform limits calls")
	// ErrNotFound is wrapped when the platform has no such thing.
	ErrNotFound = errors.New("not found on the platform")
	// ErrMalformed is wrapped when an answer can't be understood.
	ErrMalformed = errors.New("malformed answer of the platform")
	// ErrTooLarge is wrapped when an answer is larger than its limit.
	ErrTooLarge = errors.New("answer of the platform too large")
)

// LimitedError tells when to come back after the platform refused a call
// because there were too many. It matches ErrLimited.
type LimitedError struct {
	// RetryAfter is zero where the platform named no time.
	RetryAfter time.Duration
}

// Error describes the refusal.
func (e *LimitedError) Error() string {
	return fmt.Sprintf("%v: come back in %s", ErrLimited, e.RetryAfter)
}

// Is tells whether the target is ErrLimited.
func (e *LimitedError) Is(target error) bool { return target == ErrLimited }

// Revision orders the values of one key; zero stands for none read.
type Revision uint64

// Value is one value of a configuration key.
type Value struct {
	Revision Revision
	Data     []byte
}

// HostState tells whether a host stays.
type HostState string

const (
	// Live hosts stay.
	Live HostState = "live"
	// Leaving hosts take no new work.
	Leaving HostState = "leaving"
)

// Host is one line of the platform's host list, which lags.
type Host struct {
	Name  btid.Host `json:"name"`
	State HostState `json:"state"`
}

// Validate reports a host that can't be one.
func (h Host) Validate() error {
	if err := btid.CheckName(string(h.Name)); err != nil {
		return fmt.Errorf("host name: %w", err)
	}
	if h.State != Live && h.State != Leaving {
		return fmt.Errorf("host %s: state %q", h.Name, h.State)
	}
	return nil
}

// Expert names one expert's weights in one layer of a model.
type Expert struct {
	Model  btid.Service
	Layer  int
	Expert int
}
