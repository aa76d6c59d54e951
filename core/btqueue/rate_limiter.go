package btqueue

import (
	"time"

	"bilberrytide/core/btrate"
)

// rateLimiter enforces the request rate that the target advertises. All requests to the
// target pass through this queue, so it uses the whole rate.
type rateLimiter struct {
	limit  RateLimit
	bucket btrate.Bucket
	// bookedUntil is the end of the time already given to refused requests as retry
	// delays.
	bookedUntil time.Time
}

// set applies a rate limit. A bucket that comes into use starts with initialTokens, a
// fraction of one request.
func (l *rateLimiter) set(now time.Time, limit RateLimit, initialTokens float64) {
	if !limit.Active {
		*l = rateLimiter{}
		return
	}
	l.limit = limit
	l.bucket.SetRate(now, btrate.EffectiveRate(limit.PerSecond), initialTokens)
}

// wait returns the time until the target may be given a request.
func (l *rateLimiter) wait(now time.Time) time.Duration {
	if !l.limit.Active {
		return 0
	}
	l.bucket.SetRate(now, btrate.EffectiveRate(l.limit.PerSecond), 0)
	return l.bucket.Wait()
}

// take records that the target is given a request.
func (l *rateLimiter) take() {
	if l.limit.Active {
		l.bucket.Take()
	}
}

// bookRetry returns the retry delay of a refused request, at most longest. Each request
// books its own token, so that the delays of many callers cover the time for which they
// can't be served.
func (l *rateLimiter) bookRetry(now time.Time, longest time.Duration) time.Duration {
	first := now.Add(l.wait(now))
	if l.bookedUntil.Before(first) {
		l.bookedUntil = first
	}
	delay := min(l.bookedUntil.Sub(now), longest)
	if delay < longest {
		l.bookedUntil = l.bookedUntil.Add(time.Duration(float64(time.Second) / btrate.EffectiveRate(l.limit.PerSecond)))
	}
	return delay
}
