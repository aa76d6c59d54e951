package btlimit

import (
	"math"
	"time"
)

const (
	// askTimeoutIntervals is how many ask intervals to wait for an answer.
	askTimeoutIntervals = 5
	// windowIntervals is how many ask intervals a demand window lasts.
	windowIntervals = 5
	// renewalsPerLease is how many times units are renewed within a lease.
	renewalsPerLease = 3
)

// ask asks the home for the units that the demand needs, or returns units that are no
// longer needed. It does nothing if no ask is due or the rate of asks is reached.
func (h *Holder) ask(a *account) {
	h.rollWindow(a)
	since := h.now.Sub(a.askedAt)
	if a.rank < 0 || since < h.settings.AskInterval || !a.answered && since < askTimeoutIntervals*h.settings.AskInterval {
		return
	}
	slots := min(h.wantSlots(a), h.lendable(a.limit.Concurrency))
	tokens := min(h.wantTokens(a), h.lendable(burstUnits(a.limit)))
	if !h.askDue(a, slots, tokens, since) || !h.askLimiter.AllowN(h.now, 1) {
		return
	}
	a.slots.lent = min(a.slots.lent, max(slots, a.running-a.slots.fixed))
	a.tokens.lent = min(a.tokens.lent, tokens)
	h.updateQuotas(a, h.now)
	h.lastAskNumber++
	a.askNumber = h.lastAskNumber
	a.askedAt = h.now
	a.answered = false
	a.wantedSlots = slots
	a.wantedTokens = tokens
	h.effects = append(h.effects, SendAsk{To: a.home, Ask: ShareAsk{
		Account:     a.name,
		From:        h.self,
		Incarnation: h.incarnation,
		Number:      a.askNumber,
		SentAt:      h.now,
		Shape:       a.shape,
		Slots:       Need{Held: a.slots.inUseAboveFixed(a.running), Want: slots},
		Tokens:      Need{Held: a.tokens.lent, Want: tokens},
		HeldFor:     max(0, a.leaseEnd.Sub(h.now)),
	}})
}

// inUseAboveFixed returns the units above the fixed share that may be in use until the
// next answer.
func (q quota) inUseAboveFixed(running int) int { return max(q.lent, running-q.fixed, 0) }

// askDue reports whether to ask: immediately if more units are wanted than the last ask
// asked for, otherwise several times per lease while units are lent or wanted.
func (h *Holder) askDue(a *account, slots, tokens int, since time.Duration) bool {
	if slots > max(a.slots.lent, a.wantedSlots) || tokens > max(a.tokens.lent, a.wantedTokens) {
		return true
	}
	renewing := a.slots.lent > 0 || a.tokens.lent > 0 || slots > 0 || tokens > 0
	return renewing && since >= h.settings.LeaseDuration/renewalsPerLease
}

// rollWindow starts a new demand window if the current one is over.
func (h *Holder) rollWindow(a *account) {
	passed := h.now.Sub(a.windowStart)
	if passed < h.windowLength() {
		return
	}
	a.last = a.current
	if passed >= 2*h.windowLength() {
		a.last = demand{peakSlots: a.running}
	}
	a.current = demand{peakSlots: a.running}
	a.windowStart = h.now
}

func (h *Holder) windowLength() time.Duration { return windowIntervals * h.settings.AskInterval }

// lendable returns how many of the units the home may lend.
func (h *Holder) lendable(units int) int {
	return units - h.settings.fixedUnits(units, len(h.limits.entries))
}

// wantSlots returns the slots wanted above the fixed share.
func (h *Holder) wantSlots(a *account) int {
	if a.limit.Concurrency <= 0 {
		return 0
	}
	return aboveFixed(float64(max(a.current.peakSlots, a.last.peakSlots)), a.slots.fixed)
}

// wantTokens returns the tokens wanted above the fixed share, from the arrival rate.
func (h *Holder) wantTokens(a *account) int {
	if a.limit.Rate <= 0 {
		return 0
	}
	perToken := a.limit.Rate / float64(a.limit.Burst)
	arrived := float64(max(a.current.arrivals, a.last.arrivals)) / h.windowLength().Seconds()
	return aboveFixed(arrived/perToken, a.tokens.fixed)
}

// aboveFixed returns the units needed above the fixed share for the use and its
// headroom. It is zero if the use is below the fixed share.
func aboveFixed(use float64, fixed int) int {
	if use < float64(fixed) {
		return 0
	}
	return max(0, int(math.Min(math.Ceil(use*headroom), MaxUnits))-fixed)
}
