package btprocess

import (
	"bilberrytide/core/btbundle"
	"bilberrytide/core/btmember"
)

// LocationOf returns the location of a target in the form that membership uses.
func LocationOf(t *btbundle.Target) btmember.TargetLocation {
	return btmember.TargetLocation{Target: t.Name, Host: t.Host, DataCentre: t.DataCentre}
}

// LocationsOf returns the locations of all targets of a bundle.
func LocationsOf(a *btbundle.Approved) []btmember.TargetLocation {
	places := make([]btmember.TargetLocation, 0, len(a.Bundle.Targets))
	for i := range a.Bundle.Targets {
		places = append(places, LocationOf(&a.Bundle.Targets[i]))
	}
	return places
}

// largeWatchers is how many entries hear an agent in a fleet that is no mesh.
// The others hear by summaries, which cost an entry less than heartbeats do: at
// 380 entries and 830 targets, eight watchers' heartbeats alone would take more
// than the traffic that an entry may have. Three outlast two lost entries.
const largeWatchers = 3

// fanOutOf returns the bounds for a fleet of so many entries.
func fanOutOf(entries int) btmember.FanOut {
	fanOut := btmember.DefaultFanOut()
	if entries > fanOut.Watchers {
		fanOut.Watchers = largeWatchers
	}
	return fanOut
}

// TopologyOf returns who tells whom about targets, alike at every process that has
// the bundle in force.
func TopologyOf(a *btbundle.Approved) *btmember.Topology {
	entries := make([]btmember.EntryLocation, 0, len(a.Bundle.Entries))
	for _, e := range a.Bundle.Entries {
		entries = append(entries, btmember.EntryLocation{Entry: e.Name, DataCentre: e.DataCentre})
	}
	return btmember.NewTopology(fanOutOf(len(entries)), entries, LocationsOf(a))
}
