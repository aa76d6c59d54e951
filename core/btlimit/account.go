package btlimit

import (
	"math"
	"slices"
	"time"

	"bilberrytide/core/btid"
)

const (
	// durationDecay is the weight of the earlier mean when a request ends.
	durationDecay = 0.9
	// retryShare is the share of an account's capacity that is scheduled for retries
	// of refused requests; the rest is left to new requests.
	retryShare = 0.5
	// retryJitter is the largest relative increase of RetryAfter by jitter.
	retryJitter = 0.1
	// headroom is the factor by which an entry asks for more than its present use.
	headroom = 1.25
)

// account is an entry's state of one client account.
type account struct {
	name  btid.Account
	limit Limit
	shape uint64
	home  btid.Entry
	rank  int
	// limits are the limits from which the fields above were computed.
	limits *indexedLimits

	slots  quota
	tokens quota
	// leaseEnd is when lent units may no longer be used; zero if there are none.
	leaseEnd time.Time
	bucket   *bucket

	running     int
	runningLong int
	// meanDuration is the decayed mean duration of a request.
	meanDuration time.Duration

	askNumber uint64
	askedAt   time.Time
	answered  bool
	// wantedSlots and wantedTokens are what the last ask asked for.
	wantedSlots  int
	wantedTokens int
	// current and last are the demand in the present window and in the one before.
	windowStart time.Time
	current     demand
	last        demand

	slotRetriesUntil  time.Time
	tokenRetriesUntil time.Time
}

// demand is what callers requested in one window.
type demand struct {
	// arrivals counts requests.
	arrivals int
	// peakSlots is the peak demand for slots: the most in use at once, plus the requests
	// refused for lack of one.
	peakSlots int
}

// quota is the units of one kind that an entry may use.
type quota struct {
	fixed int
	lent  int
}

func (q quota) total() int { return q.fixed + q.lent }

// retryEstimate is the basis of RetryAfter.
type retryEstimate struct {
	// next is the expected time until a unit is free, interval the time between two
	// scheduled retries, scheduledUntil the time up to which retries are scheduled.
	next           time.Duration
	interval       time.Duration
	scheduledUntil *time.Time
}

// account returns the state of an account, creating it if needed, or nil if the
// account is not listed.
func (h *Holder) account(name btid.Account) *account {
	if a := h.accounts[name]; a != nil {
		return a
	}
	if _, listed := h.limits.accounts[name]; !listed {
		return nil
	}
	a := &account{name: name, askedAt: h.started, answered: true, windowStart: h.now, meanDuration: time.Second}
	h.accounts[name] = a
	at, _ := slices.BinarySearch(h.names, name)
	h.names = slices.Insert(h.names, at, name)
	return a
}

// dropIdle drops accounts that are no longer listed, or whose state equals that of a
// new account. Accounts with running requests are kept.
func (h *Holder) dropIdle() {
	h.names = slices.DeleteFunc(h.names, func(name btid.Account) bool {
		a := h.accounts[name]
		_, listed := h.limits.accounts[name]
		fresh := a.leaseEnd.IsZero() && a.current == demand{} && a.last == demand{}
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

// refresh brings the account's quotas up to the present time.
func (h *Holder) refresh(a *account) {
	if !a.leaseEnd.IsZero() && !a.leaseEnd.After(h.now) {
		end := a.leaseEnd
		a.endLease()
		h.updateQuotas(a, end)
	}
	for len(h.previous) > 0 && !h.previous[0].slotsUntil.After(h.now) {
		h.previous = h.previous[1:]
	}
	if a.limits != h.limits {
		h.applyLimits(a)
	}
	h.updateQuotas(a, h.now)
}

func (a *account) endLease() {
	a.leaseEnd = time.Time{}
	a.slots.lent = 0
	a.tokens.lent = 0
}

// applyLimits applies the limits in force. Lent units are dropped if the shape
// changed.
func (h *Holder) applyLimits(a *account) {
	a.limits = h.limits
	a.limit = h.limits.accounts[a.name]
	a.limit.Account = a.name
	a.home, _ = Home(a.name, h.limits.entries)
	a.rank = h.limits.rank(a.name, h.self)
	if shape := h.limits.shape(a.limit); shape != a.shape {
		a.shape = shape
		a.endLease()
	}
}

// updateQuotas recomputes the fixed quotas and resizes the bucket. After a change of
// the entries or of the burst, quotas grow only once the previous limits have expired.
// Other changes of a limit need no delay; see fixedShare.
func (h *Holder) updateQuotas(a *account, now time.Time) {
	slots, tokens, perSecond := h.fixedQuotas(h.limits, a.limit, a.rank)
	for _, p := range h.previous {
		limit, listed := p.limits.accounts[a.name]
		if !listed {
			continue
		}
		entriesChanged := p.limits.entriesDigest != h.limits.entriesDigest
		s, t, r := h.fixedQuotas(p.limits, limit, p.limits.rank(a.name, h.self))
		if entriesChanged && p.slotsUntil.After(h.now) {
			slots = min(slots, s)
		}
		if (entriesChanged || limit.Burst != a.limit.Burst) && p.tokensUntil.After(h.now) {
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
		a.bucket = newBucket(h.started, a.tokens.total(), perSecond)
		return
	}
	a.bucket.resize(now, a.tokens.total(), perSecond)
}

// fixedQuotas returns the fixed slots, the fixed tokens and the rate of the tokens.
func (h *Holder) fixedQuotas(t *indexedLimits, l Limit, rank int) (int, int, float64) {
	n := len(t.entries)
	slots := math.MaxInt32
	if l.Concurrency > 0 {
		slots = fixedShare(h.settings.fixedUnits(l.Concurrency, n), rank, n)
	}
	if l.Rate <= 0 {
		return slots, math.MaxInt32, math.Inf(1)
	}
	tokens := fixedShare(h.settings.fixedUnits(l.Burst, n), rank, n)
	return slots, tokens, float64(tokens) * l.Rate / float64(l.Burst)
}

// slotFree reports whether a slot is free. A long request needs a fixed slot.
func (a *account) slotFree(long bool) bool {
	if long && a.runningLong >= a.slots.fixed {
		return false
	}
	return a.running < a.slots.total()
}

func (a *account) addRunning(long bool) {
	a.running++
	a.current.peakSlots = max(a.current.peakSlots, a.running)
	if long {
		a.runningLong++
	}
}

func (a *account) removeRunning(long bool, duration time.Duration) {
	a.running--
	if long {
		a.runningLong--
	}
	a.meanDuration = time.Duration(durationDecay*float64(a.meanDuration) + (1-durationDecay)*float64(duration))
}

// slotRetry estimates when a slot is free: running requests are assumed to end evenly
// spread over their mean duration.
func (a *account) slotRetry() retryEstimate {
	slots := max(a.running, 1)
	next := a.meanDuration / time.Duration(slots)
	return retryEstimate{next: next, interval: time.Duration(float64(next) / retryShare), scheduledUntil: &a.slotRetriesUntil}
}

// tokenRetry estimates when the next token is available.
func (a *account) tokenRetry(now time.Time) retryEstimate {
	if a.bucket.burst == 0 || a.bucket.rate <= 0 {
		interval := time.Duration(float64(time.Second) / a.limit.Rate / retryShare)
		return retryEstimate{interval: interval, scheduledUntil: &a.tokenRetriesUntil}
	}
	next := time.Duration(a.bucket.waitSeconds(now) * float64(time.Second))
	interval := time.Duration(float64(time.Second) / a.bucket.rate / retryShare)
	return retryEstimate{next: next, interval: interval, scheduledUntil: &a.tokenRetriesUntil}
}
