package btround

import "bilberrytide/core/btexpert"

// maxCachedMaps is how many maps an agent remembers: the one in force and those of a
// few rounds that came to nothing.
const maxCachedMaps = 4

// MapCache keeps the maps that a lead's instructions may refer to, by version. It is
// not safe for concurrent use.
type MapCache struct {
	maps map[Version][]btexpert.Layer
}

// NewMapCache returns an empty memory.
func NewMapCache() *MapCache { return &MapCache{maps: make(map[Version][]btexpert.Layer)} }

// Get returns a map; false where it isn't remembered.
func (m *MapCache) Get(v Version) ([]btexpert.Layer, bool) {
	layers, found := m.maps[v]
	return layers, found
}

// Put remembers a map. The oldest are evicted, but never the one in force, which the next
// round's changes refer to: without it the lead would send the whole map to each rank.
func (m *MapCache) Put(v Version, layers []btexpert.Layer, active Version) {
	m.maps[v] = layers
	for len(m.maps) > maxCachedMaps {
		delete(m.maps, m.oldestExcept(v, active))
	}
}

// oldestExcept returns the oldestExcept version but for two that stay.
func (m *MapCache) oldestExcept(newest, active Version) Version {
	oldest := newest
	for v := range m.maps {
		if v != active && v < oldest {
			oldest = v
		}
	}
	return oldest
}
