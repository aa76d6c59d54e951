package btround

import "bilberrytide/core/btexpert"

// maxCachedMaps is the number of maps an agent caches: the active one and those of a
// few failed rounds.
const maxCachedMaps = 4

// MapCache caches, by version, the maps that a lead's instructions may refer to. It is
// not safe for concurrent use.
type MapCache struct {
	maps map[Version][]btexpert.Layer
}

// NewMapCache returns an empty cache.
func NewMapCache() *MapCache { return &MapCache{maps: make(map[Version][]btexpert.Layer)} }

// Get returns a map; false if it isn't cached.
func (m *MapCache) Get(v Version) ([]btexpert.Layer, bool) {
	layers, found := m.maps[v]
	return layers, found
}

// Put stores a map and evicts the oldest ones, but never the active map: the next round's
// changes refer to it, and without it the lead sends the whole map to every rank. After
// four failed rounds this was 192 maps or 2.9 MB, which saturated the lead's link, so that
// further rounds failed and the group got no new map for 20 s.
func (m *MapCache) Put(v Version, layers []btexpert.Layer, active Version) {
	m.maps[v] = layers
	for len(m.maps) > maxCachedMaps {
		delete(m.maps, m.oldestExcept(v, active))
	}
}

// oldestExcept returns the oldest version other than newest and active.
func (m *MapCache) oldestExcept(newest, active Version) Version {
	oldest := newest
	for v := range m.maps {
		if v != active && v < oldest {
			oldest = v
		}
	}
	return oldest
}
