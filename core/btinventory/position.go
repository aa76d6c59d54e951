package btinventory

import (
	"errors"
	"fmt"
)

// Position is where a reader of the platform's list stands: an era and a revision within
// it. A list that comes back from a copy begins another era and gives out revisions again,
// so that a revision alone may stand for two lists. Positions are ordered, the later one is
// the greater number. Zero is before any. In era zero a position is its revision, also for
// processes that know of no eras.
type Position uint64

const (
	// revisionBits is how much of a position is the revision: at 400 writes a second
	// they last for 22,000 years.
	revisionBits = 48
	// MaxRevision and MaxEra bound the parts of a position.
	MaxRevision = 1<<revisionBits - 1
	MaxEra      = 1<<(64-revisionBits) - 1
)

// ErrPosition means that a position is out of bounds.
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

// String writes the position as it stands in logs: the revision, after the era where there
// is one.
func (p Position) String() string {
	if p.Era() == 0 {
		return fmt.Sprint(p.Revision())
	}
	return fmt.Sprintf("%d/%d", p.Era(), p.Revision())
}
