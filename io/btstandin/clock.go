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

// SystemClock is the clock of the machine.
type SystemClock struct{}

var _ Clock = SystemClock{}

// Now returns the machine's time.
func (SystemClock) Now() time.Time { return time.Now() }

// After waits on the machine's time.
func (SystemClock) After(d time.Duration) <-chan time.Time { return time.After(d) }

// sleep waits for the duration or the end of the context, whose error it then
// returns.
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
