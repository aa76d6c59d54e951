package btstandin

import (
	"context"
	"time"
)

// Clock is the source of time of every stand-in.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
	// After returns a channel that receives once the duration has passed.
	After(d time.Duration) <-chan time.Time
}

// SystemClock is the operating system's clock.
type SystemClock struct{}

var _ Clock = SystemClock{}

// Now returns the system time.
func (SystemClock) Now() time.Time { return time.Now() }

// After returns a channel that receives once the duration has passed.
func (SystemClock) After(d time.Duration) <-chan time.Time { return time.After(d) }

// sleep waits for the duration, or returns the context's error if that ends
// first.
func sleep(ctx context.Context, clock Clock, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	select {
	case <-clock.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
