package btqueue

import (
	"time"

	"bilberrytide/core/btrate"
)

// rateLimiter keeps to the rate of requests that the target names. The queue is the only way to
// the target, so that the whole rate is its own.
type rateLimiter struct {
	limit  RateLimit
	bucket btrate.Bucket
	// bookedUntil is the time up to which refused requests were told to come back.
	bookedUntil time.Time
}

// set puts a rate in force; part is how much of a request a first one begins with.
func (l *rateLimiter) set(now time.Time, limit RateLimit, initialTokens float64) {
	if !limit.Active {
		*l = rateLimiter{}
		return
	}
	l.limit = limit
	l.bucket.Set(now, btrate.Asked(limit.PerSecond), initialTokens)
}

// wait returns how long it takes until the target may be given a request.
func (l *rateLimiter) wait(now time.Time) time.Duration {
	if !l.limit.Active {
		return 0
	}
	l.bucket.Set(now, btrate.Asked(l.limit.PerSecond), 0)
	return l.bucket.Wait()
}

// take notes that the target is given a request.
func (l *rateLimiter) take() {
	if l.limit.Active {
		l.bucket.Take()
	}
}

// bookRetry returns when a refused request had better come back: each at a place of its own, so
// that many who press here are told to stay away for as long as they can't be taken.
func (l *rateLimiter) bookRetry(now time.Time, longest time.Duration) time.Duration {
	first := now.Add(l.wait(now))
	if l.bookedUntil.Before(first) {
		l.bookedUntil = first
	}
	delay := min(l.bookedUntil.Sub(now), longest)
	if delay < longest {
		l.bookedUntil = l.bookedUntil.Add(time.Duration(float64(time.Second) / btrate.Asked(l.limit.PerSecond)))
	}
	return delay
}
