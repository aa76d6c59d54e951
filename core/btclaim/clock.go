package btclaim

import "time"

// Rates of any two clocks differ by less than one part in leaseMargin/2: a
// holder uses its lease for that much less than its voters keep it.
const leaseMargin = 16

// maxHold bounds the promise behind not_run.
const maxHold = time.Minute

// usable is how much of a promised duration its receiver may rely on, counted
// from before it asked.
func usable(d time.Duration) time.Duration { return d - d/leaseMargin }

// clock never goes back. Promises of seconds are timed between readings as they
// came in (monotonic where the caller's are). What is compared with times in
// messages, and how long records are kept, goes by wall time.
type clock struct {
	now  time.Time
	wall time.Time
}

func (c *clock) read(now time.Time) {
	if now.After(c.now) {
		c.now = now
	}
	if wall := now.Round(0); wall.After(c.wall) {
		c.wall = wall
	}
}

// span is the time passed since an earlier reading, the longer of what the
// monotonic and the wall clock say: the former stands still while a virtual
// machine is suspended.
func (c *clock) span(since time.Time) time.Duration {
	return max(c.now.Sub(since), c.now.Round(0).Sub(since.Round(0)))
}
