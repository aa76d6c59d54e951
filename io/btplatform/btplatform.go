// Package btplatform is a read-only client of the platform, which publishes configuration
// values, the list of hosts and the experts' weights.
//
// All readers share the platform's rate limit. The client therefore limits its calls, a
// watch is a long poll, and the service's Retry-After header is obeyed.
package btplatform

import (
	"errors"
	"fmt"
	"time"

	"bilberrytide/core/btid"
)

var (
	// ErrUnavailable is wrapped if the service can't be reached or fails.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrLimited is wrapped by LimitedError.
	ErrLimited = errors.New("platform limits calls")
	// ErrNotFound is wrapped if the platform doesn't have the key or the weights.
	ErrNotFound = errors.New("not found on the platform")
	// ErrMalformed is wrapped if an answer can't be parsed or is invalid.
	ErrMalformed = errors.New("malformed answer of the platform")
	// ErrTooLarge is wrapped if an answer is larger than its limit.
	ErrTooLarge = errors.New("answer of the platform too large")
)

// LimitedError is returned if the platform refused a call because of its rate limit. It
// matches ErrLimited.
type LimitedError struct {
	// RetryAfter is the wait that the platform asks for; zero if it named none.
	RetryAfter time.Duration
}

// Error describes the refusal.
func (e *LimitedError) Error() string {
	return fmt.Sprintf("%v: retry after %s", ErrLimited, e.RetryAfter)
}

// Is reports whether the target is ErrLimited.
func (e *LimitedError) Is(target error) bool { return target == ErrLimited }

// Revision orders the values of one key. Zero means that none has been read.
type Revision uint64

// Value is one value of a configuration key.
type Value struct {
	Revision Revision
	Data     []byte
}

// HostState is the state of a host on the platform's list.
type HostState string

const (
	// Live hosts remain in use.
	Live HostState = "live"
	// Leaving hosts accept no new work.
	Leaving HostState = "leaving"
)

// Host is an item of the platform's list of hosts, which lags behind the hosts' state.
type Host struct {
	Name  btid.Host `json:"name"`
	State HostState `json:"state"`
}

// Validate returns an error if the name or the state is invalid.
func (h Host) Validate() error {
	if err := btid.CheckName(string(h.Name)); err != nil {
		return fmt.Errorf("host name: %w", err)
	}
	if h.State != Live && h.State != Leaving {
		return fmt.Errorf("host %s: state %q", h.Name, h.State)
	}
	return nil
}

// Expert identifies the weights of one expert in one layer of a model.
type Expert struct {
	Model  btid.Service
	Layer  int
	Expert int
}
