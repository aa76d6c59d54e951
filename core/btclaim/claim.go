package btclaim

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"time"

	"bilberrytide/core/btbundle"
	"bilberrytide/core/btid"
	"bilberrytide/core/btrendezvous"
	"bilberrytide/core/btrequest"
)

// ErrMessage is wrapped by the errors of all Validate methods of messages.
var ErrMessage = errors.New("malformed claim message")

// Claim identifies what may run at most once: one account's idempotency key at
// one service.
type Claim struct {
	Service btid.Service  `cbor:"service" json:"service"`
	Account btid.Account  `cbor:"account" json:"account"`
	Key     btrequest.Key `cbor:"key" json:"key"`
}

// Validate reports an invalid name or key. The error wraps ErrMessage.
func (c Claim) Validate() error {
	if err := btid.CheckName(string(c.Service)); err != nil {
		return fmt.Errorf("%w: service: %w", ErrMessage, err)
	}
	if err := btid.CheckName(string(c.Account)); err != nil {
		return fmt.Errorf("%w: account: %w", ErrMessage, err)
	}
	if c.Key == "" {
		return fmt.Errorf("%w: empty key", ErrMessage)
	}
	if err := c.Key.Validate(); err != nil {
		return fmt.Errorf("%w: %w", ErrMessage, err)
	}
	return nil
}

// HomeOf returns the claim's home in the epoch; false if the epoch has no homes.
func HomeOf(epoch btbundle.HomeEpoch, c Claim) (btid.Target, bool) {
	key := string(c.Service) + "\x00" + string(c.Account) + "\x00" + string(c.Key)
	return btrendezvous.First(key, epoch.Homes)
}

// EpochID identifies a set of homes. The digest distinguishes two sets to which
// two bundles gave the same number.
type EpochID struct {
	Number uint64          `cbor:"number" json:"number"`
	Digest btbundle.Digest `cbor:"digest" json:"digest"`
}

// EpochIDOf returns the epoch's number and a digest of its homes, which doesn't
// depend on their order.
func EpochIDOf(epoch btbundle.HomeEpoch) EpochID {
	homes := slices.Clone(epoch.Homes)
	slices.SortFunc(homes, cmp.Compare)
	data := binary.BigEndian.AppendUint64(nil, epoch.Number)
	for _, t := range homes {
		data = append(data, t...)
		data = append(data, 0)
	}
	return EpochID{Number: epoch.Number, Digest: sha256.Sum256(data)}
}

// Grant permits one incarnation of one executor to run a claim once.
type Grant struct {
	Claim Claim `cbor:"claim" json:"claim"`
	// Content is the digest of the request's content.
	Content  btbundle.Digest `cbor:"content" json:"content"`
	Executor btid.Executor   `cbor:"executor" json:"executor"`
	// Attempt counts from 1; the next attempt is granted only after this one is
	// sealed.
	Attempt uint32 `cbor:"attempt" json:"attempt"`
	// IssuedAt is when the grant was issued, by the home's clock.
	IssuedAt time.Time `cbor:"issued_at" json:"issued_at"`
	// NotAfter is the latest time, by the executor's clock, at which the run may
	// start.
	NotAfter time.Time `cbor:"not_after" json:"not_after"`
}

// Validate reports a grant that no home can have issued. The error wraps ErrMessage.
func (g Grant) Validate() error {
	if err := g.Claim.Validate(); err != nil {
		return err
	}
	if err := g.Executor.Validate(); err != nil {
		return fmt.Errorf("%w: %w", ErrMessage, err)
	}
	if g.Attempt == 0 {
		return fmt.Errorf("%w: attempt zero", ErrMessage)
	}
	if g.IssuedAt.IsZero() || !g.NotAfter.After(g.IssuedAt) {
		return fmt.Errorf("%w: grant expires before it was issued", ErrMessage)
	}
	return nil
}

// Sealed is an executor's proof that a grant has not run and never will, in any
// incarnation of the executor.
type Sealed struct {
	Claim   Claim  `cbor:"claim" json:"claim"`
	Attempt uint32 `cbor:"attempt" json:"attempt"`
	// Executor is the one named in the sealed grant.
	Executor btid.Executor `cbor:"executor" json:"executor"`
	// By is the incarnation of the executor that sealed the grant.
	By btid.Executor `cbor:"by" json:"by"`
}

// Validate reports a seal that no executor can have issued. The error wraps
// ErrMessage.
func (s Sealed) Validate() error {
	if err := s.Claim.Validate(); err != nil {
		return err
	}
	if s.Attempt == 0 {
		return fmt.Errorf("%w: attempt zero", ErrMessage)
	}
	if err := errors.Join(s.Executor.Validate(), s.By.Validate()); err != nil {
		return fmt.Errorf("%w: %w", ErrMessage, err)
	}
	if s.Executor.Target != s.By.Target || s.By.Incarnation < s.Executor.Incarnation {
		return fmt.Errorf("%w: %s can't seal for %s", ErrMessage, s.By, s.Executor)
	}
	return nil
}

// matches reports whether the seal is for exactly this grant.
func (s Sealed) matches(g Grant) bool {
	return s.Claim == g.Claim && s.Attempt == g.Attempt && s.Executor == g.Executor
}
