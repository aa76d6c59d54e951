package btinventory

import (
	"errors"
	"fmt"
)

// Position is a version of the platform's list: an era and a revision within it. A list that
// is restored from a snapshot begins another era and reuses revisions, so a revision alone
// may identify two lists. Later positions compare greater; zero is before any. In era zero a
// position equals its revision, also for processes that don't know eras.
type Position uint64

const (
	// revisionBits is the width of the revision: at 400 writes a second it lasts for
	// 22,000 years.
	revisionBits = 48
	// MaxRevision and MaxEra bound the parts of a position.
	MaxRevision = 1<<revisionBits - 1
	MaxEra      = 1<<(64-revisionBits) - 1
)

// ErrPosition is wrapped by the error of an era or revision that is out of bounds.
var ErrPosition = errors.New("position out of bounds")

// NewPosition returns the position of a revision in an era. The error wraps ErrPosition.
func NewPosition(era, revision uint64) (Position, error) {
	if era > MaxEra || revision > MaxRevision {
		return 0, fmt.Errorf("%w: era %d, revision %d", ErrPosition, era, revision)
	}
	return Position(era<<revisionBits | revision), nil
}

// Era returns the position's era.
func (p Position) Era() uint64 { return uint64(p) >> revisionBits }

// Revision returns the position's revision.
func (p Position) Revision() uint64 { return uint64(p) & MaxRevision }

// String returns "era/revision", or the revision alone in era zero, as used in logs.
func (p Position) String() string {
	if p.Era() == 0 {
		return fmt.Sprint(p.Revision())
	}
	return fmt.Sprintf("%d/%d", p.Era(), p.Revision())
}
