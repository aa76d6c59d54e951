package btgroup

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"

	"bilberrytide/core/btbundle"
	"bilberrytide/core/btexpert"
	"bilberrytide/core/btswitch"
)

// ErrMap is wrapped by the errors for encoded maps that can't be used.
var ErrMap = errors.New("unusable encoded expert map")

// wireMap is the engines' JSON format of a map: the experts by layer and rank.
type wireMap struct {
	Layers [][][]btexpert.Expert `json:"layers"`
}

// EncodeMap returns the map in the engines' format: compact JSON, the same bytes for
// equal maps. The agreement identifies a map by the digest of these bytes.
func EncodeMap(m btexpert.Map) []byte {
	wire := wireMap{Layers: make([][][]btexpert.Expert, len(m.Layers))}
	for l, layer := range m.Layers {
		wire.Layers[l] = make([][]btexpert.Expert, len(layer.Ranks))
		for r, experts := range layer.Ranks {
			wire.Layers[l][r] = append([]btexpert.Expert{}, experts...)
		}
	}
	data, err := json.Marshal(wire)
	if err != nil {
		// Slices of numbers always encode.
		panic(err)
	}
	return data
}

// DecodeMap decodes a map of EncodeMap or of an engine, for a group of the shape. The
// error wraps ErrMap.
func DecodeMap(shape btexpert.Shape, data []byte) (btexpert.Map, error) {
	var wire wireMap
	if err := json.Unmarshal(data, &wire); err != nil {
		return btexpert.Map{}, fmt.Errorf("%w: %w", ErrMap, err)
	}
	m := btexpert.Map{Shape: shape, Layers: make([]btexpert.Layer, len(wire.Layers))}
	for l, ranks := range wire.Layers {
		for _, experts := range ranks {
			slices.Sort(experts)
		}
		m.Layers[l].Ranks = ranks
	}
	if err := m.Validate(); err != nil {
		return btexpert.Map{}, fmt.Errorf("%w: %w", ErrMap, err)
	}
	return m, nil
}

// shapes stores the shape of each membership that the group has had, so that a map is
// checked against the members of its round.
type shapes struct {
	mutex     sync.Mutex
	byMembers map[btbundle.Digest]btexpert.Shape
}

func (s *shapes) add(members btbundle.Digest, shape btexpert.Shape) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.byMembers == nil {
		s.byMembers = make(map[btbundle.Digest]btexpert.Shape)
	}
	s.byMembers[members] = shape
}

// check is the group's btswitch.MapCheck.
func (s *shapes) check(members btswitch.Members, encoded []byte) error {
	s.mutex.Lock()
	shape, found := s.byMembers[members.Digest]
	s.mutex.Unlock()
	if !found {
		return fmt.Errorf("%w: members %s are unknown", ErrMap, members.Digest)
	}
	_, err := DecodeMap(shape, encoded)
	return err
}
