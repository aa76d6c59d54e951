package btlimit

import (
	"math"
	"time"
)

const (
	// askTimeout is how many ask intervals an entry waits for an answer.
	askTimeout = 5
	// windowAsks is how many ask intervals demand is measured over.
	windowAsks = 5
	// renewals is how many times in a lease its units are asked for anew.
	renewals = 3
)

// ask asks the home for what the demand calls for, or gives back what it no
// longer does.
func (h *Holder) ask(a *account) {
	h.roll(a)
	since := h.now.Sub(a.asked)
	if a.rank < 0 || since < h.settings.AskInterval || !a.answered && since < askTimeout*h.settings.AskInterval {
		return
	}
	slots := min(h.wantSlots(a), h.pool(a.limit.Concurrency))
	tokens := min(h.wantTokens(a), h.pool(burstUnits(a.limit)))
	if !h.due(a, slots, tokens, since) || !h.budget.AllowN(h.now, 1) {
		return
	}
	a.slots.lent = min(a.slots.lent, max(slots, a.running-a.slots.fixed))
	a.tokens.lent = min(a.tokens.lent, tokens)
	h.resize(a, h.now)
	h.number++
	a.number = h.number
	a.asked = h.now
	a.answered = false
	a.wantedSlots = slots
	a.wantedTokens = tokens
	h.effects = append(h.effects, SendAsk{To: a.home, Ask: ShareAsk{
		Account:     a.name,
		From:        h.self,
		Incarnation: h.incarnation,
		Number:      a.number,
		SentAt:      h.now,
		Shape:       a.shape,
		Slots:       Need{Held: a.slots.heldAbove(a.running), Want: slots},
		Tokens:      Need{Held: a.tokens.lent, Want: tokens},
		HeldFor:     max(0, a.end.Sub(h.now)),
	}})
}

// heldAbove is what may be in use above the fixed share until the next answer.
func (p portion) heldAbove(running int) int { return max(p.lent, running-p.fixed, 0) }

// due tells whether there is something to ask for: at once when more is wanted
// than was asked for last, and else several times in a lease as long as units
// are lent or wanted.
func (h *Holder) due(a *account, slots, tokens int, since time.Duration) bool {
	if slots > max(a.slots.lent, a.wantedSlots) || tokens > max(a.tokens.lent, a.wantedTokens) {
		return true
	}
	open := a.slots.lent > 0 || a.tokens.lent > 0 || slots > 0 || tokens > 0
	return open && since >= h.settings.LeaseDuration/renewals
}

// roll begins a new window of demand when the present one is over.
func (h *Holder) roll(a *account) {
	passed := h.now.Sub(a.window)
	if passed < h.window() {
		return
	}
	a.last = a.current
	if passed >= 2*h.window() {
		a.last = demand{slots: a.running}
	}
	a.current = demand{slots: a.running}
	a.window = h.now
}

func (h *Holder) window() time.Duration { return windowAsks * h.settings.AskInterval }

// pool is what the home can lend of the units.
func (h *Holder) pool(units int) int {
	return units - h.settings.fixed(units, len(h.terms.entries))
}

// wantSlots is the slots wanted above the fixed share.
func (h *Holder) wantSlots(a *account) int {
	if a.limit.Concurrency <= 0 {
		return 0
	}
	return above(float64(max(a.current.slots, a.last.slots)), a.slots.fixed)
}

// wantTokens is the tokens wanted above the fixed share, from the rate of
// arrivals.
func (h *Holder) wantTokens(a *account) int {
	if a.limit.Rate <= 0 {
		return 0
	}
	perToken := a.limit.Rate / float64(a.limit.Burst)
	arrived := float64(max(a.current.arrived, a.last.arrived)) / h.window().Seconds()
	return above(arrived/perToken, a.tokens.fixed)
}

// above is what use and its headroom need above the fixed share: nothing while
// the use itself stays below it.
func above(use float64, fixed int) int {
	if use < float64(fixed) {
		return 0
	}
	return max(0, int(math.Min(math.Ceil(use*headroom), MaxUnits))-fixed)
}
