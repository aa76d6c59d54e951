package btrate

import (
	"math"
	"time"
)

// burstDuration is the time for which unused tokens accumulate beyond the first. A
// request arrives some time after its token, and the rate would go unused for that long
// each time.
const burstDuration = 400 * time.Millisecond

// Bucket is a token bucket. Requests that wait for a token debit it in advance, so the
// number of tokens can be negative. A Bucket is not safe for concurrent use.
type Bucket struct {
	perSecond float64
	tokens    float64
	updatedAt time.Time
}

// SetRate refills the bucket and sets its rate, in tokens per second. A bucket that
// comes into use holds at most initialTokens, a fraction of a token: entries that start
// to use a target don't all send at once, and an entry that leaves and returns gains
// nothing.
func (b *Bucket) SetRate(now time.Time, perSecond, initialTokens float64) {
	if b.perSecond == 0 && perSecond > 0 {
		b.tokens = min(b.tokens, initialTokens)
		b.updatedAt = now
	}
	if elapsed := now.Sub(b.updatedAt); elapsed > 0 {
		b.tokens = min(b.tokens+b.perSecond*elapsed.Seconds(), b.capacity())
		b.updatedAt = now
	}
	b.perSecond = perSecond
}

// capacity returns the largest number of tokens.
func (b *Bucket) capacity() float64 { return 1 + b.perSecond*burstDuration.Seconds() }

// Wait returns the time until a token is available, as of the last SetRate.
func (b *Bucket) Wait() time.Duration {
	if b.tokens >= 1 {
		return 0
	}
	if b.perSecond == 0 {
		return maxWait
	}
	seconds := (1 - b.tokens) / b.perSecond
	if seconds >= maxWait.Seconds() {
		return maxWait
	}
	return time.Duration(math.Ceil(seconds * float64(time.Second)))
}

// maxWait is longer than any request waits.
const maxWait = time.Hour

// Take debits a token.
func (b *Bucket) Take() { b.tokens-- }

// Refund returns the token of a request that was not sent.
func (b *Bucket) Refund() { b.tokens = min(b.tokens+1, b.capacity()) }
