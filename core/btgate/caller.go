package btgate

import "time"

const (
	// waitFraction is the fraction of its remaining time that a request waits in the
	// queue, up to waitCap. Clients abort a stream that is stalled for two seconds.
	waitFraction = 0.25
	waitCap      = 1500 * time.Millisecond
	// lastAttemptWindow is how long before it gives up a last attempt can use a
	// reserved slot. It is half of the longest wait, so that the request can take a
	// slot that is released before then.
	lastAttemptWindow = waitCap / 2
	// maxStartLatencyFraction caps the start latency that is subtracted from the
	// objective. Under overload the latency grows until no request could be in time,
	// and then none would take precedence over late ones.
	maxStartLatencyFraction = 0.5
)

// Caller describes the caller of a new request.
type Caller struct {
	// Remaining is how long the caller still waits; zero means that it set no deadline.
	Remaining time.Duration
	// FirstAttempt is the range of the deadlines of first attempts.
	FirstAttempt DeadlineRange
	// Objective is the time from the first attempt within which a response counts as in
	// time; zero means that there is no objective.
	Objective time.Duration
	// Timeout is the longest time that the route allows.
	Timeout time.Duration
}

// isRetry reports whether the caller has tried before. Such a caller rarely retries
// after another refusal.
func (c Caller) isRetry() bool {
	margin := time.Duration(retryMargin * float64(c.FirstAttempt.Longest))
	return c.Remaining > 0 && c.Remaining < c.FirstAttempt.Shortest-margin
}

// elapsed returns the estimated time since the caller's first attempt, from the middle
// of the range of first-attempt deadlines.
func (c Caller) elapsed() time.Duration {
	if !c.isRetry() {
		return 0
	}
	return (c.FirstAttempt.Shortest+c.FirstAttempt.Longest)/2 - c.Remaining
}

// Request returns the queueing parameters of the caller's request. StartLatency is the
// expected time from admission to the start of the response.
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

// MaxWait returns the longest time in the queue for a request whose caller waits for
// the remaining time.
func MaxWait(remaining time.Duration) time.Duration {
	return min(time.Duration(float64(remaining)*waitFraction), waitCap)
}
