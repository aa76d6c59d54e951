package btlimit

import (
	"time"

	"bilberrytide/core/btid"
	"bilberrytide/core/btrequest"
)

// HolderEvent is what a Holder hears: Limits or one of Acquire, Release,
// LeaseHeard and Tick.
type HolderEvent interface{ holderEvent() }

// Acquire is a request of an account that asks to be taken.
type Acquire struct {
	ID      btid.Request
	Account btid.Account
	// Deadline is when the request ends at the latest.
	Deadline time.Time
}

// Release is the end of a request that was taken. A second one changes nothing.
type Release struct{ ID btid.Request }

// LeaseReceived is a home's answer that arrived, already validated.
type LeaseReceived struct{ Lease ShareLease }

// Tick is the passing of time, due every Settings.Ask or so.
type Tick struct{}

func (Acquire) holderEvent()       {}
func (Release) holderEvent()       {}
func (LeaseReceived) holderEvent() {}
func (Tick) holderEvent()          {}

// HolderEffect is what a Holder wants done: Admitted, Refused, Ask or Ignored.
type HolderEffect interface{ holderEffect() }

// Admitted takes the request; its Release is owed.
type Admitted struct{ ID btid.Request }

// Refused answers the request with not_run at once.
type Refused struct {
	ID     btid.Request
	Reason btrequest.Reason
	// RetryAfter is how long to wait before the request is likely to be taken.
	RetryAfter time.Duration
}

// SendAsk sends an ask to the account's home, which may be this entry.
type SendAsk struct {
	To  btid.Entry
	Ask ShareAsk
}

// Ignored says why a message was not believed.
type Ignored struct {
	Account btid.Account
	Reason  btrequest.Reason
}

func (Admitted) holderEffect() {}
func (Refused) holderEffect()  {}
func (SendAsk) holderEffect()  {}
func (Ignored) holderEffect()  {}
func (Ignored) homeEffect()    {}

// HomeEvent is what an AccountHome hears: Limits or AskHeard.
type HomeEvent interface{ homeEvent() }

// AskReceived is an entry's ask that arrived, already validated.
type AskReceived struct{ Ask ShareAsk }

func (AskReceived) homeEvent() {}

// HomeEffect is what an AccountHome wants done: Lend or Ignored.
type HomeEffect interface{ homeEffect() }

// SendLease sends a lease to the entry that asked.
type SendLease struct {
	To    btid.Entry
	Lease ShareLease
}

func (SendLease) homeEffect() {}

// The reasons for which a request is refused.
const (
	// ReasonRate: the account's rate is used up.
	ReasonRate btrequest.Reason = "limit_rate"
	// ReasonConcurrency: the account runs as many requests as it may.
	ReasonConcurrency btrequest.Reason = "limit_concurrency"
	// ReasonAccount: the bundle in force lists no such account.
	ReasonAccount btrequest.Reason = "limit_unknown_account"
)

// The reasons for which a message is not believed.
const (
	ReasonLeaseOld   btrequest.Reason = "share_lease_old"
	ReasonLeaseShape btrequest.Reason = "share_lease_shape"
	ReasonAskOld     btrequest.Reason = "share_ask_old"
	ReasonAskLate    btrequest.Reason = "share_ask_late"
	ReasonAskShape   btrequest.Reason = "share_ask_shape"
	ReasonAskHome    btrequest.Reason = "share_ask_not_home"
)
