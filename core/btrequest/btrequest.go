// Package btrequest defines the types that all parts of the request path share: the
// outcome of a request, the reason for it, its priority and its idempotency key, and
// the refusal that a caller is answered with.
package btrequest

import (
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"
)

// Outcome is the result of a request as reported to the caller. Each request ends in
// exactly one of the three.
type Outcome string

const (
	// Done means that the target ran the request and its complete answer is returned.
	Done Outcome = "done"
	// NotRun means that there is evidence that no target ran the request and that
	// none will.
	NotRun Outcome = "not_run"
	// Unknown means that the request may have run: the connection was lost after it
	// was sent, or the evidence that it didn't run is gone.
	Unknown Outcome = "unknown"
)

// Valid reports whether the outcome is one of the three.
func (o Outcome) Valid() bool { return o == Done || o == NotRun || o == Unknown }

// Reason identifies why a request was refused, retried or abandoned. It is in snake
// case, as it is also used as a counter's name and as a field of logs and error bodies.
type Reason string

// MaxKeyBytes is the maximum length of an idempotency key.
const MaxKeyBytes = 255

// ErrKey is wrapped by the error of every malformed idempotency key.
var ErrKey = errors.New("malformed idempotency key")

// Key is a caller's idempotency key: a request with a key runs at most once. The zero
// Key means that there is none.
type Key string

// Validate returns an error if the key is too long or contains a space or a byte that
// isn't printable ASCII. The error wraps ErrKey.
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

// Time returns the creation time of a key that is a UUID of version 7, to the
// millisecond; false for any other key.
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
	// Low is for batch work that may wait, such as summaries made overnight.
	Low Priority = -1
	// Normal is the priority of a request that names none.
	Normal Priority = 0
	// High is for requests that a person waits for, such as a deadline check.
	High Priority = 1
)

// Valid reports whether the priority is one of the three.
func (p Priority) Valid() bool { return p >= Low && p <= High }
