package btlimit

import (
	"errors"
	"fmt"
	"time"

	"bilberrytide/core/btid"
)

// ErrMessage is wrapped by the errors for malformed messages of this package.
var ErrMessage = errors.New("malformed limit message")

const (
	// MaxUnits bounds every count in a message.
	MaxUnits = 1 << 30
	// MaxLease bounds the duration of a lease.
	MaxLease = time.Hour
)

// Need is what an entry asks for of one kind of unit, above its fixed share.
type Need struct {
	// Held is how many units it may still be using until the answer arrives.
	Held int `cbor:"held" json:"held"`
	// Want is how many units it could use.
	Want int `cbor:"want" json:"want"`
}

func (n Need) validate() error {
	if n.Held < 0 || n.Want < 0 || n.Held > MaxUnits || n.Want > MaxUnits {
		return fmt.Errorf("held %d and want %d must be 0 to %d", n.Held, n.Want, MaxUnits)
	}
	return nil
}

// ShareAsk asks the account's home for units above the fixed share, or returns lent
// units.
type ShareAsk struct {
	Account     btid.Account     `cbor:"account" json:"account"`
	From        btid.Entry       `cbor:"from" json:"from"`
	Incarnation btid.Incarnation `cbor:"incarnation" json:"incarnation"`
	// Number increases with each ask of the incarnation. The entry accepts only the
	// answer to its last ask.
	Number uint64 `cbor:"number" json:"number"`
	// SentAt is the time of sending by the entry's clock. The home ignores asks older
	// than a lease, as their replies would be useless; safety does not depend on the
	// clock.
	SentAt time.Time `cbor:"sent_at" json:"sent_at"`
	// Shape is the digest of the inputs of the shares: the entries and the burst.
	Shape  uint64 `cbor:"shape" json:"shape"`
	Slots  Need   `cbor:"slots" json:"slots"`
	Tokens Need   `cbor:"tokens" json:"tokens"`
	// HeldFor is how much longer, from SentAt, the entry may use lent tokens.
	HeldFor time.Duration `cbor:"held_for" json:"held_for"`
}

// Validate rejects an ask that no entry could have sent. The error wraps ErrMessage.
func (a ShareAsk) Validate() error {
	if err := btid.CheckName(string(a.Account)); err != nil {
		return fmt.Errorf("%w: ask account: %w", ErrMessage, err)
	}
	if err := btid.CheckName(string(a.From)); err != nil {
		return fmt.Errorf("%w: ask from: %w", ErrMessage, err)
	}
	if a.Incarnation == 0 || a.Number == 0 {
		return fmt.Errorf("%w: ask incarnation and number must not be zero", ErrMessage)
	}
	if a.SentAt.IsZero() {
		return fmt.Errorf("%w: ask sent_at is missing", ErrMessage)
	}
	if a.HeldFor < 0 || a.HeldFor > MaxLease {
		return fmt.Errorf("%w: ask held_for %s, at most %s", ErrMessage, a.HeldFor, MaxLease)
	}
	if err := a.Slots.validate(); err != nil {
		return fmt.Errorf("%w: ask slots: %w", ErrMessage, err)
	}
	if err := a.Tokens.validate(); err != nil {
		return fmt.Errorf("%w: ask tokens: %w", ErrMessage, err)
	}
	return nil
}

// ShareLease answers an ask: the entry may use the units above its fixed share for the
// duration, counted from when it sent the ask.
type ShareLease struct {
	Account     btid.Account     `cbor:"account" json:"account"`
	To          btid.Entry       `cbor:"to" json:"to"`
	Incarnation btid.Incarnation `cbor:"incarnation" json:"incarnation"`
	Number      uint64           `cbor:"number" json:"number"`
	Shape       uint64           `cbor:"shape" json:"shape"`
	Slots       int              `cbor:"slots" json:"slots"`
	Tokens      int              `cbor:"tokens" json:"tokens"`
	Duration    time.Duration    `cbor:"duration" json:"duration"`
}

// Validate rejects a lease that no home could have sent. The error wraps ErrMessage.
func (l ShareLease) Validate() error {
	if err := btid.CheckName(string(l.Account)); err != nil {
		return fmt.Errorf("%w: lease account: %w", ErrMessage, err)
	}
	if err := btid.CheckName(string(l.To)); err != nil {
		return fmt.Errorf("%w: lease to: %w", ErrMessage, err)
	}
	if l.Incarnation == 0 || l.Number == 0 {
		return fmt.Errorf("%w: lease incarnation and number must not be zero", ErrMessage)
	}
	if l.Slots < 0 || l.Tokens < 0 || l.Slots > MaxUnits || l.Tokens > MaxUnits {
		return fmt.Errorf("%w: lease of %d slots and %d tokens", ErrMessage, l.Slots, l.Tokens)
	}
	if l.Duration <= 0 || l.Duration > MaxLease {
		return fmt.Errorf("%w: lease of %s, at most %s", ErrMessage, l.Duration, MaxLease)
	}
	return nil
}
