// Package btannounce holds the messages by which processes tell each other
// which bundle they have in force, and hand it on.
package btannounce

import (
	"errors"
	"fmt"
	"time"

	"bilberrytide/core/btbundle"
)

// ErrMessage is wrapped by the error of every malformed message.
var ErrMessage = errors.New("malformed announcement")

// Never is the ReadAge of a process that has not read the configuration
// service.
const Never time.Duration = -1

// Announcement says what a process has in force, and is asked for with one.
type Announcement struct {
	Order btbundle.Order `cbor:"order" json:"order"`
	// ReadAge is how long ago the process last read the configuration service
	// with success; Never where it hasn't.
	ReadAge time.Duration `cbor:"read_age" json:"read_age"`
}

// Validate reports an announcement that no process could make.
func (a Announcement) Validate() error {
	if err := a.Order.Validate(); err != nil {
		return fmt.Errorf("%w: %w", ErrMessage, err)
	}
	if a.ReadAge < Never {
		return fmt.Errorf("%w: read age %v", ErrMessage, a.ReadAge)
	}
	return nil
}

// Ask asks for the signed file of the bundle in force.
type Ask struct {
	Order btbundle.Order `cbor:"order" json:"order"`
}

// Validate reports an ask for nothing.
func (a Ask) Validate() error {
	if err := a.Order.Validate(); err != nil {
		return fmt.Errorf("%w: %w", ErrMessage, err)
	}
	return nil
}

// File carries the signed file that is in force at the sender; empty where
// nothing is. Its signatures, not the sender, vouch for it.
type File struct {
	Raw []byte `cbor:"raw" json:"raw"`
}

// Validate reports a file that is larger than any bundle with its signatures.
func (f File) Validate() error {
	if len(f.Raw) > btbundle.MaxBytes {
		return fmt.Errorf("%w: file of %d bytes, at most %d", ErrMessage, len(f.Raw), btbundle.MaxBytes)
	}
	return nil
}
