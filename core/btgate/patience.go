package btgate

import "time"

const (
	// lastShare is the part of the usual deadline below which a caller has so
	// little time left that it hardly comes back after another refusal: as a rule
	// it has come back after one already, when at most a third was gone.
	lastShare = 0.75
	// waitShare is the part of the time left for which a request waits, and
	// waitMost the most: callers leave a stream that is silent for two seconds.
	waitShare = 0.25
	waitMost  = 1500 * time.Millisecond
)

// Caller is what is known of the caller of a request that has just come.
type Caller struct {
	// Left is how long the caller waits from now on, Usual how long callers wait
	// who come for the first time. Zero means that it didn't say.
	Left, Usual time.Duration
	// Objective is the time from the first try in which an answer is in time; zero
	// where there is none.
	Objective time.Duration
}

// last tells whether a refusal would be the caller's last.
func (c Caller) last() bool {
	return c.Left > 0 && float64(c.Left) < lastShare*float64(c.Usual)
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
	left := c.Left
	if left <= 0 {
		left = c.Usual
	}
	r := Request{
		Priority: priority,
		Until:    now.Add(min(time.Duration(float64(left)*waitShare), waitMost)),
		Last:     c.last(),
	}
	if c.Objective > 0 {
		r.InTime = now.Add(c.Objective - c.spent() - begin)
	}
	return r
}
