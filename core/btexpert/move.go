package btexpert

import "slices"

// Move is the transfer of one expert's weights to a rank that didn't hold them.
type Move struct {
	Layer  int    `cbor:"layer" json:"layer"`
	Rank   Rank   `cbor:"rank" json:"rank"`
	Expert Expert `cbor:"expert" json:"expert"`
}

// Moves lists the transfers of one map change by layer, rank and expert. Removing a
// replica transfers no weights and is not listed.
type Moves []Move

// Diff returns the transfers that lead from one map to another of equal shape.
func Diff(from, to Map) Moves {
	var moves Moves
	for l, layer := range to.Layers {
		for r, experts := range layer.Ranks {
			held := from.Layers[l].Ranks[r]
			for _, e := range experts {
				if _, found := slices.BinarySearch(held, e); !found {
					moves = append(moves, Move{Layer: l, Rank: Rank(r), Expert: e})
				}
			}
		}
	}
	return moves
}

// Bytes returns the total size of the transfers in bytes.
func (m Moves) Bytes(s Shape) int64 { return int64(len(m)) * s.ExpertBytes }

// ForRank returns the transfers of one rank, in order.
func (m Moves) ForRank(r Rank) Moves {
	var own Moves
	for _, v := range m {
		if v.Rank == r {
			own = append(own, v)
		}
	}
	return own
}
