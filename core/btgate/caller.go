package btgate

import "time"

const (
	// waitFraction is the part of the time left for which a request waits, and
	// waitMost the most: callers leave a stream that is silent for two seconds.
	waitFraction = 0.25
	waitCap      = 1500 * time.Millisecond
	// lastAttemptWindow is how long before it gives up a request whose caller hardly comes back
	// gets a promised place: half of the longest wait, so that it gets one that others
	// leave before.
	lastAttemptWindow = waitCap / 2
	// maxStartLatencyFraction bounds the time that work takes to begin as a part of the objective.
	// Under a crowd it grows until no request could be in time any more, and then none
	// goes before those that are late.
	maxStartLatencyFraction = 0.5
)

// Caller is what is known of the caller of a request that has just come.
type Caller struct {
	// Remaining is how long the caller waits from now on; zero means that it didn't say.
	Remaining time.Duration
	// FirstAttempt is how long callers wait who come for the first time.
	FirstAttempt DeadlineRange
	// Objective is the time from the first try in which an answer is in time; zero
	// where there is none.
	Objective time.Duration
	// Timeout is the longest that the route allows.
	Timeout time.Duration
}

// isRetry tells whether the caller has tried before. It hardly comes back after another
// refusal, as a rule not at all.
func (c Caller) isRetry() bool {
	margin := time.Duration(retryMargin * float64(c.FirstAttempt.Longest))
	return c.Remaining > 0 && c.Remaining < c.FirstAttempt.Shortest-margin
}

// elapsed is how long ago the caller tried first, by the mean deadline of first tries.
func (c Caller) elapsed() time.Duration {
	if !c.isRetry() {
		return 0
	}
	return (c.FirstAttempt.Shortest+c.FirstAttempt.Longest)/2 - c.Remaining
}

// Request returns what the gate knows of the caller's request. Begin is how long
// work takes until an answer begins.
func (c Caller) Request(now time.Time, priority int, startLatency time.Duration) Request {
	remaining := c.Timeout
	if c.Remaining > 0 {
		remaining = min(remaining, c.Remaining)
	}
	r := Request{
		Priority:    priority,
		WaitUntil:   now.Add(MaxWait(remaining)),
		LastAttempt: c.isRetry(),
	}
	if c.Objective > 0 {
		maxLatency := time.Duration(maxStartLatencyFraction * float64(c.Objective))
		r.StartBy = now.Add(c.Objective - c.elapsed() - min(startLatency, maxLatency))
	}
	return r
}

// MaxWait returns for how long a request waits at the most whose caller waits for
// the given time.
func MaxWait(remaining time.Duration) time.Duration {
	return min(time.Duration(float64(remaining)*waitFraction), waitCap)
}
