package btretry

import (
	"time"

	"golang.org/x/time/rate"
)

// Budget limits retries to a share of the requests. Over any period of time it
// grants at most
//
//	Burst + BudgetShare*requests + Burst + FloorRate*seconds
//
// retries. The share is counted in requests rather than time, which the rate
// limiter of the library can't do; the floor is counted in time and uses it. A
// Budget is not safe for concurrent use.
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

// Configure replaces the share, burst and floor. Retries already taken stay
// counted, so that a new bundle grants no new burst.
func (b *Budget) Configure(now time.Time, c Config) {
	next := NewBudget(c)
	b.share, b.burst = next.share, next.burst
	b.tokens = min(b.tokens, b.burst)
	b.floor.SetLimitAt(now, next.floor.Limit())
	b.floor.SetBurstAt(now, next.floor.Burst())
}

// CountRequest counts the first attempt of a request.
func (b *Budget) CountRequest() { b.tokens = min(b.tokens+b.share, b.burst) }

// Take takes one retry from the budget, or returns false if none is left.
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
