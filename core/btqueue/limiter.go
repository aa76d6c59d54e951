package btqueue

import (
	"time"

	"bilberrytide/core/btrate"
)

// limiter keeps to the rate of requests that the target names. The queue is the only way to
// the target, so that the whole rate is its own.
type limiter struct {
	limit  Rate
	bucket btrate.Bucket
	// promised is the time up to which refused requests were told to come back.
	promised time.Time
}

// named puts a rate in force; part is how much of a request a first one begins with.
func (l *limiter) named(now time.Time, limit Rate, part float64) {
	if !limit.Named {
		*l = limiter{}
		return
	}
	l.limit = limit
	l.bucket.Set(now, btrate.Asked(limit.PerSecond), part)
}

// wait returns how long it takes until the target may be given a request.
func (l *limiter) wait(now time.Time) time.Duration {
	if !l.limit.Named {
		return 0
	}
	l.bucket.Set(now, btrate.Asked(l.limit.PerSecond), 0)
	return l.bucket.Wait()
}

// take notes that the target is given a request.
func (l *limiter) take() {
	if l.limit.Named {
		l.bucket.Take()
	}
}

// next returns when a refused request had better come back: each at a place of its own, so
// that many who press here are told to stay away for as long as they can't be taken.
func (l *limiter) next(now time.Time, most time.Duration) time.Duration {
	first := now.Add(l.wait(now))
	if l.promised.Before(first) {
		l.promised = first
	}
	after := min(l.promised.Sub(now), most)
	if after < most {
		l.promised = l.promised.Add(time.Duration(float64(time.Second) / btrate.Asked(l.limit.PerSecond)))
	}
	return after
}
