package btround

import "bilberrytide/core/btexpert"

// maxMaps is how many maps an agent remembers: the one in force and those of a
// few rounds that came to nothing.
const maxMaps = 4

// Memory keeps the maps that a lead's instructions may refer to, by version. It is
// not safe for concurrent use.
type Memory struct {
	maps map[Version][]btexpert.Layer
}

// NewMemory returns an empty memory.
func NewMemory() *Memory { return &Memory{maps: make(map[Version][]btexpert.Layer)} }

// Get returns a map; false where it isn't remembered.
func (m *Memory) Get(v Version) ([]btexpert.Layer, bool) {
	layers, found := m.maps[v]
	return layers, found
}

// Put remembers a map. The oldest are evicted, but never the one in force, which the next
// round's changes refer to: without it the lead would send the whole map to each rank.
func (m *Memory) Put(v Version, layers []btexpert.Layer, inForce Version) {
	m.maps[v] = layers
	for len(m.maps) > maxMaps {
		delete(m.maps, m.oldest(v, inForce))
	}
}

// oldest returns the oldest version but for two that stay.
func (m *Memory) oldest(newest, inForce Version) Version {
	oldest := newest
	for v := range m.maps {
		if v != inForce && v < oldest {
			oldest = v
		}
	}
	return oldest
}
