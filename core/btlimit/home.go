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
	// InvariantShareSum: a grant never raises the sum of lent units above the part of
	// the limit that is not fixed shares.
	InvariantShareSum btassert.Name = "limit_share_sum"
	// InvariantShareKnown: once the loans of its earlier incarnation have expired, the
	// home has a loan of all lent tokens that entries use.
	InvariantShareKnown btassert.Name = "limit_share_known"
)

// clockToleranceDivisor gives the assumed difference between clocks, as a fraction of
// a lease, for the check of InvariantShareKnown. Nothing else depends on it.
const clockToleranceDivisor = 4

// AccountHome lends the units of the accounts whose home is this entry.
type AccountHome struct {
	settings Settings
	self     btid.Entry
	asserter *btassert.Asserter
	now      time.Time
	limits   *indexedLimits
	accounts map[btid.Account]*accountLoans
	// slotsLendableFrom and tokensLendableFrom are when all loans of an earlier
	// incarnation have expired.
	slotsLendableFrom  time.Time
	tokensLendableFrom time.Time
}

var _ btcore.Machine[HomeEvent, HomeEffect] = (*AccountHome)(nil)

// accountLoans are a home's loans of one account.
type accountLoans struct {
	burst    int
	byHolder map[holderKey]*loan
	// tokensLendableFrom is when tokens may be lent after a change of the burst.
	tokensLendableFrom time.Time
}

// holderKey identifies one incarnation of an entry. Units held by an earlier
// incarnation are not returned by the next one.
type holderKey struct {
	entry       btid.Entry
	incarnation btid.Incarnation
}

// loan is what one holder has borrowed. It is stored for one lease longer than its
// units, so that an ask that arrives out of order is recognised.
type loan struct {
	number  uint64
	askedAt time.Time
	slots   lentUnits
	tokens  lentUnits
}

// lentUnits are the lent units of one kind.
type lentUnits struct {
	held  int
	want  int
	until time.Time
}

// NewAccountHome returns a home without loans. It lends new units only after all loans
// of an earlier incarnation have expired.
func NewAccountHome(settings Settings, self btid.Entry, started time.Time, asserter *btassert.Asserter) *AccountHome {
	return &AccountHome{
		settings:           settings,
		self:               self,
		asserter:           asserter,
		now:                started,
		limits:             indexLimits(Limits{}),
		accounts:           map[btid.Account]*accountLoans{},
		slotsLendableFrom:  started.Add(settings.slotLoanTime()),
		tokensLendableFrom: started.Add(settings.tokenLoanTime()),
	}
}

// Step applies one event.
func (h *AccountHome) Step(now time.Time, event HomeEvent) []HomeEffect {
	if now.After(h.now) {
		h.now = now
	}
	switch e := event.(type) {
	case Limits:
		h.setLimits(e)
	case AskReceived:
		return h.ask(e.Ask)
	}
	return nil
}

// setLimits applies new limits. A change of the entries moves homes and fixed shares,
// so the home then waits as after a restart, plus the propagation time.
func (h *AccountHome) setLimits(e Limits) {
	next := indexLimits(e)
	first := len(h.limits.entries) == 0
	entriesChanged := next.entriesDigest != h.limits.entriesDigest
	longest := h.limits.maxRequestDurationOr(h.settings.MaxRequestDuration)
	h.limits = next
	if entriesChanged && !first {
		propagated := h.now.Add(h.settings.PropagationTime)
		h.slotsLendableFrom = later(h.slotsLendableFrom, propagated.Add(max(h.settings.slotLoanTime(), longest)))
		h.tokensLendableFrom = later(h.tokensLendableFrom, propagated.Add(h.settings.tokenLoanTime()))
	}
	for name, l := range h.accounts {
		limit, listed := next.accounts[name]
		if !listed || entriesChanged {
			delete(h.accounts, name)
			continue
		}
		if limit.Burst != l.burst {
			l.burst = limit.Burst
			l.tokensLendableFrom = h.now.Add(h.settings.PropagationTime + h.settings.tokenLoanTime())
		}
	}
}

func (h *AccountHome) ask(a ShareAsk) []HomeEffect {
	limit, reason, ok := h.checkAsk(a)
	if !ok {
		return []HomeEffect{Ignored{Account: a.Account, Reason: reason}}
	}
	l := h.accounts[a.Account]
	if l == nil {
		l = &accountLoans{burst: limit.Burst, byHolder: map[holderKey]*loan{}}
		h.accounts[a.Account] = l
	}
	h.expireLoans(l)
	key := holderKey{entry: a.From, incarnation: a.Incarnation}
	n := l.byHolder[key]
	if n == nil {
		n = &loan{}
		l.byHolder[key] = n
	}
	if a.Number <= n.number {
		return []HomeEffect{Ignored{Account: a.Account, Reason: ReasonAskOld}}
	}
	n.number = a.Number
	n.askedAt = h.now
	a.Tokens.Held = h.knownTokens(l, n, a)
	slots := h.lend(l, slotsOf, n, a.Slots, limit.Concurrency, h.slotsLendableFrom, h.settings.slotLoanTime())
	tokens := h.lend(l, tokensOf, n, a.Tokens, burstUnits(limit), later(h.tokensLendableFrom, l.tokensLendableFrom), h.settings.tokenLoanTime())
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

// checkAsk returns the account's limit, or the reason why the ask is ignored.
func (h *AccountHome) checkAsk(a ShareAsk) (Limit, btrequest.Reason, bool) {
	limit, listed := h.limits.accounts[a.Account]
	home, _ := Home(a.Account, h.limits.entries)
	if !listed || home != h.self {
		return limit, ReasonAskHome, false
	}
	if h.now.Sub(a.SentAt) > h.settings.LeaseDuration {
		return limit, ReasonAskLate, false
	}
	if a.Shape != h.limits.shape(limit) || !slices.Contains(h.limits.entries, a.From) {
		return limit, ReasonAskShape, false
	}
	return limit, "", true
}

func slotsOf(n *loan) *lentUnits { return &n.slots }

func tokensOf(n *loan) *lentUnits { return &n.tokens }

// burstUnits returns the number of tokens to divide, which is zero without a rate.
func burstUnits(l Limit) int {
	if l.Rate <= 0 {
		return 0
	}
	return l.Burst
}

// lend decides how many units of one kind the asker may use above its fixed share, and
// records them as lent.
func (h *AccountHome) lend(l *accountLoans, kind func(*loan) *lentUnits, n *loan, need Need, total int, lendableFrom time.Time, holdFor time.Duration) int {
	lendable := total - h.settings.fixedUnits(total, len(h.limits.entries))
	u := kind(n)
	*u = lentUnits{held: need.Held, want: need.Want, until: h.now.Add(holdFor)}
	var others int
	for _, o := range l.byHolder {
		if o != n {
			others += kind(o).held
		}
	}
	grant := max(0, min(maxMinShare(l, kind, n, lendable), lendable-others))
	if h.now.Before(lendableFrom) {
		// Units lent by an earlier incarnation are in that incarnation's sum, so they may
		// be renewed, but no more may be lent.
		grant = min(grant, need.Held)
	}
	if grant <= need.Held {
		return grant
	}
	u.held = grant
	if sum := l.sum(kind); !h.asserter.That(sum <= lendable, InvariantShareSum, "%d lent of %d", sum, lendable) {
		u.held = need.Held
		return 0
	}
	return grant
}

// sum returns the units that all holders may be using above their fixed shares.
func (l *accountLoans) sum(kind func(*loan) *lentUnits) int {
	var sum int
	for _, n := range l.byHolder {
		sum += kind(n).held
	}
	return sum
}

// knownTokens returns the lent tokens that the asker may still be using. Once all loans
// of an earlier incarnation have expired, that is at most what this home lent: a higher
// number belongs to a lease that expired while the ask was on its way.
func (h *AccountHome) knownTokens(l *accountLoans, n *loan, a ShareAsk) int {
	if h.now.Before(later(h.tokensLendableFrom, l.tokensLendableFrom)) {
		return a.Tokens.Held
	}
	age := h.now.Sub(a.SentAt) + h.settings.LeaseDuration/clockToleranceDivisor
	h.asserter.That(a.Tokens.Held <= n.tokens.held || age >= a.HeldFor, InvariantShareKnown,
		"%s holds %d tokens of %s for %s, of which %d are known", a.From, a.Tokens.Held, a.Account, a.HeldFor, n.tokens.held)
	return min(a.Tokens.Held, n.tokens.held)
}

// maxMinShare returns the asker's max-min fair share of the pool: the smallest wants
// are met in full and the remainder is divided evenly.
func maxMinShare(l *accountLoans, kind func(*loan) *lentUnits, asker *loan, lendable int) int {
	wants := make([]int, 0, len(l.byHolder))
	for _, o := range l.byHolder {
		wants = append(wants, kind(o).want)
	}
	slices.Sort(wants)
	remaining := lendable
	want := kind(asker).want
	for i, w := range wants {
		even := remaining / (len(wants) - i)
		if w >= want || w > even {
			return min(want, max(even, scarceUnit(remaining, len(wants)-i)))
		}
		remaining -= w
	}
	return 0
}

// scarceUnit returns one unit if there are fewer units than askers, so that the first
// to ask gets one.
func scarceUnit(remaining, askers int) int {
	if remaining > 0 && remaining < askers {
		return 1
	}
	return 0
}

// expireLoans drops expired units and loans.
func (h *AccountHome) expireLoans(l *accountLoans) {
	for key, n := range l.byHolder {
		if !n.slots.until.After(h.now) {
			n.slots = lentUnits{}
		}
		if !n.tokens.until.After(h.now) {
			n.tokens = lentUnits{}
		}
		if h.now.Sub(n.askedAt) > h.settings.slotLoanTime()+h.settings.LeaseDuration {
			delete(l.byHolder, key)
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
