package btlimit

import (
	"cmp"
	"slices"
	"time"

	"bilberrytide/core/btid"
)

// View is an entry's share of one account, for operators.
type View struct {
	Account btid.Account `json:"account"`
	// Home is the entry that lends the account's units.
	Home btid.Entry `json:"home"`
	// FixedSlots and FixedTokens may be used without asking. They are zero if there is
	// no limit of their kind.
	FixedSlots  int `json:"fixed_slots"`
	FixedTokens int `json:"fixed_tokens"`
	LentSlots   int `json:"lent_slots"`
	LentTokens  int `json:"lent_tokens"`
	Running     int `json:"running"`
	// LeaseEnd is when the lent units expire; zero if there are none.
	LeaseEnd time.Time `json:"lease_end"`
}

// View returns the share of an account, and false if the account is not in use.
func (h *Holder) View(name btid.Account) (View, bool) {
	a := h.accounts[name]
	if a == nil {
		return View{}, false
	}
	v := View{
		Account:    name,
		Home:       a.home,
		LentSlots:  a.slots.lent,
		LentTokens: a.tokens.lent,
		Running:    a.running,
		LeaseEnd:   a.leaseEnd,
	}
	if a.limit.Concurrency > 0 {
		v.FixedSlots = a.slots.fixed
	}
	if a.limit.Rate > 0 {
		v.FixedTokens = a.tokens.fixed
	}
	return v, true
}

// AccountNames returns the accounts in use, sorted.
func (h *Holder) AccountNames() []btid.Account { return slices.Clone(h.names) }

// Loan is what a home has lent to one incarnation of an entry, for operators.
type Loan struct {
	Entry       btid.Entry       `json:"entry"`
	Incarnation btid.Incarnation `json:"incarnation"`
	Slots       int              `json:"slots"`
	Tokens      int              `json:"tokens"`
	WantSlots   int              `json:"want_slots"`
	WantTokens  int              `json:"want_tokens"`
}

// Loans returns the loans of an account, sorted by entry and incarnation.
func (h *AccountHome) Loans(name btid.Account) []Loan {
	l := h.accounts[name]
	if l == nil {
		return nil
	}
	h.expireLoans(l)
	loans := make([]Loan, 0, len(l.byHolder))
	for key, n := range l.byHolder {
		loans = append(loans, Loan{
			Entry:       key.entry,
			Incarnation: key.incarnation,
			Slots:       n.slots.held,
			Tokens:      n.tokens.held,
			WantSlots:   n.slots.want,
			WantTokens:  n.tokens.want,
		})
	}
	slices.SortFunc(loans, func(a, b Loan) int {
		return cmp.Or(cmp.Compare(a.Entry, b.Entry), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return loans
}
