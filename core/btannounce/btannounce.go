// Package btannounce defines the messages with which processes announce the
// bundle that they have in force and pass it on.
package btannounce

import (
	"errors"
	"fmt"
	"time"

	"bilberrytide/core/btbundle"
)

// ErrMessage is wrapped by the error of every malformed message.
var ErrMessage = errors.New("malformed announcement")

// MaxReads is the largest number of reads of the configuration service in one
// announcement.
const MaxReads = 4

// Read is the last successful read of the configuration service by a process.
type Read struct {
	Reader btbundle.Peer `cbor:"reader" json:"reader"`
	// Age is how long before the announcement the read took place. Unlike a
	// time, it needs no comparison of two clocks.
	Age time.Duration `cbor:"age" json:"age"`
}

// Announcement carries the revision that a process has in force. It is also the
// request for the receiver's announcement.
type Announcement struct {
	Revision btbundle.Revision `cbor:"order" json:"order"`
	// Reads are the latest reads of the service that the sender knows of, its
	// own and those of others, newest first.
	Reads []Read `cbor:"reads,omitempty" json:"reads"`
	// HostLeaving tells an agent that its host is leaving by the platform's
	// list.
	HostLeaving bool `cbor:"host_leaving,omitempty" json:"host_leaving"`
}

// Validate returns an error for an announcement that no process sends.
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

// Ask requests the signed file of the bundle in force.
type Ask struct {
	Revision btbundle.Revision `cbor:"order" json:"order"`
}

// Validate returns an error for a malformed revision.
func (a Ask) Validate() error {
	if err := a.Revision.Validate(); err != nil {
		return fmt.Errorf("%w: %w", ErrMessage, err)
	}
	return nil
}
