package btrate

import (
	"encoding/binary"
	"fmt"
	"math"

	"github.com/cespare/xxhash/v2"

	"bilberrytide/core/btinventory"
)

// cellCount is the number of cells of a summary. With a tenth of 830 targets limited, a
// cell holds little more than one limit.
const cellCount = 64

// Cells hold one byte of digest for each partition of the targets, by a hash of ID and
// start. They show which limits differ, so that a message contains few records that its
// reader knows.
type Cells []byte

// Validate returns an error that wraps ErrRecord if the number of cells is wrong.
func (c Cells) Validate() error {
	if len(c) != 0 && len(c) != cellCount {
		return fmt.Errorf("%w: %d cells of a summary", ErrRecord, len(c))
	}
	return nil
}

// Summary identifies the active limits that an entry knows.
type Summary struct {
	// Digest identifies all active limits; it is zero if there are none.
	Digest uint64
	// Cells is empty if there is no limit, and from processes that don't send cells.
	Cells Cells
}

// differs returns a function that reports whether a target's limit may differ between
// the summaries.
func (s Summary) differs(other Summary) func(btinventory.Instance) bool {
	if len(other.Cells) == 0 && other.Digest != 0 {
		return func(btinventory.Instance) bool { return true }
	}
	return func(i btinventory.Instance) bool {
		n := cellOf(i)
		return s.digestAt(n) != other.digestAt(n)
	}
}

// digestAt returns the digest of one cell.
func (s Summary) digestAt(n int) byte {
	if len(s.Cells) == 0 {
		return 0
	}
	return s.Cells[n]
}

// cellOf returns the cell of a target.
func cellOf(i btinventory.Instance) int {
	return int(fingerprint(i, Limit{Active: true}) % cellCount)
}

// fingerprint returns the hash of an active limit; zero if it is not active.
func fingerprint(i btinventory.Instance, l Limit) uint64 {
	if !l.Active {
		return 0
	}
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(i.ID))
	var numbers [16]byte
	binary.LittleEndian.PutUint64(numbers[:8], uint64(i.Start))
	binary.LittleEndian.PutUint64(numbers[8:], math.Float64bits(l.PerSecond))
	_, _ = d.Write(numbers[:])
	return d.Sum64()
}
