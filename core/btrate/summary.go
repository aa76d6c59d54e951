package btrate

import (
	"encoding/binary"
	"fmt"
	"math"

	"github.com/cespare/xxhash/v2"

	"bilberrytide/core/btinventory"
)

// cellCount is how many cells a summary has: with a tenth of 830 targets limited hardly
// more than one limit falls into each.
const cellCount = 64

// Cells hold a byte of digest for each part of the targets, parted by their names. They
// tell which limits differ, so that a message holds none that its reader knows.
type Cells []byte

// Validate reports cells of another number. The error wraps ErrRecord.
func (c Cells) Validate() error {
	if len(c) != 0 && len(c) != cellCount {
		return fmt.Errorf("%w: %d cells of a summary", ErrRecord, len(c))
	}
	return nil
}

// Summary stands for the limits that are known to be in force.
type Summary struct {
	// Digest identifies them all; it is zero where there is none.
	Digest uint64
	// Cells are left out where there is no limit, and by processes that know of none.
	Cells Cells
}

// differs returns which targets may have limits that another summary doesn't stand for.
func (s Summary) differs(other Summary) func(btinventory.Instance) bool {
	if len(other.Cells) == 0 && other.Digest != 0 {
		return func(btinventory.Instance) bool { return true }
	}
	return func(i btinventory.Instance) bool {
		n := cellOf(i)
		return s.digestAt(n) != other.digestAt(n)
	}
}

// digestAt returns the digest of one part of the targets.
func (s Summary) digestAt(n int) byte {
	if len(s.Cells) == 0 {
		return 0
	}
	return s.Cells[n]
}

// cellOf is the part of the targets to which one belongs.
func cellOf(i btinventory.Instance) int {
	return int(fingerprint(i, Limit{Active: true}) % cellCount)
}

// fingerprint stands for a limit in force; zero where there is none.
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
