package btinventory

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math/bits"

	"github.com/cespare/xxhash/v2"

	"bilberrytide/core/btwire"
)

// A list of targets is partitioned into cells by a hash of the IDs, so that two processes
// whose lists differ exchange only the cells in which they do.

const (
	// cellCount is the number of cells: with 800 targets one has a dozen, and a changed
	// target costs little more than a kilobyte instead of the whole list.
	cellCount = 64
	// digestBytes is the size of a cell's digest. If two different cells have the same
	// digest, the lists' digests still differ, and the difference is found with the next
	// change of the cell or of a process.
	digestBytes = 2
)

// CellDigests holds a digest of each cell of a list; empty from processes that know no list
// or exchange whole lists only.
type CellDigests []byte

// errCells means that the number of digests is wrong.
var errCells = errors.New("malformed digests of the cells of a list")

// Validate returns an error if the number of digests is wrong.
func (d CellDigests) Validate() error {
	if len(d) != 0 && len(d) != cellCount*digestBytes {
		return fmt.Errorf("%w: %d bytes", errCells, len(d))
	}
	return nil
}

// NewCellDigests returns the digests of a list's cells. The order of the list has no
// effect.
func NewCellDigests(list []Target) CellDigests {
	var sums [cellCount]uint16
	for _, t := range list {
		sums[cellOf(t.ID)] ^= t.digest()
	}
	d := make(CellDigests, 0, cellCount*digestBytes)
	for _, s := range sums {
		d = binary.LittleEndian.AppendUint16(d, s)
	}
	return d
}

// digest returns the digest of the record.
func (t Target) digest() uint16 {
	data, err := btwire.Encode(t)
	if err != nil {
		// A record that can't be encoded can't be sent either.
		return 0
	}
	return uint16(xxhash.Sum64(data))
}

func cellOf(id ID) int { return int(xxhash.Sum64String(string(id)) % cellCount) }

// CellSet is a set of cells, one bit for each. As part of a message the empty set stands
// for a whole list.
type CellSet uint64

// allCells is the set of all cells.
const allCells = ^CellSet(0)

// Differing returns the cells in which a list differs from that of the other digests: all
// cells if they are missing, or if the lists are known to differ and no cell shows it.
func (d CellDigests) Differing(other CellDigests) CellSet {
	if len(d) == 0 || len(other) == 0 {
		return allCells
	}
	var set CellSet
	for n := range cellCount {
		at := n * digestBytes
		if string(d[at:at+digestBytes]) != string(other[at:at+digestBytes]) {
			set |= 1 << n
		}
	}
	if set == 0 {
		return allCells
	}
	return set
}

// Len returns the number of cells in the set.
func (s CellSet) Len() int { return bits.OnesCount64(uint64(s)) }

// Contains reports whether the cell of the target is in the set.
func (s CellSet) Contains(id ID) bool { return s>>cellOf(id)&1 == 1 }

// Select returns the targets of a list that are in the set's cells.
func (s CellSet) Select(list []Target) []Target {
	if s == allCells {
		return list
	}
	var selected []Target
	for _, t := range list {
		if s.Contains(t.ID) {
			selected = append(selected, t)
		}
	}
	return selected
}

// Replace returns the list with the targets in the set's cells replaced by the given ones.
// For the empty set these are the whole list.
func (s CellSet) Replace(list, cells []Target) []Target {
	if s == 0 || s == allCells {
		return cells
	}
	replaced := make([]Target, 0, len(list)+len(cells))
	for _, t := range list {
		if !s.Contains(t.ID) {
			replaced = append(replaced, t)
		}
	}
	return append(replaced, cells...)
}
