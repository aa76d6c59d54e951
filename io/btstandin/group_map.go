package btstandin

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"slices"
)

// ExpertMap assigns experts to the ranks of a group in each layer. It keeps the
// JSON from which it was decoded; the SHA-256 of these bytes is its digest.
type ExpertMap struct {
	// Layers holds the experts by layer and rank.
	Layers [][][]int

	encoded []byte
	digest  string
}

// mapFields is the JSON form of a map.
type mapFields struct {
	Layers [][][]int `json:"layers"`
}

// UnmarshalJSON decodes a map and keeps a copy of its bytes.
func (m *ExpertMap) UnmarshalJSON(data []byte) error {
	var fields mapFields
	if err := json.Unmarshal(data, &fields); err != nil {
		return err
	}
	m.Layers = fields.Layers
	m.encoded = slices.Clone(data)
	m.digest = fmt.Sprintf("%x", sha256.Sum256(data))
	return nil
}

// MarshalJSON returns the bytes from which the map was decoded.
func (m *ExpertMap) MarshalJSON() ([]byte, error) { return m.encoded, nil }

// validate returns an error that wraps ErrOrder if the map doesn't fit the shape
// or leaves an expert without a rank.
func (m *ExpertMap) validate(s GroupShape) error {
	if m == nil {
		return fmt.Errorf("%w: map: none", ErrOrder)
	}
	if len(m.Layers) != s.Layers {
		return fmt.Errorf("%w: map: %d layers instead of %d", ErrOrder, len(m.Layers), s.Layers)
	}
	for l, ranks := range m.Layers {
		if err := validateLayer(ranks, s); err != nil {
			return fmt.Errorf("%w: map.layers[%d]: %w", ErrOrder, l, err)
		}
	}
	return nil
}

func validateLayer(ranks [][]int, s GroupShape) error {
	if len(ranks) != s.Ranks {
		return fmt.Errorf("%d ranks instead of %d", len(ranks), s.Ranks)
	}
	held := make([]bool, s.Experts)
	for r, experts := range ranks {
		if len(experts) > s.SlotsPerRank {
			return fmt.Errorf("rank %d holds %d experts in %d slots", r, len(experts), s.SlotsPerRank)
		}
		for _, x := range experts {
			if x < 0 || x >= s.Experts {
				return fmt.Errorf("rank %d holds expert %d of %d", r, x, s.Experts)
			}
			held[x] = true
		}
	}
	for x, ok := range held {
		if !ok {
			return fmt.Errorf("no rank holds expert %d", x)
		}
	}
	return nil
}

// GroupShape holds the dimensions of a group.
type GroupShape struct {
	Ranks   int
	Layers  int
	Experts int
	// SlotsPerRank is the maximum number of experts of one layer on a rank.
	SlotsPerRank int
}

func (s GroupShape) validate() error {
	if s.Ranks < 1 || s.Layers < 1 || s.Experts < 1 {
		return fmt.Errorf("%w: group needs at least one rank, layer and expert", ErrOptions)
	}
	if s.Ranks*s.SlotsPerRank < s.Experts {
		return fmt.Errorf("%w: %d ranks of %d slots can't hold %d experts", ErrOptions, s.Ranks, s.SlotsPerRank, s.Experts)
	}
	return nil
}

// roundRobinMap returns the map that assigns the experts to the ranks round robin
// until every slot is full or every rank holds every expert.
func (s GroupShape) roundRobinMap() *ExpertMap {
	ranks := make([][]int, s.Ranks)
	for i := range s.Ranks * min(s.SlotsPerRank, s.Experts) {
		r := i % s.Ranks
		x := i % s.Experts
		for slices.Contains(ranks[r], x) {
			x = (x + 1) % s.Experts
		}
		ranks[r] = append(ranks[r], x)
	}
	fields := mapFields{Layers: make([][][]int, s.Layers)}
	for l := range fields.Layers {
		fields.Layers[l] = ranks
	}
	// Encoding and decoding nested slices of integers can't fail.
	data, _ := json.Marshal(fields)
	m := &ExpertMap{}
	_ = m.UnmarshalJSON(data)
	return m
}

// holds reports whether the rank holds the expert of the layer; in a nil map none
// does.
func (m *ExpertMap) holds(layer, rank, expert int) bool {
	return m != nil && slices.Contains(m.Layers[layer][rank], expert)
}

// replicas returns the number of ranks that hold each expert, by layer and expert.
func (m *ExpertMap) replicas(s GroupShape) [][]int {
	counts := make([][]int, s.Layers)
	for l, ranks := range m.Layers {
		counts[l] = make([]int, s.Experts)
		for _, experts := range ranks {
			for _, x := range experts {
				counts[l][x]++
			}
		}
	}
	return counts
}

// placement is a map and the version under which it was staged.
type placement struct {
	version string
	experts *ExpertMap
}

// initialPlacement returns the placement of a map that no order staged; its version
// is the map's digest.
func initialPlacement(m *ExpertMap) *placement {
	return &placement{version: m.digest, experts: m}
}

// name returns the version, empty for a nil placement.
func (p *placement) name() string {
	if p == nil {
		return ""
	}
	return p.version
}

// expertMap returns the map, nil for a nil placement.
func (p *placement) expertMap() *ExpertMap {
	if p == nil {
		return nil
	}
	return p.experts
}
