package btgate

import "time"

const (
	// againShare is the part of the usual deadline by which a caller's must be
	// shorter for it to have tried before: what a request takes on its way to the
	// entry is far less.
	againShare = 0.05
	// waitShare is the part of the time left for which a request waits, and
	// waitMost the most: callers leave a stream that is silent for two seconds.
	waitShare = 0.25
	waitMost  = 1500 * time.Millisecond
	// usualFor is for how long a deadline counts as usual after it was last seen:
	// callers who come for the first time come far more often.
	usualFor = 10 * time.Second
)

// Usual learns with how long a deadline callers come for the first time: the longest
// of late. One who has been refused or cut off comes back with what is left.
type Usual struct {
	longest time.Duration
	at      time.Time
}

// Add takes a caller's deadline in and returns the usual one.
func (u *Usual) Add(now time.Time, left time.Duration) time.Duration {
	if left >= u.longest || now.Sub(u.at) > usualFor {
		u.longest = left
		u.at = now
	}
	return u.longest
}

// Caller is what is known of the caller of a request that has just come.
type Caller struct {
	// Left is how long the caller waits from now on, Usual how long callers wait
	// who come for the first time. Zero means that it didn't say.
	Left, Usual time.Duration
	// Objective is the time from the first try in which an answer is in time; zero
	// where there is none.
	Objective time.Duration
	// Timeout is the longest that the route allows.
	Timeout time.Duration
}

// again tells whether the caller has tried before. It hardly comes back after another
// refusal, as a rule not at all.
func (c Caller) again() bool {
	return c.Left > 0 && float64(c.spent()) > againShare*float64(c.Usual)
}

// spent is how long ago the caller tried first.
func (c Caller) spent() time.Duration {
	if c.Left <= 0 {
		return 0
	}
	return max(c.Usual-c.Left, 0)
}

// Request returns what the gate knows of the caller's request. Begin is how long
// work takes until an answer begins.
func (c Caller) Request(now time.Time, priority int, begin time.Duration) Request {
	left := c.Timeout
	if c.Left > 0 {
		left = min(left, c.Left)
	}
	r := Request{
		Priority: priority,
		Until:    now.Add(Patience(left)),
		Last:     c.again(),
	}
	if c.Objective > 0 {
		r.InTime = now.Add(c.Objective - c.spent() - begin)
	}
	return r
}

// Patience returns for how long a request waits at the most whose caller waits for
// the given time.
func Patience(left time.Duration) time.Duration {
	return min(time.Duration(float64(left)*waitShare), waitMost)
}
