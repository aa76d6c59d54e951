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

// MaxReads is how many reads of the configuration service one announcement
// tells of.
const MaxReads = 4

// Read tells when a process last read the configuration service with success.
type Read struct {
	Reader btbundle.Peer `cbor:"reader" json:"reader"`
	// Age is how long ago that was when the announcement was made, so that no
	// two clocks are compared.
	Age time.Duration `cbor:"age" json:"age"`
}

// Announcement says what a process has in force, and is asked for with one.
type Announcement struct {
	Revision btbundle.Revision `cbor:"order" json:"order"`
	// Reads are the latest reads of the service that the sender knows of, its
	// own and others', newest first.
	Reads []Read `cbor:"reads,omitempty" json:"reads"`
	// HostLeaving tells an agent that the platform's list calls its host leaving.
	HostLeaving bool `cbor:"host_leaving,omitempty" json:"host_leaving"`
}

// Validate reports an announcement that no process could make.
func (a Announcement) Validate() error {
	if err := a.Revision.Validate(); err != nil {
		return fmt.Errorf("%w: %w", ErrMessage, err)
	}
	if len(a.Reads) > MaxReads {
		return fmt.Errorf("%w: %d reads, at most %d", ErrMessage, len(a.Reads), MaxReads)
	}
	for _, r := range a.Reads {
		if r.Reader == "" || r.Age < 0 {
			return fmt.Errorf("%w: read by %q of age %v", ErrMessage, r.Reader, r.Age)
		}
	}
	return nil
}

// Ask asks for the signed file of the bundle in force.
type Ask struct {
	Revision btbundle.Revision `cbor:"order" json:"order"`
}

// Validate reports an ask for nothing.
func (a Ask) Validate() error {
	if err := a.Revision.Validate(); err != nil {
		return fmt.Errorf("%w: %w", ErrMessage, err)
	}
	return nil
}
