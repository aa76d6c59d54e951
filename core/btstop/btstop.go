// Package btstop plans the graceful shutdown of an entry: which requests it accepts
// and refuses at what time, so that no request that it has read is cut off at the
// end.
package btstop

import "time"

const (
	// BalancerLag is how long the external load balancer may send new connections
	// after the readiness check starts to fail: it checks each second and acts on
	// the second failure.
	BalancerLag = 2500 * time.Millisecond
	// ExitMargin is the part of the grace period reserved for the exit of the
	// process itself.
	ExitMargin = 500 * time.Millisecond
	// AnswerReserve is how long before the end the last request is accepted. Short
	// requests have deadlines of 1 to 1.5 s in the known deployments, so that one
	// accepted last is answered before the connections are closed.
	AnswerReserve = 1500 * time.Millisecond
	// maxReserveShare bounds AnswerReserve as a share of the grace period, so that a
	// short one leaves time to serve.
	maxReserveShare = 0.25
)

// Phase is what a stopping entry does with a request that it has just read.
type Phase string

const (
	// Serving: every request is served.
	Serving Phase = "serving"
	// NoStreams: streams are refused with the time after which to retry; other
	// requests are served.
	NoStreams Phase = "no_streams"
	// Closing: no connection is accepted any more. What comes on those that are open is
	// treated as in NoStreams: each connection is closed after its answer, so that this
	// ends soon.
	Closing Phase = "closing"
	// Refusing: every request is refused as not run, with the time after which to
	// retry. Accepted ones are still answered.
	Refusing Phase = "refusing"
	// Ended: whatever is still open is cut off.
	Ended Phase = "ended"
)

// Plan has the times of a shutdown, relative to its start.
type Plan struct {
	// StreamCutoff is until when streams are accepted.
	StreamCutoff time.Duration
	// RequestCutoff is until when other requests are accepted while streams are
	// open.
	RequestCutoff time.Duration
	// End is until when accepted requests are answered.
	End time.Duration
}

// New returns the plan for a process that is killed after the grace period.
func New(grace time.Duration) Plan {
	end := max(grace-ExitMargin, 0)
	reserve := min(AnswerReserve, time.Duration(maxReserveShare*float64(grace)))
	last := max(end-reserve, 0)
	return Plan{StreamCutoff: min(BalancerLag, last), RequestCutoff: last, End: end}
}

// Phase returns the phase at a time since the start of the shutdown. streams tells
// whether any stream is open: without one, the entry accepts no connections as soon
// as the load balancer has stopped sending them.
func (p Plan) Phase(elapsed time.Duration, streams bool) Phase {
	switch {
	case elapsed >= p.End:
		return Ended
	case elapsed >= p.RequestCutoff:
		return Refusing
	case elapsed < p.StreamCutoff:
		return Serving
	case streams:
		return NoStreams
	}
	return Closing
}
