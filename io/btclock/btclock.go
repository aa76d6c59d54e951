// Package btclock provides a clock that counts the time for which the host is
// suspended.
//
// The monotonic clock, which time.Now reads together with the time of day, stops while
// a host is suspended. The time of day continues but may be set. A process that relied
// on the monotonic clock alone would resume with outdated state that it takes for
// fresh, and for callers that have long given up.
package btclock

import (
	"fmt"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// minDivergence is the difference from which two clocks count as having diverged.
	// It is far below any timeout, and above the difference between two readings.
	minDivergence = time.Millisecond
	// bootCheckInterval is how often the boot clock is read even if the other clocks
	// agree: setting the time of day back by just the time of a suspension hides the
	// suspension.
	bootCheckInterval = time.Second
	// maxReadings limits the attempts to read two clocks without a delay by the
	// scheduler in between.
	maxReadings = 3
)

// Source reads the host's clocks, each relative to an origin of its own.
type Source interface {
	// Now returns the monotonic clock and the time of day.
	Now() (monotonic, day time.Duration)
	// Boot returns the clock that continues while the host is suspended.
	Boot() (time.Duration, error)
}

// Clock tells the time. It never goes back and ignores changes of the time of day. It
// is safe for concurrent use.
type Clock struct {
	source   Source
	origin   time.Time
	onResume func(time.Duration)

	mu sync.Mutex
	// bootOffset is the initial difference between the boot clock and the monotonic
	// clock.
	bootOffset time.Duration
	// dayOffset is the difference between the time of day and the monotonic clock at
	// the last reading of the boot clock, checkedAt the time of that reading.
	dayOffset, checkedAt time.Duration
	// suspended is the total time for which the host has been suspended.
	suspended time.Duration
}

// New returns a clock that shows origin now. onResume, which may be nil, is called with
// the length of each suspension that is detected. The error is that of a host without a
// boot clock.
func New(source Source, origin time.Time, onResume func(time.Duration)) (*Clock, error) {
	monotonic, day := source.Now()
	boot, err := source.Boot()
	if err != nil {
		return nil, fmt.Errorf("clock that counts suspensions: %w", err)
	}
	return &Clock{
		source:     source,
		origin:     origin.Add(-monotonic),
		onResume:   onResume,
		bootOffset: boot - monotonic,
		dayOffset:  day - monotonic,
		checkedAt:  monotonic,
	}, nil
}

// Now returns the time. The difference between two readings is the time that has passed
// between them, suspensions included.
func (c *Clock) Now() time.Time {
	c.mu.Lock()
	monotonic, day := c.source.Now()
	before := c.suspended
	if (day-monotonic-c.dayOffset).Abs() >= minDivergence || monotonic-c.checkedAt >= bootCheckInterval {
		c.readBoot()
		c.dayOffset = day - monotonic
		c.checkedAt = monotonic
	}
	now := c.origin.Add(monotonic + c.suspended)
	suspension := c.suspended - before
	c.mu.Unlock()
	if suspension > 0 && c.onResume != nil {
		c.onResume(suspension)
	}
	return now
}

// readBoot reads the boot clock and updates suspended. The monotonic clock that it is
// compared with is read after it, so a delay between the two makes a suspension look
// shorter, never longer. c.mu must be held.
func (c *Clock) readBoot() {
	for range maxReadings {
		first, _ := c.source.Now()
		boot, err := c.source.Boot()
		if err != nil {
			// The boot clock could be read at the start; the next attempt follows after
			// bootCheckInterval, a second later.
			return
		}
		monotonic, _ := c.source.Now()
		suspension := boot - c.bootOffset - monotonic
		if suspension >= c.suspended+minDivergence {
			c.suspended = suspension
		}
		if monotonic-first < minDivergence {
			return
		}
	}
}

// System reads the clocks of this host. It implements Source.
type System struct {
	start time.Time
}

// NewSystem returns the clocks of this host, starting from now.
func NewSystem() System { return System{start: time.Now()} }

// Now returns the monotonic clock and the time of day.
func (s System) Now() (monotonic, day time.Duration) {
	now := time.Now()
	return now.Sub(s.start), now.Round(0).Sub(s.start.Round(0))
}

// Boot returns CLOCK_BOOTTIME.
func (s System) Boot() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, err
	}
	return time.Duration(t.Nano()), nil
}
