package btrate

import (
	"math"
	"time"
)

// burstDuration is for how long a token waits for a request beside the one before it: a request
// comes some time after its token, and the rate would be lost for that long each time.
const burstDuration = 400 * time.Millisecond

// Bucket is a token bucket. It is debited for requests that wait for their token. It is
// not safe for concurrent use.
type Bucket struct {
	perSecond float64
	tokens    float64
	updatedAt time.Time
}

// SetRate brings the bucket up to date and puts a rate in force. One that comes into use holds
// only a part of a token: entries that take a target up together don't all send at once,
// and one that is gone and back gains nothing.
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

// capacity is how many requests the bucket holds at the most.
func (b *Bucket) capacity() float64 { return 1 + b.perSecond*burstDuration.Seconds() }

// Wait returns how long it takes until there is a token; the bucket is up to date.
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

// maxWait is a wait that no request lasts for.
const maxWait = time.Hour

// Take debits a request.
func (b *Bucket) Take() { b.tokens-- }

// Refund credits a request that was not sent.
func (b *Bucket) Refund() { b.tokens = min(b.tokens+1, b.capacity()) }
