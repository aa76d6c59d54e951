package btlimit

import (
	"time"

	"golang.org/x/time/rate"
)

// bucket is an entry's share of an account's rate. The tokens of all entries'
// buckets sum to at most the account's burst, and their rates to its rate.
type bucket struct {
	limiter *rate.Limiter
	tokens  int
	rate    float64
}

// newBucket returns a bucket that was empty when the process started, so that a
// restart brings no new burst.
func newBucket(started time.Time, tokens int, perSecond float64) *bucket {
	b := &bucket{limiter: rate.NewLimiter(rate.Limit(perSecond), tokens), tokens: tokens, rate: perSecond}
	b.limiter.AllowN(started, tokens)
	return b
}

// resize changes the share from a time on. Tokens above the new size are gone;
// a larger size brings none but those of its rate.
func (b *bucket) resize(now time.Time, tokens int, perSecond float64) {
	if tokens == b.tokens && perSecond == b.rate {
		return
	}
	b.limiter.SetLimitAt(now, rate.Limit(perSecond))
	b.limiter.SetBurstAt(now, tokens)
	b.tokens = tokens
	b.rate = perSecond
}

func (b *bucket) allow(now time.Time) bool {
	return b.tokens > 0 && b.limiter.AllowN(now, 1)
}

// full tells whether the bucket is as a new one would be.
func (b *bucket) full(now time.Time) bool {
	return b.limiter.TokensAt(now) >= float64(b.tokens)
}

// wait returns the time until the next token.
func (b *bucket) wait(now time.Time) float64 {
	return max(0, 1-b.limiter.TokensAt(now)) / b.rate
}
