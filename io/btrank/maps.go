package btrank

import (
	"errors"
	"slices"

	"bilberrytide/core/btexpert"
	"bilberrytide/core/btround"
)

// errBaseUnknown means that an instruction refers to a map that the agent lacks. The lead
// sends the whole map then.
var errBaseUnknown = errors.New("base map isn't known")

// cacheMap caches a map for later instructions.
func (a *Agent) cacheMap(v btround.Version, layers []btexpert.Layer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.maps.Put(v, layers, a.state.Map)
}

// applyChanges returns the map that an instruction describes; false if its base is unknown
// or the changes don't fit it.
func (a *Agent) applyChanges(i Instruction) ([]btexpert.Layer, bool) {
	base, found := a.baseMap(i.Base)
	if !found {
		return nil, false
	}
	layers := make([]btexpert.Layer, len(base))
	for l, layer := range base {
		layers[l].Ranks = slices.Clone(layer.Ranks)
	}
	for _, c := range i.Changes {
		if int(c.Layer) >= len(layers) || int(c.Rank) >= len(layers[c.Layer].Ranks) {
			return nil, false
		}
		layers[c.Layer].Ranks[c.Rank] = c.Experts
	}
	return layers, true
}

// baseMap returns a cached map. Version 0 is the map that groups form with.
func (a *Agent) baseMap(v btround.Version) ([]btexpert.Layer, bool) {
	group, found := a.directory.shape()
	a.mu.Lock()
	defer a.mu.Unlock()
	if layers, known := a.maps.Get(v); known {
		return layers, true
	}
	if v != 0 || !found || a.state.Size == 0 {
		return nil, false
	}
	return btexpert.SingleReplica(shapeOf(group, a.state.Size)).Layers, true
}

// changesBetween returns the differences between two maps of the same shape.
func changesBetween(from, to []btexpert.Layer) []Change {
	var changes []Change
	for l := range to {
		for r, experts := range to[l].Ranks {
			if !slices.Equal(from[l].Ranks[r], experts) {
				changes = append(changes, Change{Layer: uint16(l), Rank: btexpert.Rank(r), Experts: experts})
			}
		}
	}
	return changes
}
