// Package btclock tells the time that passes, also while the machine is suspended.
//
// The steady clock, which time.Now reads beside the time of day, stands still while a
// machine is suspended; the time of day runs on, but may be set. A process that goes by
// the steady clock alone wakes up believing that what it knew is as fresh as before,
// and that its callers still wait.
package btclock

import (
	"fmt"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// step is from which difference on two clocks are taken to have parted: far below
	// any time that is decided by, above what two readings differ by.
	step = time.Millisecond
	// recheck is how often the clock that runs on is read though the others agree: a
	// time of day that is set back by just the time of a suspension hides it.
	recheck = time.Second
	// readings is how often a reading is tried that the scheduler has torn apart.
	readings = 3
)

// Source reads the machine's clocks, each from an origin of its own.
type Source interface {
	// Now reads the steady clock and the time of day.
	Now() (steady, day time.Duration)
	// Boot reads the clock that runs on while the machine is suspended.
	Boot() (time.Duration, error)
}

// Clock tells the time. It never goes back, and it doesn't follow the time of day when
// that is set. It is safe for concurrent use.
type Clock struct {
	source Source
	origin time.Time
	woke   func(time.Duration)

	mu sync.Mutex
	// started is what the boot clock showed before the steady one, at first.
	started time.Duration
	// parted is what the time of day was ahead of the steady clock, at the last
	// reading of the boot clock, checked when that was.
	parted, checked time.Duration
	// suspended is for how long the machine has been suspended.
	suspended time.Duration
}

// New returns a clock that shows origin now. Woke, which may be nil, is called with the
// length of each suspension that is found out. The error is that of a machine without a
// boot clock.
func New(source Source, origin time.Time, woke func(time.Duration)) (*Clock, error) {
	steady, day := source.Now()
	boot, err := source.Boot()
	if err != nil {
		return nil, fmt.Errorf("clock that counts suspensions: %w", err)
	}
	return &Clock{
		source:  source,
		origin:  origin.Add(-steady),
		woke:    woke,
		started: boot - steady,
		parted:  day - steady,
		checked: steady,
	}, nil
}

// Now returns the time. Two readings are apart by all the time that has passed between
// them.
func (c *Clock) Now() time.Time {
	c.mu.Lock()
	steady, day := c.source.Now()
	before := c.suspended
	if (day-steady-c.parted).Abs() >= step || steady-c.checked >= recheck {
		c.check()
		c.parted = day - steady
		c.checked = steady
	}
	now := c.origin.Add(steady + c.suspended)
	slept := c.suspended - before
	c.mu.Unlock()
	if slept > 0 && c.woke != nil {
		c.woke(slept)
	}
	return now
}

// check reads the boot clock. A reading of it is compared with one of the steady clock
// that is made later, so that a pause between the two makes the suspension look shorter
// and never longer. The lock is held.
func (c *Clock) check() {
	for range readings {
		first, _ := c.source.Now()
		boot, err := c.source.Boot()
		if err != nil {
			// It was read at the start; it is tried again a second later.
			return
		}
		steady, _ := c.source.Now()
		slept := boot - c.started - steady
		if slept >= c.suspended+step {
			c.suspended = slept
		}
		if steady-first < step {
			return
		}
	}
}

// System reads the clocks of this machine.
type System struct {
	start time.Time
}

// NewSystem returns the clocks of this machine, from now on.
func NewSystem() System { return System{start: time.Now()} }

// Now reads the steady clock and the time of day.
func (s System) Now() (steady, day time.Duration) {
	now := time.Now()
	return now.Sub(s.start), now.Round(0).Sub(s.start.Round(0))
}

// Boot reads CLOCK_BOOTTIME.
func (s System) Boot() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, err
	}
	return time.Duration(t.Nano()), nil
}
