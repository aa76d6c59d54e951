// Package btexpert decides where a group's ranks hold their experts.
//
// A Map places replicas of every expert of every layer on ranks. A Planner searches
// for a map with a shorter modelled step, from decayed counts of the tokens that
// each expert served. A Decider weighs the step time saved against the price of
// moving weights, by the weights of the bundle's placement policy, and proposes the
// map if it pays. FastRebalance is a quicker search that follows abrupt changes of
// load. ScoreRanks orders a group's members for new requests.
//
// The package is deterministic and does no I/O: time, counts and measured step
// times are arguments.
package btexpert

import (
	"encoding/binary"
	"errors"
	"fmt"
	"slices"

	"bilberrytide/core/btbundle"
)

// Errors about maps and group shapes.
var (
	// ErrShape is wrapped by errors about a shape that no valid map can have.
	ErrShape = errors.New("impossible group shape")
	// ErrMap is wrapped by errors about invalid maps.
	ErrMap = errors.New("invalid expert map")
)

// Upper bounds on sizes, far above the planned ones, so that a malformed message
// can't cause unbounded allocation.
const (
	MaxRanks   = 4096
	MaxLayers  = 1024
	MaxExperts = 4096
)

// Expert is the index of an expert within its layer, from zero.
type Expert uint16

// Rank is the index of a member of a group, from zero, in the bundle's order.
type Rank uint16

// Shape is the size of a group's maps: its ranks, layers, experts and expert slots.
type Shape struct {
	Ranks   int `cbor:"ranks" json:"ranks"`
	Layers  int `cbor:"layers" json:"layers"`
	Experts int `cbor:"experts" json:"experts"`
	// Slots is the largest number of expert replicas of one layer on a rank.
	Slots int `cbor:"slots" json:"slots"`
	// ExpertBytes is the size of one expert's weights in one layer.
	ExpertBytes int64 `cbor:"expert_bytes" json:"expert_bytes"`
}

// ShapeOf returns the shape of a group in the bundle. The error wraps ErrShape.
func ShapeOf(g btbundle.Group) (Shape, error) {
	s := Shape{
		Ranks:       len(g.Ranks),
		Layers:      g.Layers,
		Experts:     g.Experts,
		Slots:       g.SlotsPerRank,
		ExpertBytes: g.ExpertBytes,
	}
	if err := s.Validate(); err != nil {
		return Shape{}, fmt.Errorf("group %q: %w", g.Name, err)
	}
	return s, nil
}

// Validate reports a shape that no map can serve, such as experts that don't
// fit into the ranks' slots. The error wraps ErrShape.
func (s Shape) Validate() error {
	if s.Ranks < 1 || s.Ranks > MaxRanks {
		return fmt.Errorf("%w: ranks = %d, want 1 to %d", ErrShape, s.Ranks, MaxRanks)
	}
	if s.Layers < 1 || s.Layers > MaxLayers {
		return fmt.Errorf("%w: layers = %d, want 1 to %d", ErrShape, s.Layers, MaxLayers)
	}
	if s.Experts < 1 || s.Experts > MaxExperts {
		return fmt.Errorf("%w: experts = %d, want 1 to %d", ErrShape, s.Experts, MaxExperts)
	}
	if s.Slots < 1 || s.Slots > s.Experts {
		return fmt.Errorf("%w: slots_per_rank = %d, want 1 to experts = %d", ErrShape, s.Slots, s.Experts)
	}
	if s.Ranks*s.Slots < s.Experts {
		return fmt.Errorf("%w: %d experts don't fit %d ranks with %d slots each",
			ErrShape, s.Experts, s.Ranks, s.Slots)
	}
	if s.ExpertBytes < 1 {
		return fmt.Errorf("%w: expert_bytes = %d, want at least 1", ErrShape, s.ExpertBytes)
	}
	return nil
}

// Layer is the part of a map for one layer.
type Layer struct {
	// Ranks lists the experts on each rank, in ascending order.
	Ranks [][]Expert `cbor:"ranks" json:"ranks"`
}

// Map places the replicas of every expert on a group's ranks. A map must not be
// modified once it is shared.
type Map struct {
	Shape  Shape   `cbor:"shape" json:"shape"`
	Layers []Layer `cbor:"layers" json:"layers"`
}

// Uniform returns the map that assigns experts to ranks round robin, first one
// replica of each and then further ones, until every slot is full or every rank
// holds every expert. A group starts from this map. The shape must be valid.
func Uniform(s Shape) Map {
	m := Map{Shape: s, Layers: make([]Layer, s.Layers)}
	for l := range m.Layers {
		m.Layers[l].Ranks = uniformLayer(s)
	}
	return m
}

func uniformLayer(s Shape) [][]Expert {
	ranks := make([][]Expert, s.Ranks)
	for i := range s.Ranks * s.Slots {
		r := i % s.Ranks
		e := Expert(i % s.Experts)
		// A rank that already holds the expert takes the next one that it lacks.
		for slices.Contains(ranks[r], e) {
			e = Expert((int(e) + 1) % s.Experts)
		}
		ranks[r] = append(ranks[r], e)
	}
	for _, experts := range ranks {
		slices.Sort(experts)
	}
	return ranks
}

// Validate reports a map in which an expert has no replica, a rank holds more
// experts than its slots, or experts are unknown, listed twice or out of order. The
// error wraps ErrMap or ErrShape and names the layer and the rank.
func (m Map) Validate() error {
	if err := m.Shape.Validate(); err != nil {
		return err
	}
	if len(m.Layers) != m.Shape.Layers {
		return fmt.Errorf("%w: %d layers, want %d", ErrMap, len(m.Layers), m.Shape.Layers)
	}
	for l, layer := range m.Layers {
		if err := layer.validate(m.Shape); err != nil {
			return fmt.Errorf("%w: layer %d: %w", ErrMap, l, err)
		}
	}
	return nil
}

func (l Layer) validate(s Shape) error {
	if len(l.Ranks) != s.Ranks {
		return fmt.Errorf("%d ranks, want %d", len(l.Ranks), s.Ranks)
	}
	held := make([]bool, s.Experts)
	for r, experts := range l.Ranks {
		if len(experts) > s.Slots {
			return fmt.Errorf("rank %d: %d experts in %d slots", r, len(experts), s.Slots)
		}
		for i, e := range experts {
			if int(e) >= s.Experts {
				return fmt.Errorf("rank %d: unknown expert %d of %d", r, e, s.Experts)
			}
			if i > 0 && experts[i-1] >= e {
				return fmt.Errorf("rank %d: expert %d doubled or out of order", r, e)
			}
			held[e] = true
		}
	}
	if e := slices.Index(held, false); e >= 0 {
		return fmt.Errorf("expert %d has no replica", e)
	}
	return nil
}

// Fits reports a map that was made for another shape. The error wraps ErrMap.
func (m Map) Fits(s Shape) error {
	if m.Shape != s {
		return fmt.Errorf("%w: made for %+v, the group is %+v", ErrMap, m.Shape, s)
	}
	return nil
}

// Digest returns the SHA-256 of the shape and the placed experts, with each number
// in eight or two bytes, big endian. Equal maps have equal digests on every host
// and in every release.
func (m Map) Digest() btbundle.Digest {
	s := m.Shape
	data := make([]byte, 0, 40+s.Layers*s.Ranks*(s.Slots+1)*2)
	for _, n := range []int64{int64(s.Ranks), int64(s.Layers), int64(s.Experts), int64(s.Slots), s.ExpertBytes} {
		data = binary.BigEndian.AppendUint64(data, uint64(n))
	}
	for _, layer := range m.Layers {
		for _, experts := range layer.Ranks {
			data = binary.BigEndian.AppendUint16(data, uint16(len(experts)))
			for _, e := range experts {
				data = binary.BigEndian.AppendUint16(data, uint16(e))
			}
		}
	}
	return btbundle.DigestOf(data)
}

// clone returns a deep copy.
func (l Layer) clone() Layer {
	ranks := make([][]Expert, len(l.Ranks))
	for r, experts := range l.Ranks {
		ranks[r] = slices.Clone(experts)
	}
	return Layer{Ranks: ranks}
}
