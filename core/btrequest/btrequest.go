// Package btrequest holds what every part of the request path shares: the
// outcome told to the caller, the reason for it, the deadline and the
// idempotency key.
package btrequest

import (
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"
)

// Outcome is what a caller is told about one request. Each request ends in
// exactly one of the three.
type Outcome string

const (
	// Done means that the target ran the request and this is its whole answer.
	Done Outcome = "done"
	// NotRun means that there is evidence that no target ran the request and
	// that none ever will.
	NotRun Outcome = "not_run"
	// Unknown means that the request may have run: contact was lost after it
	// was sent, or the evidence that it didn't run is gone.
	Unknown Outcome = "unknown"
)

// Valid tells whether the outcome is one of the three.
func (o Outcome) Valid() bool { return o == Done || o == NotRun || o == Unknown }

// Reason names why a request was refused, retried or given up on. It is a
// snake case word that is at once a counter's name, a field in logs and a
// field in error bodies.
type Reason string

// MaxKeyBytes is the longest idempotency key accepted.
const MaxKeyBytes = 255

// ErrKey is wrapped by the error of every malformed idempotency key.
var ErrKey = errors.New("malformed idempotency key")

// Key is a caller's idempotency key: a request that carries one runs at most
// once. The zero Key stands for none.
type Key string

// Validate reports a key that is too long or holds unprintable bytes. The error
// wraps ErrKey.
func (k Key) Validate() error {
	if len(k) > MaxKeyBytes {
		return fmt.Errorf("%w: %d bytes, at most %d", ErrKey, len(k), MaxKeyBytes)
	}
	for i := range len(k) {
		if k[i] <= ' ' || k[i] > '~' {
			return fmt.Errorf("%w: unprintable byte %d", ErrKey, i)
		}
	}
	return nil
}

// Time returns the time at which the key was made, to the millisecond, where
// the key is a UUID of version 7; false for any other key.
func (k Key) Time() (time.Time, bool) {
	id, err := uuid.Parse(string(k))
	if err != nil || id.Version() != 7 {
		return time.Time{}, false
	}
	var millis int64
	for _, b := range id[:6] {
		millis = millis<<8 | int64(b)
	}
	return time.UnixMilli(millis), true
}

// Priority orders requests of one client account; a higher one goes first.
type Priority int8

const (
	// Low is for work that may wait, such as summaries made overnight.
	Low Priority = -1
	// Normal is the priority of a request that names none.
	Normal Priority = 0
	// High is for a person who waits, such as a deadline check.
	High Priority = 1
)

// Valid tells whether the priority is one of the three.
func (p Priority) Valid() bool { return p >= Low && p <= High }
