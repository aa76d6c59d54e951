package btgate

import "time"

const (
	// waitShare is the part of the time left for which a request waits, and
	// waitMost the most: callers leave a stream that is silent for two seconds.
	waitShare = 0.25
	waitMost  = 1500 * time.Millisecond
	// lastCall is how long before it gives up a request whose caller hardly comes back
	// gets a promised place: half of the longest wait, so that it gets one that others
	// leave before.
	lastCall = waitMost / 2
	// beginShare bounds the time that work takes to begin as a part of the objective.
	// Under a crowd it grows until no request could be in time any more, and then none
	// goes before those that are late.
	beginShare = 0.5
)

// Caller is what is known of the caller of a request that has just come.
type Caller struct {
	// Left is how long the caller waits from now on; zero means that it didn't say.
	Left time.Duration
	// Usual is how long callers wait who come for the first time.
	Usual Deadlines
	// Objective is the time from the first try in which an answer is in time; zero
	// where there is none.
	Objective time.Duration
	// Timeout is the longest that the route allows.
	Timeout time.Duration
}

// again tells whether the caller has tried before. It hardly comes back after another
// refusal, as a rule not at all.
func (c Caller) again() bool {
	margin := time.Duration(againShare * float64(c.Usual.Longest))
	return c.Left > 0 && c.Left < c.Usual.Shortest-margin
}

// spent is how long ago the caller tried first, by the mean deadline of first tries.
func (c Caller) spent() time.Duration {
	if !c.again() {
		return 0
	}
	return (c.Usual.Shortest+c.Usual.Longest)/2 - c.Left
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
		most := time.Duration(beginShare * float64(c.Objective))
		r.InTime = now.Add(c.Objective - c.spent() - min(begin, most))
	}
	return r
}

// Patience returns for how long a request waits at the most whose caller waits for
// the given time.
func Patience(left time.Duration) time.Duration {
	return min(time.Duration(float64(left)*waitShare), waitMost)
}
