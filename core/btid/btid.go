// Package btid holds the identifiers that travel between processes.
//
// Every identifier is a distinct type that checks itself when it is decoded
// from text, so that a malformed name is refused where it enters.
package btid

import (
	"errors"
	"fmt"
	"strconv"
)

// ErrName is wrapped by the error of every malformed name.
var ErrName = errors.New("malformed name")

// MaxNameBytes is the longest name that any identifier may have.
const MaxNameBytes = 63

// CheckName reports whether text is a usable name: one to 63 bytes of lower
// case letters, digits, '-', '_' and '.', starting with a letter or digit. The
// error wraps ErrName.
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

// Host names where processes and targets run; any may be replaced at any time.
type Host string

// DataCentre names a failure domain inside a region.
type DataCentre string

// Service names what callers ask for: a model or a plain service.
type Service string

// Target names one engine or application instance, and the agent beside it.
type Target string

// Entry names one entry process's place in the fleet.
type Entry string

// Account names a client account.
type Account string

// Group names a set of ranks that step together.
type Group string

// UnmarshalText checks and sets the name.
func (h *Host) UnmarshalText(text []byte) error { return setName(h, text) }

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

// Incarnation tells one start of a process from the next under the same name.
// It is the process's start in nanoseconds since 1970, so a later start has a
// higher number as long as the host's clock is within its stated error. Zero
// stands for no incarnation.
type Incarnation uint64

// String writes the incarnation in hexadecimal.
func (i Incarnation) String() string { return strconv.FormatUint(uint64(i), 16) }

// BundleVersion orders bundles; a higher version replaces a lower one.
type BundleVersion uint64

// Request identifies one request: the entry's incarnation that took it and a
// number that this incarnation never uses again.
type Request struct {
	Entry       Entry       `cbor:"entry" json:"entry"`
	Incarnation Incarnation `cbor:"incarnation" json:"incarnation"`
	Number      uint64      `cbor:"number" json:"number"`
}

// String writes the request identity as it stands in headers and logs.
func (r Request) String() string {
	return string(r.Entry) + "-" + r.Incarnation.String() + "-" + strconv.FormatUint(r.Number, 10)
}

// Validate reports a request identity that no entry could have issued.
func (r Request) Validate() error {
	if err := CheckName(string(r.Entry)); err != nil {
		return fmt.Errorf("request entry: %w", err)
	}
	if r.Incarnation == 0 || r.Number == 0 {
		return errors.New("request identity: incarnation and number must not be zero")
	}
	return nil
}

// Executor is one incarnation of the agent beside a target: the only process
// that may give that target work.
type Executor struct {
	Target      Target      `cbor:"target" json:"target"`
	Incarnation Incarnation `cbor:"incarnation" json:"incarnation"`
}

// String writes the executor as it stands in logs.
func (e Executor) String() string { return string(e.Target) + "@" + e.Incarnation.String() }

// Validate reports an executor that can't exist.
func (e Executor) Validate() error {
	if err := CheckName(string(e.Target)); err != nil {
		return fmt.Errorf("executor target: %w", err)
	}
	if e.Incarnation == 0 {
		return errors.New("executor: incarnation must not be zero")
	}
	return nil
}
