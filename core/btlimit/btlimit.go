// Package btlimit holds client accounts to their limits over several entries
// that share no state.
//
// A limit is counted in units: requests running at once (slots), and requests
// of the burst, each with its part of the rate (tokens). A part of the units,
// the reserve, is split as fixed shares that every entry computes alike from
// the bundle and may use whatever it hears. The rest is lent by the account's
// home entry in short leases to the entries that need it. An entry that is cut
// off from the home is left with its fixed share, which can't break the limit;
// with fewer units than entries, the rendezvous order decides who holds one.
//
// Leases need no common clock. The holder counts a lease from when it sent the
// ask and takes no answer but to its last ask; the home counts from when it
// answered, which is later, so the holder always stops first. A lent slot runs
// only requests that end within Settings.Tail, and the home holds it that much
// longer. A home that restarts lends nothing new until all that its earlier
// incarnation may have lent is over.
//
// At any moment, over all entries: the requests running are at most the
// concurrency, and in any window the requests taken are at most the burst and
// the rate times the window. While entries stand at different bundles, the
// highest of their limits counts.
package btlimit

import (
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"

	"bilberrytide/core/btcore"
	"bilberrytide/core/btid"
	"bilberrytide/core/btrequest"
)

// Holder decides at one entry which requests its shares admit.
type Holder struct {
	settings    Settings
	self        btid.Entry
	incarnation btid.Incarnation
	started     time.Time
	random      *rand.Rand

	now      time.Time
	terms    *terms
	history  []past
	accounts map[btid.Account]*account
	names    []btid.Account
	running  map[btid.Request]taken
	// budget bounds asks, and first rotates whose turn is first.
	budget *rate.Limiter
	first  int
	// number is the last ask's, over all accounts, so that an account that was
	// forgotten uses none twice.
	number  uint64
	effects []HolderEffect
}

var _ btcore.Machine[HolderEvent, HolderEffect] = (*Holder)(nil)

// past is what was in force before, and bounds shares until all have settled.
type past struct {
	terms  *terms
	tokens time.Time
	slots  time.Time
}

// historyKept bounds the bundles that bound shares at a time.
const historyKept = 32

// taken is a request that runs.
type taken struct {
	account btid.Account
	since   time.Time
	// long tells that it may outlast a lent slot.
	long bool
}

// NewHolder returns a holder that admits nothing until the first Limits. Jitter
// is drawn from random.
func NewHolder(settings Settings, self btid.Entry, incarnation btid.Incarnation, started time.Time, random *rand.Rand) *Holder {
	return &Holder{
		settings:    settings,
		self:        self,
		incarnation: incarnation,
		started:     started,
		random:      random,
		now:         started,
		terms:       newTerms(Limits{}),
		accounts:    map[btid.Account]*account{},
		running:     map[btid.Request]taken{},
		budget:      rate.NewLimiter(rate.Limit(settings.AskRate), max(1, int(settings.AskRate))),
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
		h.limits(e)
	case Acquire:
		h.acquire(e)
	case Release:
		h.release(e.ID)
	case LeaseReceived:
		h.lease(e.Lease)
	case Tick:
		h.tick()
	}
	return h.effects
}

func (h *Holder) limits(e Limits) {
	if len(h.terms.entries) > 0 {
		settled := h.now.Add(h.settings.PropagationTime)
		h.history = append(h.history, past{terms: h.terms, tokens: settled, slots: settled.Add(h.terms.longestOr(h.settings.MaxRequestDuration))})
		h.history = h.history[max(0, len(h.history)-historyKept):]
	}
	h.terms = newTerms(e)
	for _, name := range h.names {
		a := h.accounts[name]
		h.settle(a)
	}
	h.forget()
}

func (h *Holder) acquire(e Acquire) {
	if _, twice := h.running[e.ID]; twice {
		return
	}
	a := h.account(e.Account)
	if a == nil {
		h.effects = append(h.effects, Refused{ID: e.ID, Reason: ReasonAccount})
		return
	}
	h.settle(a)
	long := e.Deadline.IsZero() || e.Deadline.After(h.now.Add(h.settings.LentSlotMax))
	a.current.arrived++
	switch {
	case !a.slotFree(long):
		a.current.slots = max(a.current.slots, a.running) + 1
		h.refuse(e.ID, ReasonConcurrency, a.slotWait())
	case a.bucket != nil && !a.bucket.allow(h.now):
		h.refuse(e.ID, ReasonRate, a.tokenWait(h.now))
	default:
		h.take(a, e, long)
	}
	h.ask(a)
}

func (h *Holder) take(a *account, e Acquire, long bool) {
	h.running[e.ID] = taken{account: e.Account, since: h.now, long: long}
	a.take(long)
	h.effects = append(h.effects, Admitted{ID: e.ID})
}

// refuse tells the time to come back: after those that were told before.
func (h *Holder) refuse(id btid.Request, reason btrequest.Reason, w wait) {
	at := h.now.Add(max(w.next, h.settings.AskInterval))
	at = later(at, *w.booked)
	*w.booked = at.Add(w.each)
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
		a.release(t.long, h.now.Sub(t.since))
	}
}

// lease takes an answer to the last ask.
func (h *Holder) lease(l ShareLease) {
	a := h.accounts[l.Account]
	if a == nil || l.To != h.self || l.Incarnation != h.incarnation || l.Number != a.number {
		h.effects = append(h.effects, Ignored{Account: l.Account, Reason: ReasonLeaseOld})
		return
	}
	h.settle(a)
	if l.Shape != a.shape {
		h.effects = append(h.effects, Ignored{Account: l.Account, Reason: ReasonLeaseShape})
		return
	}
	a.answered = true
	end := a.asked.Add(min(l.Duration, h.settings.LeaseDuration))
	if !end.After(h.now) {
		h.effects = append(h.effects, Ignored{Account: l.Account, Reason: ReasonLeaseOld})
		return
	}
	a.slots.lent = l.Slots
	a.tokens.lent = l.Tokens
	a.end = end
	h.resize(a, h.now)
}

func (h *Holder) tick() {
	h.first++
	for i := range h.names {
		a := h.accounts[h.names[(h.first+i)%len(h.names)]]
		h.settle(a)
		h.ask(a)
	}
	h.forget()
}
