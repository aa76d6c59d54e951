package btretry

import "time"

// slackBurst is the part of the slack that may be taken at once. The rest accrues over a
// window, so that a bucket that starts empty never holds more than has accrued since its
// process started.
const slackBurst = 0.5

// slackBucket is a token bucket for the slack of a window.
type slackBucket struct {
	tokens    float64
	updatedAt time.Time
}

// refill adds the tokens that have accrued. While there is no slack, the time of an
// empty bucket doesn't advance: its tokens accrue once the slack is known.
func (b *slackBucket) refill(now time.Time, c WindowConfig) {
	if c.Slack == 0 && b.tokens == 0 {
		return
	}
	if elapsed := now.Sub(b.updatedAt); elapsed > 0 && c.Window > 0 {
		b.tokens += c.Slack * (1 - slackBurst) * (elapsed.Seconds() / c.Window.Seconds())
		b.updatedAt = now
	}
	b.tokens = min(b.tokens, c.Slack*slackBurst)
}

// take takes tokens, or returns false if there are too few.
func (b *slackBucket) take(tokens float64) bool {
	if b.tokens < tokens {
		return false
	}
	b.tokens -= tokens
	return true
}

// grantFraction is the part of its tokens that a bucket grants to another entry at a time.
const grantFraction = 0.25

// grant removes tokens for another entry.
func (b *slackBucket) grant() float64 {
	granted := b.tokens * grantFraction
	b.tokens -= granted
	return granted
}
