package btclaim

import "time"

// clockMarginDivisor: a lease holder uses one part in clockMarginDivisor less of its
// lease than its voters keep it. This is safe while the rates of any two clocks
// differ by less than one part in clockMarginDivisor/2.
const clockMarginDivisor = 16

// maxHold is the longest hold that a home may state in a LookupReply.
const maxHold = time.Minute

// withClockMargin returns how much of a duration stated by another process may be
// relied on, counted from before that process was queried.
func withClockMargin(d time.Duration) time.Duration { return d - d/clockMarginDivisor }

// clock holds the latest time read and never goes back. Leases and holds are measured
// by now, which is monotonic if the caller's times are. Times in messages and the
// retention of records are compared with wall.
type clock struct {
	now  time.Time
	wall time.Time
}

func (c *clock) advance(now time.Time) {
	if now.After(c.now) {
		c.now = now
	}
	if wall := now.Round(0); wall.After(c.wall) {
		c.wall = wall
	}
}

// elapsed returns the time since an earlier reading: the longer of the monotonic and
// the wall time, because the monotonic clock stops while a virtual machine is
// suspended.
func (c *clock) elapsed(since time.Time) time.Duration {
	return max(c.now.Sub(since), c.now.Round(0).Sub(since.Round(0)))
}
