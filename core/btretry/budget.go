package btretry

import (
	"time"

	"golang.org/x/time/rate"
)

// Budget holds retries to a share of requests. Over any span of time the
// retries that it grants are at most
//
//	Burst + BudgetShare*requests + Burst + FloorRate*seconds
//
// The share is counted in requests and not in time, which a rate limiter of the
// library can't do; the floor, which is counted in time, is one. It is not safe
// for concurrent use.
type Budget struct {
	share, burst float64
	tokens       float64
	floor        *rate.Limiter
}

// NewBudget returns a full budget.
func NewBudget(c Config) *Budget {
	burst := max(c.Burst, 1)
	floorBurst := burst
	if c.FloorRate <= 0 {
		floorBurst = 0
	}
	return &Budget{
		share:  min(max(c.BudgetShare, 0), 1),
		burst:  float64(burst),
		tokens: float64(burst),
		floor:  rate.NewLimiter(rate.Limit(max(c.FloorRate, 0)), floorBurst),
	}
}

// Configure puts another share, burst and floor in force. What was taken stays
// taken, so that a change of the bundle grants no burst of retries.
func (b *Budget) Configure(now time.Time, c Config) {
	next := NewBudget(c)
	b.share, b.burst = next.share, next.burst
	b.tokens = min(b.tokens, b.burst)
	b.floor.SetLimitAt(now, next.floor.Limit())
	b.floor.SetBurstAt(now, next.floor.Burst())
}

// CountRequest counts one first attempt.
func (b *Budget) CountRequest() { b.tokens = min(b.tokens+b.share, b.burst) }

// Take takes one retry from the budget, or returns false where none is left.
func (b *Budget) Take(now time.Time) bool {
	if b.tokens >= 1 {
		b.tokens--
		return true
	}
	return b.floor.AllowN(now, 1)
}

// Available returns how many retries could be taken now.
func (b *Budget) Available(now time.Time) float64 {
	return b.tokens + max(b.floor.TokensAt(now), 0)
}
