package btlimit

import (
	"time"

	"bilberrytide/core/btid"
	"bilberrytide/core/btrequest"
)

// HolderEvent is an input of a Holder: Limits, Acquire, Release, LeaseReceived or Tick.
type HolderEvent interface{ holderEvent() }

// Acquire asks to admit a request of an account.
type Acquire struct {
	ID      btid.Request
	Account btid.Account
	// Deadline is when the request ends at the latest; zero if it has no deadline.
	Deadline time.Time
}

// Release reports the end of an admitted request. Repeated ones are ignored.
type Release struct{ ID btid.Request }

// LeaseReceived delivers a validated lease from a home.
type LeaseReceived struct{ Lease ShareLease }

// Tick reports that time has passed. It is due about every Settings.AskInterval.
type Tick struct{}

func (Acquire) holderEvent()       {}
func (Release) holderEvent()       {}
func (LeaseReceived) holderEvent() {}
func (Tick) holderEvent()          {}

// HolderEffect is an output of a Holder: Admitted, Refused, SendAsk or Ignored.
type HolderEffect interface{ holderEffect() }

// Admitted admits the request. A Release must follow when it ends.
type Admitted struct{ ID btid.Request }

// Refused refuses the request, which is answered with not_run immediately.
type Refused struct {
	ID     btid.Request
	Reason btrequest.Reason
	// RetryAfter is the time after which the request is likely to be admitted.
	RetryAfter time.Duration
}

// SendAsk sends an ask to the account's home, which may be this entry.
type SendAsk struct {
	To  btid.Entry
	Ask ShareAsk
}

// Ignored reports that a message was ignored, and why.
type Ignored struct {
	Account btid.Account
	Reason  btrequest.Reason
}

func (Admitted) holderEffect() {}
func (Refused) holderEffect()  {}
func (SendAsk) holderEffect()  {}
func (Ignored) holderEffect()  {}
func (Ignored) homeEffect()    {}

// HomeEvent is an input of an AccountHome: Limits or AskReceived.
type HomeEvent interface{ homeEvent() }

// AskReceived delivers a validated ask from an entry.
type AskReceived struct{ Ask ShareAsk }

func (AskReceived) homeEvent() {}

// HomeEffect is an output of an AccountHome: SendLease or Ignored.
type HomeEffect interface{ homeEffect() }

// SendLease sends a lease to the entry that asked.
type SendLease struct {
	To    btid.Entry
	Lease ShareLease
}

func (SendLease) homeEffect() {}

// Reasons for refusing a request.
const (
	// ReasonRate: the account's rate is used up.
	ReasonRate btrequest.Reason = "limit_rate"
	// ReasonConcurrency: the account already runs as many requests as it may.
	ReasonConcurrency btrequest.Reason = "limit_concurrency"
	// ReasonAccount: the bundle in force does not list the account.
	ReasonAccount btrequest.Reason = "limit_unknown_account"
)

// Reasons for ignoring a message.
const (
	// ReasonLeaseOld: the lease does not answer the last ask, or has expired.
	ReasonLeaseOld btrequest.Reason = "share_lease_old"
	// ReasonLeaseShape: the lease was computed from other entries or another burst.
	ReasonLeaseShape btrequest.Reason = "share_lease_shape"
	// ReasonAskOld: this ask or a later one of the holder was already handled.
	ReasonAskOld btrequest.Reason = "share_ask_old"
	// ReasonAskLate: the ask was sent more than a lease ago.
	ReasonAskLate btrequest.Reason = "share_ask_late"
	// ReasonAskShape: the ask was computed from other entries or another burst, or its
	// sender is not a listed entry.
	ReasonAskShape btrequest.Reason = "share_ask_shape"
	// ReasonAskHome: this entry is not the account's home, or the account is not listed.
	ReasonAskHome btrequest.Reason = "share_ask_not_home"
)
