package btstandin

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"slices"
)

// ExpertMap says which experts each rank of a group holds in each layer. The
// digest stands for the whole; the stand-in takes it as given.
type ExpertMap struct {
	Digest string `json:"digest"`
	// Layers lists, for each layer and in it each rank, the experts held.
	Layers [][][]int `json:"layers"`
}

// validate reports a map that doesn't fit the group.
func (m *ExpertMap) validate(s GroupShape) error {
	if m == nil || m.Digest == "" {
		return fmt.Errorf("%w: map: no digest", ErrOrder)
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

// GroupShape is the size of a group.
type GroupShape struct {
	Ranks   int
	Layers  int
	Experts int
	// SlotsPerRank is how many experts of one layer a rank holds.
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

// deal returns the map that deals experts to ranks in turn until every slot is
// full or every rank holds every expert. Its digest is the SHA-256 of the
// layers' JSON.
func (s GroupShape) deal() *ExpertMap {
	ranks := make([][]int, s.Ranks)
	for i := range s.Ranks * min(s.SlotsPerRank, s.Experts) {
		r := i % s.Ranks
		x := i % s.Experts
		for slices.Contains(ranks[r], x) {
			x = (x + 1) % s.Experts
		}
		ranks[r] = append(ranks[r], x)
	}
	m := &ExpertMap{Layers: make([][][]int, s.Layers)}
	for l := range m.Layers {
		m.Layers[l] = ranks
	}
	// Numbers in slices always have a JSON form.
	layers, _ := json.Marshal(m.Layers)
	m.Digest = fmt.Sprintf("%x", sha256.Sum256(layers))
	return m
}

// holds tells whether the rank holds the expert in the layer; no rank does in
// a nil map.
func (m *ExpertMap) holds(layer, rank, expert int) bool {
	return m != nil && slices.Contains(m.Layers[layer][rank], expert)
}

// replicas returns how many ranks hold each expert of each layer.
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

func (m *ExpertMap) digest() string {
	if m == nil {
		return ""
	}
	return m.Digest
}
