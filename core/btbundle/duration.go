package btbundle

import (
	"errors"
	"fmt"
	"time"
)

// ErrDuration is wrapped by the error of every malformed duration.
var ErrDuration = errors.New("malformed duration")

// MarshalText returns the duration in Go's notation: "1m30s".
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText parses a duration that is not negative. The error wraps
// ErrDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	duration, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf(`%w: %q: write it as "250ms", "30s" or "24h"`, ErrDuration, text)
	}
	if duration < 0 {
		return fmt.Errorf("%w: %q is negative", ErrDuration, text)
	}
	d.Duration = duration
	return nil
}
