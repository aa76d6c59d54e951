// Package btid defines the identifiers that processes exchange.
//
// Every name is a distinct type that is validated when it is decoded from text, so
// that a malformed name is rejected at the boundary of the process.
package btid

import (
	"errors"
	"fmt"
	"strconv"
)

// ErrName is wrapped by the error of every malformed name.
var ErrName = errors.New("malformed name")

// MaxNameBytes is the maximum length of a name.
const MaxNameBytes = 63

// CheckName returns an error unless text is a valid name: one to 63 bytes of lower
// case letters, digits, '-', '_' and '.', starting with a letter or digit. The error
// wraps ErrName.
func CheckName(text string) error {
	if text == "" {
		return fmt.Errorf("%w: empty", ErrName)
	}
	if len(text) > MaxNameBytes {
		return fmt.Errorf("%w: %d bytes, at most %d", ErrName, len(text), MaxNameBytes)
	}
	for i := range len(text) {
		if !nameByte(text[i], i == 0) {
			return fmt.Errorf("%w: %q has %q at byte %d", ErrName, text, text[i], i)
		}
	}
	return nil
}

func nameByte(b byte, first bool) bool {
	if b >= 'a' && b <= 'z' || b >= '0' && b <= '9' {
		return true
	}
	return !first && (b == '-' || b == '_' || b == '.')
}

// Host names a host on which processes and targets run; it may be replaced at any time.
type Host string

// Region names a group of data centres that are near each other.
type Region string

// DataCentre names a failure domain inside a region.
type DataCentre string

// Service names a model or a plain service that callers request.
type Service string

// Target names one engine or application instance, and the agent beside it.
type Target string

// Entry names one entry process of the fleet. The name outlives a restart of the process.
type Entry string

// Account names a client account.
type Account string

// Group names a lock-step group: a set of ranks that step together.
type Group string

// UnmarshalText checks and sets the name.
func (h *Host) UnmarshalText(text []byte) error { return setName(h, text) }

// UnmarshalText checks and sets the name.
func (r *Region) UnmarshalText(text []byte) error { return setName(r, text) }

// UnmarshalText checks and sets the name.
func (d *DataCentre) UnmarshalText(text []byte) error { return setName(d, text) }

// UnmarshalText checks and sets the name.
func (s *Service) UnmarshalText(text []byte) error { return setName(s, text) }

// UnmarshalText checks and sets the name.
func (t *Target) UnmarshalText(text []byte) error { return setName(t, text) }

// UnmarshalText checks and sets the name.
func (e *Entry) UnmarshalText(text []byte) error { return setName(e, text) }

// UnmarshalText checks and sets the name.
func (a *Account) UnmarshalText(text []byte) error { return setName(a, text) }

// UnmarshalText checks and sets the name.
func (g *Group) UnmarshalText(text []byte) error { return setName(g, text) }

func setName[T ~string](name *T, text []byte) error {
	if err := CheckName(string(text)); err != nil {
		return err
	}
	*name = T(text)
	return nil
}

// Incarnation distinguishes the starts of a process under one name. It is the start
// time in nanoseconds since 1970, so a later start has a higher number as long as the
// host's clock is within its stated error. Zero means that there is none.
type Incarnation uint64

// String returns the incarnation in hexadecimal.
func (i Incarnation) String() string { return strconv.FormatUint(uint64(i), 16) }

// BundleVersion orders bundles; a higher version replaces a lower one.
type BundleVersion uint64

// Request identifies one request by the incarnation of the entry that received it and
// a number that is unique within that incarnation.
type Request struct {
	Entry       Entry       `cbor:"entry" json:"entry"`
	Incarnation Incarnation `cbor:"incarnation" json:"incarnation"`
	Number      uint64      `cbor:"number" json:"number"`
}

// String returns the request's ID as used in headers and logs.
func (r Request) String() string {
	return string(r.Entry) + "-" + r.Incarnation.String() + "-" + strconv.FormatUint(r.Number, 10)
}

// Validate returns an error if the entry's name is malformed or a number is zero.
func (r Request) Validate() error {
	if err := CheckName(string(r.Entry)); err != nil {
		return fmt.Errorf("request entry: %w", err)
	}
	if r.Incarnation == 0 || r.Number == 0 {
		return errors.New("request identity: incarnation and number must not be zero")
	}
	return nil
}

// Executor is one incarnation of a target's agent, the only process that may send
// requests to that target.
type Executor struct {
	Target      Target      `cbor:"target" json:"target"`
	Incarnation Incarnation `cbor:"incarnation" json:"incarnation"`
}

// String returns the executor as used in logs.
func (e Executor) String() string { return string(e.Target) + "@" + e.Incarnation.String() }

// Validate returns an error if the target's name is malformed or the incarnation is zero.
func (e Executor) Validate() error {
	if err := CheckName(string(e.Target)); err != nil {
		return fmt.Errorf("executor target: %w", err)
	}
	if e.Incarnation == 0 {
		return errors.New("executor: incarnation must not be zero")
	}
	return nil
}
