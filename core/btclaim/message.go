package btclaim

import (
	"fmt"
	"time"

	"bilberrytide/core/btbundle"
	"bilberrytide/core/btid"
	"bilberrytide/core/btrequest"
)

// maxListedEpochs limits the epochs in rules and in a LeaseAsk.
const maxListedEpochs = 32

// Acquire asks a claim's home for a grant. It may be repeated: a claim that is
// already granted gets the existing grant.
type Acquire struct {
	Request btid.Request `cbor:"request" json:"request"`
	// Ask numbers the entry's messages to homes within the request; the reply repeats
	// it.
	Ask     uint32          `cbor:"ask" json:"ask"`
	Claim   Claim           `cbor:"claim" json:"claim"`
	Content btbundle.Digest `cbor:"content" json:"content"`
	// Executor is the executor to grant to; the zero Executor asks for no new grant.
	Executor btid.Executor `cbor:"executor" json:"executor"`
	// Accepted is when the entry accepted the caller's request, by the entry's clock.
	// It bounds the age of a claim whose key holds no time.
	Accepted time.Time `cbor:"accepted" json:"accepted"`
}

// Validate reports a malformed message. The error wraps ErrMessage.
func (a Acquire) Validate() error {
	if a.Accepted.IsZero() {
		return fmt.Errorf("%w: no time of acceptance", ErrMessage)
	}
	if err := a.Request.Validate(); err != nil {
		return fmt.Errorf("%w: %w", ErrMessage, err)
	}
	if err := a.Claim.Validate(); err != nil {
		return err
	}
	return validateOptional(a.Executor)
}

func validateOptional(e btid.Executor) error {
	if e == (btid.Executor{}) {
		return nil
	}
	if err := e.Validate(); err != nil {
		return fmt.Errorf("%w: %w", ErrMessage, err)
	}
	return nil
}

// Release passes an executor's seal to the home, so that the claim can be granted to
// another executor. It is answered by an AcquireReply.
type Release struct {
	Request btid.Request    `cbor:"request" json:"request"`
	Ask     uint32          `cbor:"ask" json:"ask"`
	Content btbundle.Digest `cbor:"content" json:"content"`
	Sealed  Sealed          `cbor:"sealed" json:"sealed"`
	// Next is the executor to grant to; the zero Executor asks for no new grant.
	Next btid.Executor `cbor:"next" json:"next"`
}

// Validate reports a malformed message. The error wraps ErrMessage.
func (r Release) Validate() error {
	if err := r.Request.Validate(); err != nil {
		return fmt.Errorf("%w: %w", ErrMessage, err)
	}
	if err := r.Sealed.Validate(); err != nil {
		return err
	}
	return validateOptional(r.Next)
}

// AcquireReply answers an Acquire or a Release with a grant or a refusal.
type AcquireReply struct {
	Request btid.Request `cbor:"request" json:"request"`
	Ask     uint32       `cbor:"ask" json:"ask"`
	// Grant is the open grant; nil if the home refuses.
	Grant *Grant `cbor:"grant,omitempty" json:"grant,omitempty"`
	// Outcome of a refusal: not_run or unknown.
	Outcome btrequest.Outcome `cbor:"outcome,omitempty" json:"outcome,omitempty"`
	Reason  btrequest.Reason  `cbor:"reason,omitempty" json:"reason,omitempty"`
	// RetryAfter is the suggested delay before a repeated request.
	RetryAfter time.Duration `cbor:"retry_after,omitempty" json:"retry_after,omitempty"`
	// Hold is how long the home won't grant the claim, counted from its receipt of
	// the message: the time for which not_run stays true.
	Hold time.Duration `cbor:"hold,omitempty" json:"hold,omitempty"`
	// Home is the claim's home by the refusing process's bundle (reason not_home).
	Home btid.Target `cbor:"home,omitempty" json:"home,omitempty"`
}

// Validate reports a malformed message. The error wraps ErrMessage.
func (r AcquireReply) Validate() error {
	if err := r.Request.Validate(); err != nil {
		return fmt.Errorf("%w: %w", ErrMessage, err)
	}
	if r.RetryAfter < 0 || r.Hold < 0 {
		return fmt.Errorf("%w: negative duration", ErrMessage)
	}
	if r.Home != "" {
		if err := btid.CheckName(string(r.Home)); err != nil {
			return fmt.Errorf("%w: home: %w", ErrMessage, err)
		}
	}
	if r.Grant != nil {
		return r.Grant.Validate()
	}
	return validateRefusal(r.Outcome, r.Reason)
}

func validateRefusal(o btrequest.Outcome, r btrequest.Reason) error {
	if o != btrequest.NotRun && o != btrequest.Unknown {
		return fmt.Errorf("%w: refusal with outcome %q", ErrMessage, o)
	}
	if err := btid.CheckName(string(r)); err != nil {
		return fmt.Errorf("%w: reason: %w", ErrMessage, err)
	}
	return nil
}

// Lookup asks an earlier home of a claim for its record of the claim.
type Lookup struct {
	From  btid.Target `cbor:"from" json:"from"`
	To    btid.Target `cbor:"to" json:"to"`
	Claim Claim       `cbor:"claim" json:"claim"`
	// Number identifies the lookup; one incarnation of the sender never repeats it.
	Number uint64 `cbor:"number" json:"number"`
	// Incarnation is the sender's.
	Incarnation btid.Incarnation `cbor:"incarnation" json:"incarnation"`
}

// Validate reports a malformed message. The error wraps ErrMessage.
func (l Lookup) Validate() error {
	if err := validateHomePair(l.From, l.To, l.Incarnation); err != nil {
		return err
	}
	return l.Claim.Validate()
}

func validateHomePair(from, to btid.Target, i btid.Incarnation) error {
	if err := btid.CheckName(string(from)); err != nil {
		return fmt.Errorf("%w: from: %w", ErrMessage, err)
	}
	if err := btid.CheckName(string(to)); err != nil {
		return fmt.Errorf("%w: to: %w", ErrMessage, err)
	}
	if i == 0 {
		return fmt.Errorf("%w: incarnation zero", ErrMessage)
	}
	return nil
}

// LookupReply answers a Lookup.
type LookupReply struct {
	From        btid.Target      `cbor:"from" json:"from"`
	To          btid.Target      `cbor:"to" json:"to"`
	Claim       Claim            `cbor:"claim" json:"claim"`
	Number      uint64           `cbor:"number" json:"number"`
	Incarnation btid.Incarnation `cbor:"incarnation" json:"incarnation"`
	// Since is the start of the answering home's history: it has a record of all that
	// it granted since then, within the retention.
	Since     time.Time     `cbor:"since" json:"since"`
	Retention time.Duration `cbor:"retention" json:"retention"`
	// Record is what the home stores of the claim; nil if it has no record.
	Record *Record `cbor:"record,omitempty" json:"record,omitempty"`
	// Hold is how much longer the claim must not be granted, because a reply of
	// not_run may still be in use.
	Hold time.Duration `cbor:"hold,omitempty" json:"hold,omitempty"`
}

// Validate reports a malformed message. The error wraps ErrMessage.
func (r LookupReply) Validate() error {
	if err := validateHomePair(r.From, r.To, r.Incarnation); err != nil {
		return err
	}
	if err := r.Claim.Validate(); err != nil {
		return err
	}
	if r.Since.IsZero() {
		return fmt.Errorf("%w: no start", ErrMessage)
	}
	if r.Hold < 0 || r.Hold > maxHold {
		return fmt.Errorf("%w: hold of %s", ErrMessage, r.Hold)
	}
	if r.Record == nil {
		return nil
	}
	return r.Record.validate(r.Claim)
}

// Record is a home's record of one claim, as sent to the claim's next home.
type Record struct {
	Content btbundle.Digest `cbor:"content" json:"content"`
	// Grant is the last grant; nil if the claim was held but never granted.
	Grant *Grant `cbor:"grant,omitempty" json:"grant,omitempty"`
	// Released means that the last grant is sealed, or that there was none.
	Released bool `cbor:"released" json:"released"`
}

// validate reports a record that can't be of the claim.
func (r Record) validate(c Claim) error {
	if r.Grant == nil {
		if !r.Released {
			return fmt.Errorf("%w: record neither granted nor released", ErrMessage)
		}
		return nil
	}
	if r.Grant.Claim != c || r.Grant.Content != r.Content {
		return fmt.Errorf("%w: record of another claim", ErrMessage)
	}
	return r.Grant.Validate()
}

// LeaseAsk asks a voter to confirm a home's lease.
type LeaseAsk struct {
	Service     btid.Service     `cbor:"service" json:"service"`
	From        btid.Target      `cbor:"from" json:"from"`
	To          btid.Target      `cbor:"to" json:"to"`
	Incarnation btid.Incarnation `cbor:"incarnation" json:"incarnation"`
	// Epoch is the current one at the sender.
	Epoch EpochID `cbor:"epoch" json:"epoch"`
	// Listed are all epochs in the sender's bundle; the current one is last.
	Listed []EpochID `cbor:"listed" json:"listed"`
	// Round numbers the messages of one incarnation.
	Round uint64        `cbor:"round" json:"round"`
	Lease time.Duration `cbor:"lease" json:"lease"`
}

// Validate reports a malformed message. The error wraps ErrMessage.
func (a LeaseAsk) Validate() error {
	if err := btid.CheckName(string(a.Service)); err != nil {
		return fmt.Errorf("%w: service: %w", ErrMessage, err)
	}
	if err := validateHomePair(a.From, a.To, a.Incarnation); err != nil {
		return err
	}
	if len(a.Listed) == 0 || len(a.Listed) > maxListedEpochs || a.Listed[len(a.Listed)-1] != a.Epoch {
		return fmt.Errorf("%w: the current epoch is not the last one listed", ErrMessage)
	}
	if a.Round == 0 || a.Lease <= 0 {
		return fmt.Errorf("%w: round %d, lease %s", ErrMessage, a.Round, a.Lease)
	}
	return nil
}

// LeaseVote answers a LeaseAsk.
type LeaseVote struct {
	Service btid.Service `cbor:"service" json:"service"`
	From    btid.Target  `cbor:"from" json:"from"`
	To      btid.Target  `cbor:"to" json:"to"`
	// Incarnation, Epoch and Round repeat those of the LeaseAsk.
	Incarnation btid.Incarnation `cbor:"incarnation" json:"incarnation"`
	Epoch       EpochID          `cbor:"epoch" json:"epoch"`
	Round       uint64           `cbor:"round" json:"round"`
	Granted     bool             `cbor:"granted" json:"granted"`
	// Reason is why the vote was refused.
	Reason btrequest.Reason `cbor:"reason,omitempty" json:"reason,omitempty"`
	// Since is the time since which the voter has confirmed no epochs other than
	// those listed in the LeaseAsk.
	Since time.Time `cbor:"since" json:"since"`
}

// Validate reports a malformed message. The error wraps ErrMessage.
func (v LeaseVote) Validate() error {
	if err := btid.CheckName(string(v.Service)); err != nil {
		return fmt.Errorf("%w: service: %w", ErrMessage, err)
	}
	if err := validateHomePair(v.From, v.To, v.Incarnation); err != nil {
		return err
	}
	if v.Granted && v.Since.IsZero() {
		return fmt.Errorf("%w: vote without since", ErrMessage)
	}
	if !v.Granted {
		return validateRefusal(btrequest.Unknown, v.Reason)
	}
	return nil
}
