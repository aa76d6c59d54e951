package btlimit

import (
	"math"
	"slices"
	"time"

	"bilberrytide/core/btid"
)

const (
	// holdDecay is what one ended request leaves of the weight of those before.
	holdDecay = 0.9
	// returnShare is the share of an account's places that is promised to
	// refused requests when they come back; the rest is for new ones.
	returnShare = 0.5
	// retryJitter is the largest share by which a time to come back is
	// lengthened.
	retryJitter = 0.1
	// headroom is how much more than its present use an entry asks for.
	headroom = 1.25
)

// account is an entry's state of one client account.
type account struct {
	name  btid.Account
	limit Limit
	shape uint64
	home  btid.Entry
	rank  int
	// of is the terms that the fields above were computed from.
	of *terms

	slots  portion
	tokens portion
	// end is when lent units may no longer be used.
	end    time.Time
	bucket *bucket

	running int
	long    int
	// hold is the decayed mean time that a request runs.
	hold time.Duration

	number   uint64
	asked    time.Time
	answered bool
	// wanted is what the last ask asked for.
	wantedSlots  int
	wantedTokens int
	// current and last are the demand of this window and of the one before.
	window  time.Time
	current demand
	last    demand

	slotBooked  time.Time
	tokenBooked time.Time
}

// demand is what callers asked for in one window.
type demand struct {
	// arrived counts requests.
	arrived int
	// slots is the most that ran at once, and those turned away for want of one.
	slots int
}

// portion is the units of one kind that an entry may use.
type portion struct {
	fixed int
	lent  int
}

func (p portion) all() int { return p.fixed + p.lent }

// wait is what a time to come back is computed from.
type wait struct {
	// next is the time until a place is free, each the time between two places
	// promised, booked the time up to which places are promised.
	next   time.Duration
	each   time.Duration
	booked *time.Time
}

// account returns the state of a listed account, nil for any other.
func (h *Holder) account(name btid.Account) *account {
	if a := h.accounts[name]; a != nil {
		return a
	}
	if _, listed := h.terms.accounts[name]; !listed {
		return nil
	}
	a := &account{name: name, asked: h.started, answered: true, window: h.now, hold: time.Second}
	h.accounts[name] = a
	at, _ := slices.BinarySearch(h.names, name)
	h.names = slices.Insert(h.names, at, name)
	return a
}

// forget drops accounts that stand as new ones would.
func (h *Holder) forget() {
	h.names = slices.DeleteFunc(h.names, func(name btid.Account) bool {
		a := h.accounts[name]
		_, listed := h.terms.accounts[name]
		fresh := a.end.IsZero() && a.current == demand{} && a.last == demand{}
		if a.bucket != nil {
			fresh = fresh && a.bucket.full(h.now)
		}
		if a.running > 0 || listed && !fresh {
			return false
		}
		delete(h.accounts, name)
		return true
	})
}

// settle brings the account's shares up to the present time.
func (h *Holder) settle(a *account) {
	if !a.end.IsZero() && !a.end.After(h.now) {
		end := a.end
		a.endLease()
		h.resize(a, end)
	}
	for len(h.history) > 0 && !h.history[0].slots.After(h.now) {
		h.history = h.history[1:]
	}
	if a.of != h.terms {
		h.renewTerms(a)
	}
	h.resize(a, h.now)
}

func (a *account) endLease() {
	a.end = time.Time{}
	a.slots.lent = 0
	a.tokens.lent = 0
}

// renewTerms takes over the limits in force. Lent units of another shape are
// given up.
func (h *Holder) renewTerms(a *account) {
	a.of = h.terms
	a.limit = h.terms.accounts[a.name]
	a.limit.Account = a.name
	a.home, _ = Home(a.name, h.terms.entries)
	a.rank = h.terms.rank(a.name, h.self)
	if shape := h.terms.shape(a.limit); shape != a.shape {
		a.shape = shape
		a.endLease()
	}
}

// resize computes the fixed shares, which bundles of late may hold back, and
// fits the bucket to the units. A change of the limit alone holds back nothing:
// see share.
func (h *Holder) resize(a *account, now time.Time) {
	slots, tokens, perSecond := h.fixed(h.terms, a.limit, a.rank)
	for _, p := range h.history {
		limit, listed := p.terms.accounts[a.name]
		if !listed {
			continue
		}
		moved := p.terms.digest != h.terms.digest
		s, t, r := h.fixed(p.terms, limit, p.terms.rank(a.name, h.self))
		if moved && p.slots.After(h.now) {
			slots = min(slots, s)
		}
		if (moved || limit.Burst != a.limit.Burst) && p.tokens.After(h.now) {
			tokens = min(tokens, t)
			perSecond = min(perSecond, r)
		}
	}
	a.slots.fixed = slots
	a.tokens.fixed = tokens
	if a.limit.Rate <= 0 {
		a.bucket = nil
		return
	}
	perSecond += float64(a.tokens.lent) * a.limit.Rate / float64(a.limit.Burst)
	if a.bucket == nil {
		a.bucket = newBucket(h.started, a.tokens.all(), perSecond)
		return
	}
	a.bucket.resize(now, a.tokens.all(), perSecond)
}

// fixed returns the fixed slots and tokens, and the rate of the latter.
func (h *Holder) fixed(t *terms, l Limit, rank int) (int, int, float64) {
	n := len(t.entries)
	slots := math.MaxInt32
	if l.Concurrency > 0 {
		slots = share(h.settings.fixed(l.Concurrency, n), rank, n)
	}
	if l.Rate <= 0 {
		return slots, math.MaxInt32, math.Inf(1)
	}
	tokens := share(h.settings.fixed(l.Burst, n), rank, n)
	return slots, tokens, float64(tokens) * l.Rate / float64(l.Burst)
}

// slotFree tells whether a request may run. A long one needs a fixed slot.
func (a *account) slotFree(long bool) bool {
	if long && a.long >= a.slots.fixed {
		return false
	}
	return a.running < a.slots.all()
}

func (a *account) take(long bool) {
	a.running++
	a.current.slots = max(a.current.slots, a.running)
	if long {
		a.long++
	}
}

func (a *account) release(long bool, held time.Duration) {
	a.running--
	if long {
		a.long--
	}
	a.hold = time.Duration(holdDecay*float64(a.hold) + (1-holdDecay)*float64(held))
}

// slotWait: running requests end one by one in the mean time that they run.
func (a *account) slotWait() wait {
	places := max(a.running, 1)
	next := a.hold / time.Duration(places)
	return wait{next: next, each: time.Duration(float64(next) / returnShare), booked: &a.slotBooked}
}

func (a *account) tokenWait(now time.Time) wait {
	if a.bucket.tokens == 0 || a.bucket.rate <= 0 {
		each := time.Duration(float64(time.Second) / a.limit.Rate / returnShare)
		return wait{each: each, booked: &a.tokenBooked}
	}
	next := time.Duration(a.bucket.wait(now) * float64(time.Second))
	each := time.Duration(float64(time.Second) / a.bucket.rate / returnShare)
	return wait{next: next, each: each, booked: &a.tokenBooked}
}
