package btlimit

import (
	"time"

	"golang.org/x/time/rate"
)

// bucket is a token bucket for an entry's share of an account's rate. Over all
// entries, the bursts sum to at most the account's burst and the rates to its rate.
type bucket struct {
	limiter *rate.Limiter
	burst   int
	rate    float64
}

// newBucket returns a bucket that was empty when the process started, so that a
// restart does not allow another burst.
func newBucket(started time.Time, tokens int, perSecond float64) *bucket {
	b := &bucket{limiter: rate.NewLimiter(rate.Limit(perSecond), tokens), burst: tokens, rate: perSecond}
	b.limiter.AllowN(started, tokens)
	return b
}

// resize changes the bucket from the given time on. Tokens above a smaller burst are
// discarded; a larger burst is filled only at the bucket's rate.
func (b *bucket) resize(now time.Time, tokens int, perSecond float64) {
	if tokens == b.burst && perSecond == b.rate {
		return
	}
	b.limiter.SetLimitAt(now, rate.Limit(perSecond))
	b.limiter.SetBurstAt(now, tokens)
	b.burst = tokens
	b.rate = perSecond
}

func (b *bucket) allow(now time.Time) bool {
	return b.burst > 0 && b.limiter.AllowN(now, 1)
}

// full reports whether the bucket is full, as a new one would be by now.
func (b *bucket) full(now time.Time) bool {
	return b.limiter.TokensAt(now) >= float64(b.burst)
}

// waitSeconds returns the seconds until the next token.
func (b *bucket) waitSeconds(now time.Time) float64 {
	return max(0, 1-b.limiter.TokensAt(now)) / b.rate
}
