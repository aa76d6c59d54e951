package btrank

import (
	"errors"
	"slices"

	"bilberrytide/core/btexpert"
	"bilberrytide/core/btround"
)

// errBase means that an instruction refers to a map that the agent doesn't have;
// the lead sends the whole map then.
var errBase = errors.New("base map isn't known")

// remember keeps a map for later instructions.
func (a *Agent) remember(v btround.Version, layers []btexpert.Layer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.maps.Put(v, layers, a.state.Map)
}

// changed returns the map that an instruction describes; false where its base
// isn't known.
func (a *Agent) changed(i Instruction) ([]btexpert.Layer, bool) {
	base, found := a.base(i.Base)
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

// base returns a known map. Version 0 is the one that groups start from.
func (a *Agent) base(v btround.Version) ([]btexpert.Layer, bool) {
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

// changesBetween lists what differs between two maps of one shape.
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
