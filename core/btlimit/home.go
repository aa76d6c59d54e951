package btlimit

import (
	"slices"
	"time"

	"bilberrytide/core/btassert"
	"bilberrytide/core/btcore"
	"bilberrytide/core/btid"
	"bilberrytide/core/btrequest"
)

// The invariants that an AccountHome asserts.
const (
	// InvariantShareSum: lending never brings the sum of lent units above the part of the
	// limit that isn't fixed shares.
	InvariantShareSum btassert.Name = "limit_share_sum"
	// InvariantShareKnown: no entry uses lent tokens that a home does not know of once it
	// has waited out its earlier incarnation.
	InvariantShareKnown btassert.Name = "limit_share_known"
)

// clockMargin is the part of a lease by which clocks are thought to differ when
// ShareKnown is checked. Nothing else rests on it.
const clockMargin = 4

// AccountHome lends the units of the accounts whose home this entry is.
type AccountHome struct {
	settings Settings
	self     btid.Entry
	asserter *btassert.Asserter
	now      time.Time
	terms    *terms
	accounts map[btid.Account]*ledger
	// slotsFrom and tokensFrom are when all that an earlier incarnation lent is
	// over.
	slotsFrom  time.Time
	tokensFrom time.Time
}

var _ btcore.Machine[HomeEvent, HomeEffect] = (*AccountHome)(nil)

// ledger is what a home lent of one account.
type ledger struct {
	burst   int
	holders map[holderKey]*loan
	// tokensFrom is when tokens may be lent after a change of their number.
	tokensFrom time.Time
}

// holderKey is one incarnation of an entry: what an earlier incarnation holds
// is not given back by the next.
type holderKey struct {
	entry       btid.Entry
	incarnation btid.Incarnation
}

// loan is kept a lease longer than its units, so that an ask that overtook
// another is known for what it is.
type loan struct {
	number uint64
	heard  time.Time
	slots  units
	tokens units
}

// units are lent units of one kind.
type units struct {
	held  int
	want  int
	until time.Time
}

// NewAccountHome returns a home that remembers nothing: it lends only once all
// that an earlier incarnation may have lent is over.
func NewAccountHome(settings Settings, self btid.Entry, started time.Time, asserter *btassert.Asserter) *AccountHome {
	return &AccountHome{
		settings:   settings,
		self:       self,
		asserter:   asserter,
		now:        started,
		terms:      newTerms(Limits{}),
		accounts:   map[btid.Account]*ledger{},
		slotsFrom:  started.Add(settings.slotsHeld()),
		tokensFrom: started.Add(settings.tokensHeld()),
	}
}

// Step applies one event.
func (h *AccountHome) Step(now time.Time, event HomeEvent) []HomeEffect {
	if now.After(h.now) {
		h.now = now
	}
	switch e := event.(type) {
	case Limits:
		h.limits(e)
	case AskReceived:
		return h.ask(e.Ask)
	}
	return nil
}

// limits puts new limits in force. A change of the entries moves homes and
// fixed shares, so it counts as a restart after all have settled.
func (h *AccountHome) limits(e Limits) {
	next := newTerms(e)
	first := len(h.terms.entries) == 0
	moved := next.digest != h.terms.digest
	longest := h.terms.longestOr(h.settings.MaxRequestDuration)
	h.terms = next
	if moved && !first {
		settled := h.now.Add(h.settings.PropagationTime)
		h.slotsFrom = later(h.slotsFrom, settled.Add(max(h.settings.slotsHeld(), longest)))
		h.tokensFrom = later(h.tokensFrom, settled.Add(h.settings.tokensHeld()))
	}
	for name, l := range h.accounts {
		limit, listed := next.accounts[name]
		if !listed || moved {
			delete(h.accounts, name)
			continue
		}
		if limit.Burst != l.burst {
			l.burst = limit.Burst
			l.tokensFrom = h.now.Add(h.settings.PropagationTime + h.settings.tokensHeld())
		}
	}
}

func (h *AccountHome) ask(a ShareAsk) []HomeEffect {
	limit, reason, ok := h.believe(a)
	if !ok {
		return []HomeEffect{Ignored{Account: a.Account, Reason: reason}}
	}
	l := h.accounts[a.Account]
	if l == nil {
		l = &ledger{burst: limit.Burst, holders: map[holderKey]*loan{}}
		h.accounts[a.Account] = l
	}
	h.forget(l)
	key := holderKey{entry: a.From, incarnation: a.Incarnation}
	n := l.holders[key]
	if n == nil {
		n = &loan{}
		l.holders[key] = n
	}
	if a.Number <= n.number {
		return []HomeEffect{Ignored{Account: a.Account, Reason: ReasonAskOld}}
	}
	n.number = a.Number
	n.heard = h.now
	a.Tokens.Held = h.known(l, n, a)
	slots := h.lend(l, slotsOf, n, a.Slots, limit.Concurrency, h.slotsFrom, h.settings.slotsHeld())
	tokens := h.lend(l, tokensOf, n, a.Tokens, burstUnits(limit), later(h.tokensFrom, l.tokensFrom), h.settings.tokensHeld())
	return []HomeEffect{SendLease{To: a.From, Lease: ShareLease{
		Account:     a.Account,
		To:          a.From,
		Incarnation: a.Incarnation,
		Number:      a.Number,
		Shape:       a.Shape,
		Slots:       slots,
		Tokens:      tokens,
		Duration:    h.settings.LeaseDuration,
	}}}
}

func (h *AccountHome) believe(a ShareAsk) (Limit, btrequest.Reason, bool) {
	limit, listed := h.terms.accounts[a.Account]
	home, _ := Home(a.Account, h.terms.entries)
	if !listed || home != h.self {
		return limit, ReasonAskHome, false
	}
	if h.now.Sub(a.SentAt) > h.settings.LeaseDuration {
		return limit, ReasonAskLate, false
	}
	if a.Shape != h.terms.shape(limit) || !slices.Contains(h.terms.entries, a.From) {
		return limit, ReasonAskShape, false
	}
	return limit, "", true
}

func slotsOf(n *loan) *units { return &n.slots }

func tokensOf(n *loan) *units { return &n.tokens }

// burstUnits is the number of tokens to share: none where no rate is set.
func burstUnits(l Limit) int {
	if l.Rate <= 0 {
		return 0
	}
	return l.Burst
}

// lend decides how many units of one kind the asker may use above its fixed
// share, and holds them for it.
func (h *AccountHome) lend(l *ledger, kind func(*loan) *units, n *loan, need Need, total int, from time.Time, hold time.Duration) int {
	pool := total - h.settings.fixed(total, len(h.terms.entries))
	u := kind(n)
	*u = units{held: need.Held, want: need.Want, until: h.now.Add(hold)}
	var others int
	for _, o := range l.holders {
		if o != n {
			others += kind(o).held
		}
	}
	grant := max(0, min(fairPart(l, kind, n, pool), pool-others))
	if h.now.Before(from) {
		// What an earlier incarnation lent may be renewed, since it is in that
		// incarnation's sum, but nothing more.
		grant = min(grant, need.Held)
	}
	if grant <= need.Held {
		return grant
	}
	u.held = grant
	if sum := l.sum(kind); !h.asserter.That(sum <= pool, InvariantShareSum, "%d lent of %d", sum, pool) {
		u.held = need.Held
		return 0
	}
	return grant
}

// sum is the units that all holders may be using above their fixed shares.
func (l *ledger) sum(kind func(*loan) *units) int {
	var sum int
	for _, n := range l.holders {
		sum += kind(n).held
	}
	return sum
}

// known returns the tokens that the asker may still be using. Once the home has
// outlived all loans of an earlier incarnation, that is no more than what it
// lent: a higher figure is of a lease that ran out under way.
func (h *AccountHome) known(l *ledger, n *loan, a ShareAsk) int {
	if h.now.Before(later(h.tokensFrom, l.tokensFrom)) {
		return a.Tokens.Held
	}
	age := h.now.Sub(a.SentAt) + h.settings.LeaseDuration/clockMargin
	h.asserter.That(a.Tokens.Held <= n.tokens.held || age >= a.HeldFor, InvariantShareKnown,
		"%s holds %d tokens of %s for %s, of which %d are known", a.From, a.Tokens.Held, a.Account, a.HeldFor, n.tokens.held)
	return min(a.Tokens.Held, n.tokens.held)
}

// fairPart returns the asker's part when the pool is split so that the smallest
// wants are met first and the rest is even.
func fairPart(l *ledger, kind func(*loan) *units, asker *loan, pool int) int {
	wants := make([]int, 0, len(l.holders))
	for _, o := range l.holders {
		wants = append(wants, kind(o).want)
	}
	slices.Sort(wants)
	left := pool
	want := kind(asker).want
	for i, w := range wants {
		even := left / (len(wants) - i)
		if w >= want || w > even {
			return min(want, max(even, spare(left, len(wants)-i)))
		}
		left -= w
	}
	return 0
}

// spare lets one unit go to whoever asks first when there are fewer units than
// askers.
func spare(left, askers int) int {
	if left > 0 && left < askers {
		return 1
	}
	return 0
}

// forget drops loans that are over.
func (h *AccountHome) forget(l *ledger) {
	for key, n := range l.holders {
		if !n.slots.until.After(h.now) {
			n.slots = units{}
		}
		if !n.tokens.until.After(h.now) {
			n.tokens = units{}
		}
		if h.now.Sub(n.heard) > h.settings.slotsHeld()+h.settings.LeaseDuration {
			delete(l.holders, key)
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
