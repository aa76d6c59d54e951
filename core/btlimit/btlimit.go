// Package btlimit enforces the limits of client accounts over several entries that
// share no state.
//
// A limit is counted in units: slots are requests running at once; tokens are
// requests of the burst, each with its part of the rate. A fraction of the units is
// divided into fixed shares, which every entry computes identically from the bundle and may
// use without communicating. The account's home entry lends the rest in short leases
// to the entries that need it. An entry that cannot reach the home keeps its fixed
// share, which cannot exceed the limit. If there are fewer units than entries, the
// rendezvous order decides which entries have one.
//
// Leases need no common clock. The holder counts a lease from when it sent the ask,
// and accepts only the reply to its last ask. The home counts from when it replied,
// which is later, so the holder always stops first. A lent slot runs only requests
// that end within Settings.LentSlotMax, and the home reserves the slot for that much
// longer. After a restart, a home lends no new units until all loans of its earlier
// incarnation have expired.
//
// Over all entries, the requests running never exceed the concurrency, and the
// requests admitted in any window never exceed the burst plus the rate times the
// window. While entries have different bundles in force, the highest of their limits
// applies.
package btlimit

import (
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"

	"bilberrytide/core/btcore"
	"bilberrytide/core/btid"
	"bilberrytide/core/btrequest"
)

// Holder decides at one entry which requests to admit within the entry's shares.
type Holder struct {
	settings    Settings
	self        btid.Entry
	incarnation btid.Incarnation
	started     time.Time
	random      *rand.Rand

	now      time.Time
	limits   *indexedLimits
	previous []previousLimits
	accounts map[btid.Account]*account
	names    []btid.Account
	running  map[btid.Request]admittedRequest
	// askLimiter limits the rate of asks; tickStart rotates which account asks first.
	askLimiter *rate.Limiter
	tickStart  int
	// lastAskNumber counts asks over all accounts, so that an account whose state was
	// dropped does not reuse a number.
	lastAskNumber uint64
	effects       []HolderEffect
}

var _ btcore.Machine[HolderEvent, HolderEffect] = (*Holder)(nil)

// previousLimits are limits that were replaced. They cap the shares until all entries
// apply the new limits and requests admitted under the old ones have ended.
type previousLimits struct {
	limits      *indexedLimits
	tokensUntil time.Time
	slotsUntil  time.Time
}

// maxPreviousLimits bounds how many replaced limits are kept.
const maxPreviousLimits = 32

// admittedRequest is a running request.
type admittedRequest struct {
	account    btid.Account
	admittedAt time.Time
	// long means that the request may run for longer than a lent slot allows.
	long bool
}

// NewHolder returns a holder that admits no request until the first Limits. Random
// supplies the jitter.
func NewHolder(settings Settings, self btid.Entry, incarnation btid.Incarnation, started time.Time, random *rand.Rand) *Holder {
	return &Holder{
		settings:    settings,
		self:        self,
		incarnation: incarnation,
		started:     started,
		random:      random,
		now:         started,
		limits:      indexLimits(Limits{}),
		accounts:    map[btid.Account]*account{},
		running:     map[btid.Request]admittedRequest{},
		askLimiter:  rate.NewLimiter(rate.Limit(settings.AskRate), max(1, int(settings.AskRate))),
	}
}

// Step applies one event.
func (h *Holder) Step(now time.Time, event HolderEvent) []HolderEffect {
	if now.After(h.now) {
		h.now = now
	}
	h.effects = nil
	switch e := event.(type) {
	case Limits:
		h.setLimits(e)
	case Acquire:
		h.acquire(e)
	case Release:
		h.release(e.ID)
	case LeaseReceived:
		h.applyLease(e.Lease)
	case Tick:
		h.tick()
	}
	return h.effects
}

func (h *Holder) setLimits(e Limits) {
	if len(h.limits.entries) > 0 {
		propagated := h.now.Add(h.settings.PropagationTime)
		h.previous = append(h.previous, previousLimits{limits: h.limits, tokensUntil: propagated, slotsUntil: propagated.Add(h.limits.maxRequestDurationOr(h.settings.MaxRequestDuration))})
		h.previous = h.previous[max(0, len(h.previous)-maxPreviousLimits):]
	}
	h.limits = indexLimits(e)
	for _, name := range h.names {
		a := h.accounts[name]
		h.refresh(a)
	}
	h.dropIdle()
}

func (h *Holder) acquire(e Acquire) {
	if _, duplicate := h.running[e.ID]; duplicate {
		return
	}
	a := h.account(e.Account)
	if a == nil {
		h.effects = append(h.effects, Refused{ID: e.ID, Reason: ReasonAccount})
		return
	}
	h.refresh(a)
	long := e.Deadline.IsZero() || e.Deadline.After(h.now.Add(h.settings.LentSlotMax))
	a.current.arrivals++
	switch {
	case !a.slotFree(long):
		a.current.peakSlots = max(a.current.peakSlots, a.running) + 1
		h.refuse(e.ID, ReasonConcurrency, a.slotRetry())
	case a.bucket != nil && !a.bucket.allow(h.now):
		h.refuse(e.ID, ReasonRate, a.tokenRetry(h.now))
	default:
		h.admit(a, e, long)
	}
	h.ask(a)
}

func (h *Holder) admit(a *account, e Acquire, long bool) {
	h.running[e.ID] = admittedRequest{account: e.Account, admittedAt: h.now, long: long}
	a.addRunning(long)
	h.effects = append(h.effects, Admitted{ID: e.ID})
}

// refuse refuses a request and sets RetryAfter, with jitter. Retries are spread out:
// each is scheduled after the earlier ones.
func (h *Holder) refuse(id btid.Request, reason btrequest.Reason, e retryEstimate) {
	at := h.now.Add(max(e.next, h.settings.AskInterval))
	at = later(at, *e.scheduledUntil)
	*e.scheduledUntil = at.Add(e.interval)
	after := at.Sub(h.now)
	after += time.Duration(h.random.Float64() * retryJitter * float64(after))
	h.effects = append(h.effects, Refused{ID: id, Reason: reason, RetryAfter: after})
}

func (h *Holder) release(id btid.Request) {
	t, ok := h.running[id]
	if !ok {
		return
	}
	delete(h.running, id)
	if a := h.accounts[t.account]; a != nil {
		a.removeRunning(t.long, h.now.Sub(t.admittedAt))
	}
}

// applyLease applies a lease that answers the last ask.
func (h *Holder) applyLease(l ShareLease) {
	a := h.accounts[l.Account]
	if a == nil || l.To != h.self || l.Incarnation != h.incarnation || l.Number != a.askNumber {
		h.effects = append(h.effects, Ignored{Account: l.Account, Reason: ReasonLeaseOld})
		return
	}
	h.refresh(a)
	if l.Shape != a.shape {
		h.effects = append(h.effects, Ignored{Account: l.Account, Reason: ReasonLeaseShape})
		return
	}
	a.answered = true
	end := a.askedAt.Add(min(l.Duration, h.settings.LeaseDuration))
	if !end.After(h.now) {
		h.effects = append(h.effects, Ignored{Account: l.Account, Reason: ReasonLeaseOld})
		return
	}
	a.slots.lent = l.Slots
	a.tokens.lent = l.Tokens
	a.leaseEnd = end
	h.updateQuotas(a, h.now)
}

func (h *Holder) tick() {
	h.tickStart++
	for i := range h.names {
		a := h.accounts[h.names[(h.tickStart+i)%len(h.names)]]
		h.refresh(a)
		h.ask(a)
	}
	h.dropIdle()
}
